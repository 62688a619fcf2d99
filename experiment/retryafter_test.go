package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCallersReturnInTime: while demand exceeds capacity for many seconds, each
// refused caller retries once. A caller whose Retry-After lies within the route's
// latency objective may still be served in time, and goodput meets its targets.
func TestCallersReturnInTime(t *testing.T) {
	const objective = 700 * time.Millisecond
	surge := scenario{
		name: "surge", length: 8 * time.Second, slow: 1,
		demand: func(int) float64 { return 1.8 },
	}
	for _, site := range []site{mugWorks(), styleDesk()} {
		for i := range site.routes {
			site.routes[i].objective = objective
		}
		t.Run(site.name, func(t *testing.T) {
			t.Parallel()
			late, soon := full(), full()
			late.plainRetryAfter = true
			before, after := newSim(site, surge, late, testSeed), newSim(site, surge, soon, testSeed)
			before.run()
			after.run()
			t.Logf("in time %d and %d, served %d and %d", before.record.inTime, after.record.inTime,
				sum(before.record.servedByWorkspace), sum(after.record.servedByWorkspace))
			assert.Assert(t, float64(after.record.inTime) >= 1.02*float64(before.record.inTime))
			figures := after.figures()
			assert.Assert(t, figures.GoodputAll >= 0.90 && figures.GoodputTop >= 0.95, "%+v", figures)
		})
	}
}
