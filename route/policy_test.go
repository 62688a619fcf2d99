package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"auburngap/request"
	"auburngap/route"
)

// inputs says which inputs of the choice an experiment switches on; the own
// counts are always on.
type inputs struct {
	reports, latency, signals bool
}

// fakeServer has slots, a queue without bound, and service times in ticks of 1 ms.
type fakeServer struct {
	slots   int
	slow    float64
	stuck   bool
	running []*fakeCall
	queue   []*fakeCall
	// reported is what announcements say, half a second late.
	reported int
	// callers holds one choice of each node that has called the server.
	callers map[int]route.Choice
}

type fakeCall struct {
	node      int
	choice    route.Choice
	start     int
	remaining int
}

func (s *fakeServer) load() int { return len(s.running) + len(s.queue) }

// step runs the server for one tick and returns the calls that ended.
func (s *fakeServer) step() []*fakeCall {
	var ended []*fakeCall
	running := s.running[:0]
	for _, c := range s.running {
		if c.remaining--; c.remaining > 0 {
			running = append(running, c)
		} else {
			ended = append(ended, c)
		}
	}
	s.running = running
	for len(s.running) < s.slots && len(s.queue) > 0 {
		s.running = append(s.running, s.queue[0])
		s.queue = s.queue[1:]
	}
	return ended
}

// runPolicy sends calls from six nodes to twelve servers of ten slots at 70%
// of their capacity for 10 s. One server's report is stuck at zero, another
// runs three times slower than the rest. It returns latencies in ms.
func runPolicy(seed uint64, nodes int, in inputs) *hdrhistogram.Histogram {
	const servers, ticks, serviceMillis, reportEvery = 12, 10_000, 20, 500
	rng := rand.New(rand.NewPCG(seed, 7))
	targets := makeTargets("a", servers)
	fakes := make([]*fakeServer, servers)
	byVM := make(map[string]*fakeServer, servers)
	for i, target := range targets {
		fakes[i] = &fakeServer{slots: 10, slow: 1, stuck: i == 0, callers: make(map[int]route.Choice)}
		byVM[target.VM] = fakes[i]
	}
	fakes[1].slow = 3
	pickers := make([]*route.Picker, nodes)
	for n := range pickers {
		pickers[n] = route.New(route.Config{VM: fmt.Sprint(n), Zone: "a"})
		pickers[n].Update(start, targets)
	}
	latencies := hdrhistogram.New(1, 60_000, 3)
	perTick := 0.7 * servers * 10 / serviceMillis
	for tick := range ticks {
		now := start.Add(time.Duration(tick) * time.Millisecond)
		if in.reports && tick%reportEvery == 0 {
			announce(now, pickers, fakes)
		}
		for arrivals := rng.ExpFloat64(); arrivals < perTick; arrivals += rng.ExpFloat64() {
			n := rng.IntN(nodes)
			choice, _ := pickers[n].Pick(now, rng, 0)
			fake := byVM[choice.Target.VM]
			fake.callers[n] = choice
			work := 1 + int(rng.ExpFloat64()*serviceMillis*fake.slow)
			fake.queue = append(fake.queue, &fakeCall{node: n, choice: choice, start: tick, remaining: work})
		}
		for _, fake := range fakes {
			for _, c := range fake.step() {
				took := max(1, tick-c.start)
				_ = latencies.RecordValue(int64(took))
				if !in.latency {
					took = 1
				}
				if in.signals {
					pickers[c.node].Observe(now, c.choice, request.Occupied(fake.load()), fake.slots)
				}
				pickers[c.node].Done(now, c.choice, route.Succeeded, time.Duration(took)*time.Millisecond)
			}
		}
	}
	return latencies
}

// announce delivers the reports taken half a second ago to every node that
// has called the server, and takes new ones.
func announce(now time.Time, pickers []*route.Picker, fakes []*fakeServer) {
	for _, fake := range fakes {
		for node, choice := range fake.callers {
			pickers[node].Observe(now, choice, request.Occupied(fake.reported), fake.slots)
		}
		if !fake.stuck {
			fake.reported = fake.load()
		}
	}
}

// TestInputsOfTheChoice measures what each input brings. docs/MEMBERSHIP.md
// holds the table that it logs.
func TestInputsOfTheChoice(t *testing.T) {
	experiments := []struct {
		name string
		in   inputs
	}{
		{"nothing else", inputs{}},
		{"reports", inputs{reports: true}},
		{"reports, latency", inputs{reports: true, latency: true}},
		{"signals", inputs{signals: true}},
		{"signals, latency", inputs{latency: true, signals: true}},
	}
	for _, nodes := range []int{6, 100} {
		p99 := make([]int64, len(experiments))
		for i, e := range experiments {
			for seed := range uint64(3) {
				h := runPolicy(seed, nodes, e.in)
				p99[i] = max(p99[i], h.ValueAtQuantile(99))
				t.Logf("%3d nodes, own counts and %-16s seed %d: p50 %d ms, p99 %d ms, max %d ms, %d calls", nodes, e.name, seed,
					h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max(), h.TotalCount())
			}
		}
		last := len(experiments) - 1
		for i := range last {
			assert.Assert(t, p99[last] <= p99[i], "%s is better than all inputs together", experiments[i].name)
		}
	}
}
