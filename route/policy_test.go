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

// pickerInputs selects the inputs that the picker gets in an experiment. Its own
// counts of calls in flight are always used.
type pickerInputs struct {
	reports, latency, signals bool
}

// fakeServer has slots, an unbounded queue, and service times in ticks of 1 ms.
type fakeServer struct {
	slots       int
	slowdown    float64
	stuckReport bool
	running     []*fakeCall
	queue       []*fakeCall
	// reported is the load in the next announcement, half a second out of date.
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

// simulate sends calls from the given number of nodes to twelve servers of ten
// slots at 70% of their capacity for 10 s. The report of one server is stuck at
// zero; another server is three times slower than the rest. It returns the
// latencies in ms.
func simulate(seed uint64, nodes int, in pickerInputs) *hdrhistogram.Histogram {
	const servers, ticks, serviceMillis, reportEvery = 12, 10_000, 20, 500
	rng := rand.New(rand.NewPCG(seed, 7))
	targets := makeTargets("a", servers)
	fakes := make([]*fakeServer, servers)
	byVM := make(map[string]*fakeServer, servers)
	for i, target := range targets {
		fakes[i] = &fakeServer{slots: 10, slowdown: 1, stuckReport: i == 0, callers: make(map[int]route.Choice)}
		byVM[target.VM] = fakes[i]
	}
	fakes[1].slowdown = 3
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
			deliverReports(now, pickers, fakes)
		}
		for arrivals := rng.ExpFloat64(); arrivals < perTick; arrivals += rng.ExpFloat64() {
			n := rng.IntN(nodes)
			choice, _ := pickers[n].Pick(now, rng, 0)
			fake := byVM[choice.Target.VM]
			fake.callers[n] = choice
			serviceTime := 1 + int(rng.ExpFloat64()*serviceMillis*fake.slowdown)
			fake.queue = append(fake.queue, &fakeCall{node: n, choice: choice, start: tick, remaining: serviceTime})
		}
		for _, fake := range fakes {
			for _, c := range fake.step() {
				took := max(1, tick-c.start)
				_ = latencies.RecordValue(int64(took))
				if !in.latency {
					took = 1
				}
				if in.signals {
					pickers[c.node].Observe(now, c.choice, request.TopPriorityOccupancy(fake.load()), fake.slots)
				}
				pickers[c.node].Done(now, c.choice, route.Succeeded, time.Duration(took)*time.Millisecond)
			}
		}
	}
	return latencies
}

// deliverReports delivers the reports of half a second ago to every node that has called
// the server, and takes new ones.
func deliverReports(now time.Time, pickers []*route.Picker, fakes []*fakeServer) {
	for _, fake := range fakes {
		for node, choice := range fake.callers {
			pickers[node].Observe(now, choice, request.TopPriorityOccupancy(fake.reported), fake.slots)
		}
		if !fake.stuckReport {
			fake.reported = fake.load()
		}
	}
}

// TestPickerInputs compares latencies with different inputs of the picker.
// docs/MEMBERSHIP.md holds the table that it logs.
func TestPickerInputs(t *testing.T) {
	experiments := []struct {
		name string
		in   pickerInputs
	}{
		{"nothing else", pickerInputs{}},
		{"reports", pickerInputs{reports: true}},
		{"reports, latency", pickerInputs{reports: true, latency: true}},
		{"signals", pickerInputs{signals: true}},
		{"signals, latency", pickerInputs{latency: true, signals: true}},
	}
	for _, nodes := range []int{6, 100} {
		p99 := make([]int64, len(experiments))
		for i, e := range experiments {
			for seed := range uint64(3) {
				h := simulate(seed, nodes, e.in)
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
