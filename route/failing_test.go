package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/route"
)

// TestFailingServers has servers that answer some of their requests with a failure
// while their health checks succeed. Calls must go to other servers, also calls that
// may run only once, until no outcome of the failing server has been seen for some
// time. A failure below the service occurs at all its servers and must not change the
// distribution.
func TestFailingServers(t *testing.T) {
	const servers, calls, interval = 8, 4000, 10 * time.Millisecond
	evenCalls := calls / servers
	cases := []struct {
		name string
		// failureFraction returns the fraction of its requests that a server fails.
		failureFraction func(server int) float64
		// minCalls and maxCalls bound the number of calls to server 0.
		minCalls, maxCalls int
	}{
		{"none", func(int) float64 { return 0 }, evenCalls * 8 / 10, evenCalls * 12 / 10},
		{"one in 250 anywhere", func(int) float64 { return 0.004 }, evenCalls * 8 / 10, evenCalls * 12 / 10},
		{"one fails two of five", failOnly(0, 0.4), 1, evenCalls / 2},
		{"one fails all", failOnly(0, 1), 1, evenCalls / 3},
		{"all fail two of five", func(int) float64 { return 0.4 }, evenCalls * 8 / 10, evenCalls * 12 / 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := route.New(route.Config{VM: "vm", Zone: "palermo"})
			p.Update(start, makeTargets("palermo", servers))
			rng := rand.New(rand.NewPCG(1, 2))
			picks := make(map[string]int)
			for i := range calls {
				now := start.Add(time.Duration(i) * interval)
				choice, ok := p.Pick(now, rng, 0)
				assert.Assert(t, ok)
				vm := choice.Target.VM
				picks[vm]++
				result := route.Succeeded
				if rng.Float64() < c.failureFraction(int(vm[len(vm)-1]-'0')) {
					result = route.FailedAnswer
				}
				p.Done(now, choice, result, time.Millisecond)
			}
			got := picks["palermo-vm-0"]
			assert.Assert(t, got >= c.minCalls && got <= c.maxCalls, "%v", picks)
		})
	}
}

// failOnly makes one server fail the given fraction of its requests.
func failOnly(failing int, fraction float64) func(int) float64 {
	return func(server int) float64 {
		if server == failing {
			return fraction
		}
		return 0
	}
}
