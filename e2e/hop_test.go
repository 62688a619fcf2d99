package e2e

import (
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/load"
)

// TestHopLatency prints the time that one hop through two nodes adds to a
// direct call, measured in the same run. It runs on demand, since its figures
// say nothing on a machine that does other work: AUBURNGAP_MEASURE=1.
func TestHopLatency(t *testing.T) {
	if os.Getenv("AUBURNGAP_MEASURE") == "" {
		t.Skip("set AUBURNGAP_MEASURE=1 to measure")
	}
	b := chainBundle()
	// The rate is not what is measured.
	b.Workspaces[0].Rate, b.Workspaces[0].Burst = 50_000, 50_000
	w := newWorld(t, b)
	direct := w.addresses[vmName("g", 0)]
	remote := w.node("f").Settings.CallerAddress
	for _, rate := range []float64{100, 500, 2000} {
		base := measure(t, direct, rate, "")
		through := measure(t, remote, rate, schoolKey)
		for _, quantile := range []float64{50, 99} {
			added := through.Latency.ValueAtQuantile(quantile) - base.Latency.ValueAtQuantile(quantile)
			t.Logf("%5.0f requests/s  p%.0f: direct %d µs, through two nodes %d µs, added %d µs",
				rate, quantile, base.Latency.ValueAtQuantile(quantile), through.Latency.ValueAtQuantile(quantile), added)
		}
		t.Logf("statuses: direct %v, through two nodes %v", base.Statuses, through.Statuses)
	}
}

func measure(t *testing.T, address netip.AddrPort, rate float64, key string) *load.Result {
	t.Helper()
	config := load.Config{Address: address, Path: "/single", Method: "GET", Key: key, Rate: rate, Duration: 2 * time.Second}
	_, err := load.Run(t.Context(), config)
	assert.NilError(t, err)
	config.Duration = 5 * time.Second
	result, err := load.Run(t.Context(), config)
	assert.NilError(t, err)
	return result
}
