package e2e

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"auburngap/load"
)

// TestHopLatency prints the time that one hop through two nodes adds to a
// direct call, measured in the same run, and the processor time that it costs. It runs
// on demand (AUBURNGAP_MEASURE=1), since its figures mean nothing on a busy machine.
func TestHopLatency(t *testing.T) {
	if os.Getenv("AUBURNGAP_MEASURE") == "" {
		t.Skip("set AUBURNGAP_MEASURE=1 to measure")
	}
	b := chainBundle()
	// High enough not to limit the measurement.
	b.Workspaces[0].Rate, b.Workspaces[0].Burst = 50_000, 50_000
	w := newTestSite(t, b)
	direct := w.addresses[vmName("g", 0)]
	remote := w.node("f").Settings.CallerAddress
	// Direct and remote calls alternate, so that other load affects both equally.
	const turns = 5
	for _, rate := range []float64{100, 500, 2000} {
		warmUp(t, direct, rate, "")
		warmUp(t, remote, rate, schoolKey)
		base, through := newTally(), newTally()
		var entry, other time.Duration
		for range turns {
			base.measure(t, direct, rate, "")
			entryBefore, otherBefore := processorTime(t, w.node("f").ID()), processorTime(t, w.node("g").ID())
			through.measure(t, remote, rate, schoolKey)
			entry += processorTime(t, w.node("f").ID()) - entryBefore
			other += processorTime(t, w.node("g").ID()) - otherBefore
		}
		for _, quantile := range []float64{50, 90, 99} {
			t.Logf("%5.0f requests/s  p%.0f: direct %d µs, through two nodes %d µs, added %d µs", rate, quantile,
				base.latency.ValueAtQuantile(quantile), through.latency.ValueAtQuantile(quantile),
				through.latency.ValueAtQuantile(quantile)-base.latency.ValueAtQuantile(quantile))
		}
		calls := time.Duration(through.latency.TotalCount())
		t.Logf("%5.0f requests/s  processor time a call: entry node %v, other node %v", rate, entry/calls, other/calls)
		t.Logf("statuses: direct %v, through two nodes %v", base.statuses, through.statuses)
	}
}

func warmUp(t *testing.T, address netip.AddrPort, rate float64, key string) {
	t.Helper()
	newTally().measure(t, address, rate, key)
}

// tally adds up the results of several loads.
type tally struct {
	latency  *hdrhistogram.Histogram
	statuses map[int]int
}

func newTally() *tally {
	return &tally{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), statuses: make(map[int]int)}
}

func (s *tally) measure(t *testing.T, address netip.AddrPort, rate float64, key string) {
	t.Helper()
	result, err := load.Run(t.Context(), load.Config{
		Address: address, Path: "/single", Method: "GET", Key: key, Rate: rate, Duration: 2 * time.Second,
	})
	assert.NilError(t, err)
	s.latency.Merge(result.Latency)
	for status, count := range result.Statuses {
		s.statuses[status] += count
	}
}

// processorTime returns the processor time that a process has used so far, including
// its control plane.
func processorTime(t *testing.T, id int) time.Duration {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	assert.NilError(t, err)
	const tick = 10 * time.Millisecond
	// The fields after the command's name begin with the third.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(t, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(t, err)
	return time.Duration(user+system) * tick
}
