package route_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburngap/request"
	"auburngap/route"
)

// init fixes the seed of the randomised tests; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func makeTarget(i int, zone string) route.Target {
	return route.Target{
		VM:      fmt.Sprintf("%s-vm-%d", zone, i),
		Zone:    zone,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000),
		Service: "orders",
		Slots:   10,
		Since:   start.Add(-time.Hour),
	}
}

func makeTargets(zone string, n int) []route.Target {
	targets := make([]route.Target, n)
	for i := range targets {
		targets[i] = makeTarget(i, zone)
	}
	return targets
}

// countPicks picks and ends n calls at the given time and returns the picks by VM.
func countPicks(p *route.Picker, now time.Time, n int, result func(vm string) route.Result) map[string]int {
	rng := rand.New(rand.NewPCG(1, 2))
	picks := make(map[string]int)
	for range n {
		choice, ok := p.Pick(now, rng, 0)
		if !ok {
			continue
		}
		picks[choice.Target.VM]++
		p.Done(now, choice, result(choice.Target.VM), time.Millisecond)
	}
	return picks
}

func alwaysResult(result route.Result) func(string) route.Result {
	return func(string) route.Result { return result }
}

func TestPick(t *testing.T) {
	firstServer := func(result route.Result) func(string) route.Result {
		return func(vm string) route.Result {
			if vm == "a-vm-0" {
				return result
			}
			return route.Succeeded
		}
	}
	cases := []struct {
		name     string
		change   func(targets []route.Target)
		result   func(string) route.Result
		vm       string
		minPicks int
		maxPicks int
	}{
		{name: "even", result: alwaysResult(route.Succeeded), vm: "a-vm-0", minPicks: 200, maxPicks: 300},
		{name: "draining", change: func(ts []route.Target) { ts[0].Draining = true }, result: alwaysResult(route.Succeeded), vm: "a-vm-0"},
		{name: "draining, as learned from a refusal", result: firstServer(route.Draining), vm: "a-vm-0", minPicks: 1, maxPicks: 1},
		{name: "other zone", result: alwaysResult(route.Succeeded), vm: "b-vm-0"},
		{name: "cold", change: func(ts []route.Target) { ts[0].Since = start }, result: alwaysResult(route.Succeeded), vm: "a-vm-0", minPicks: 0, maxPicks: 100},
		{name: "three times the slots", change: func(ts []route.Target) { ts[0].Slots = 30 }, result: alwaysResult(route.Succeeded), vm: "a-vm-0", minPicks: 450, maxPicks: 850},
		{name: "failing", result: firstServer(route.Failed), vm: "a-vm-0", minPicks: 5, maxPicks: 5},
		{name: "failing, the only one of its zone", change: func(ts []route.Target) {
			for i := range ts {
				ts[i].Zone = "b"
			}
			ts[0].Zone = "a"
		}, result: firstServer(route.Failed), vm: "a-vm-0", minPicks: 5, maxPicks: 5},
		{name: "all failing: only some are ejected", result: alwaysResult(route.Failed), vm: "a-vm-3", minPicks: 100, maxPicks: 500},
		{name: "overloaded", result: firstServer(route.Overloaded), vm: "a-vm-0", minPicks: 1, maxPicks: 100},
		{name: "local zone loaded", change: func(ts []route.Target) {
			for i := range 4 {
				ts[i].Load = 9
			}
		}, result: alwaysResult(route.Succeeded), vm: "b-vm-0", minPicks: 200, maxPicks: 300},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			targets := append(makeTargets("a", 4), makeTargets("b", 4)...)
			if c.change != nil {
				c.change(targets)
			}
			p := route.New(route.Config{VM: "n", Zone: "a"})
			p.Update(start, targets)
			picks := countPicks(p, start, 1000, c.result)
			assert.Assert(t, picks[c.vm] >= c.minPicks && picks[c.vm] <= c.maxPicks, "%v", picks)
		})
	}
}

// TestPickByPriority checks that a server's utilization for a call counts only the
// calls that it has to wait for: those that are at least as important. The call goes
// to another zone if these fill the servers of the local zone.
func TestPickByPriority(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := route.New(route.Config{VM: "n", Zone: "a"})
	targets := []route.Target{makeTarget(0, "a"), makeTarget(0, "b")}
	p.Update(start, targets)
	loads := map[string]request.Occupancy{"a": {12, 12, 12, 12}, "b": {2, 12, 12, 12}}
	for _, priority := range []request.Priority{0, 1, 0, 1} {
		choice, _ := p.Pick(start, rng, priority)
		p.Observe(start, choice, loads[choice.Target.Zone], 10)
		p.Done(start, choice, route.Succeeded, time.Millisecond)
	}
	for priority, want := range []string{"b", "a", "a", "a"} {
		choice, _ := p.Pick(start, rng, request.Priority(priority))
		assert.Equal(t, choice.Target.Zone, want, "priority %d", priority)
		p.Done(start, choice, route.Cancelled, 0)
	}
}

func TestEjectedServerComesBack(t *testing.T) {
	p := route.New(route.Config{VM: "n", Zone: "a"})
	p.Update(start, makeTargets("a", 4))
	countPicks(p, start, 200, func(vm string) route.Result {
		if vm == "a-vm-0" {
			return route.Failed
		}
		return route.Succeeded
	})
	assert.Equal(t, countPicks(p, start.Add(999*time.Millisecond), 200, alwaysResult(route.Succeeded))["a-vm-0"], 0)
	assert.Assert(t, countPicks(p, start.Add(20*time.Second), 200, alwaysResult(route.Succeeded))["a-vm-0"] > 30)
}

// TestUnreachableZone makes all of another zone unreachable while the local zone is
// busy: a call that could not reach one of its servers goes to the local zone. The
// unreachable servers get no call until Config.Unreachable has passed.
func TestUnreachableZone(t *testing.T) {
	p := route.New(route.Config{VM: "n", Zone: "a"})
	p.Update(start, append(makeTargets("a", 2), makeTargets("b", 8)...))
	rng := rand.New(rand.NewPCG(1, 2))
	remoteAttempts := func(now time.Time) int {
		tried := 0
		for range 100 {
			choice, ok := p.Pick(now, rng, 0)
			assert.Assert(t, ok)
			if choice.Target.Zone == "a" {
				continue // and stays in flight, so that the zone is busy
			}
			tried++
			p.Done(now, choice, route.Unreachable, 0)
			other, ok := p.PickOther(now, rng, 0, choice)
			assert.Assert(t, ok)
			assert.Equal(t, other.Target.Zone, "a")
			p.Done(now, other, route.Succeeded, time.Millisecond)
		}
		return tried
	}
	assert.Equal(t, remoteAttempts(start), 8)
	assert.Equal(t, remoteAttempts(start.Add(900*time.Millisecond)), 0)
	assert.Equal(t, remoteAttempts(start.Add(time.Second)), 8)
}

func TestSubsetSpreadsEvenlyAndIsStable(t *testing.T) {
	const nodes, servers, size = 400, 200, 16
	targets := makeTargets("a", servers)
	subsetCounts := make(map[string]int)
	moved := 0
	for n := range nodes {
		p := route.New(route.Config{VM: fmt.Sprint("node-", n), Zone: "a", SubsetSize: size})
		p.Update(start, targets)
		before := p.Subset()
		p.Update(start, targets[1:])
		after := make(map[string]bool)
		for _, s := range p.Subset() {
			after[s.VM] = true
		}
		for _, s := range before {
			subsetCounts[s.VM]++
			if !after[s.VM] {
				moved++
				assert.Equal(t, s.VM, targets[0].VM)
			}
		}
	}
	// The mean is 400*16/200 = 32; the bounds are four standard deviations of a binomial.
	for vm, d := range subsetCounts {
		assert.Assert(t, d > 10 && d < 54, "%s in %d subsets", vm, d)
	}
	assert.Equal(t, moved, subsetCounts[targets[0].VM])
}

// TestPickerInvariants drives a picker through random updates, calls and waits:
// draining servers get no calls, and a call finds a server whenever one is listed
// that is neither draining nor tried before.
func TestPickerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		p := route.New(route.Config{VM: "n", Zone: "a", SubsetSize: 3, RemoteSubsetSize: 2})
		now := start
		var targets []route.Target
		var calls []route.Choice
		refusedAt := make(map[string]time.Time)
		update := func(t *rapid.T) {
			targets = targets[:0]
			for i := range rapid.IntRange(0, 6).Draw(t, "servers") {
				target := makeTarget(i, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
				target.Draining = rapid.Bool().Draw(t, "draining")
				target.Load = rapid.IntRange(0, 20).Draw(t, "load")
				targets = append(targets, target)
			}
			p.Update(now, targets)
		}
		t.Repeat(map[string]func(*rapid.T){
			"update": update,
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"pick": func(t *rapid.T) {
				choice, ok := p.Pick(now, rng, 0)
				if !ok {
					for _, target := range targets {
						usable := !target.Draining && now.Sub(refusedAt[target.VM]) >= 10*time.Second
						inSubset := false
						for _, s := range p.Subset() {
							inSubset = inSubset || s.VM == target.VM
						}
						if usable && inSubset {
							t.Fatalf("no server, but %s is usable", target.VM)
						}
					}
					return
				}
				if choice.Target.Draining || now.Sub(refusedAt[choice.Target.VM]) < 10*time.Second {
					t.Fatalf("%s is draining", choice.Target.VM)
				}
				if other, ok := p.PickOther(now, rng, 0, choice); ok {
					if other.Target.VM == choice.Target.VM {
						t.Fatalf("retry at the same server")
					}
					calls = append(calls, other)
				}
				calls = append(calls, choice)
			},
			"done": func(t *rapid.T) {
				if len(calls) == 0 {
					t.Skip("no call")
				}
				result := route.Result(rapid.IntRange(0, int(route.Unreachable)).Draw(t, "result"))
				choice := calls[len(calls)-1]
				calls = calls[:len(calls)-1]
				if result == route.Draining {
					refusedAt[choice.Target.VM] = now
				}
				p.Done(now, choice, result, time.Millisecond)
			},
		})
	})
}

func TestPickAllocatesNothing(t *testing.T) {
	p := route.New(route.Config{VM: "n", Zone: "a"})
	p.Update(start, makeTargets("a", 100))
	rng := rand.New(rand.NewPCG(1, 2))
	allocations := testing.AllocsPerRun(1000, func() {
		choice, _ := p.Pick(start, rng, 0)
		p.Done(start, choice, route.Succeeded, time.Millisecond)
	})
	assert.Equal(t, allocations, 0.0)
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 10000} {
		for _, subset := range []int{16, size} {
			b.Run(fmt.Sprintf("targets=%d/subset=%d", size, subset), func(b *testing.B) {
				p := route.New(route.Config{VM: "n", Zone: "a", SubsetSize: subset})
				p.Update(start, makeTargets("a", size))
				rng := rand.New(rand.NewPCG(1, 2))
				b.ReportAllocs()
				for b.Loop() {
					choice, _ := p.Pick(start, rng, 0)
					p.Done(start, choice, route.Succeeded, time.Millisecond)
				}
			})
		}
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 10000} {
		for _, changed := range []string{"loads", "members"} {
			b.Run(fmt.Sprintf("targets=%d/%s", size, changed), func(b *testing.B) {
				targets := makeTargets("a", size)
				before := heapBytes()
				p := route.New(route.Config{VM: "n", Zone: "a"})
				p.Update(start, targets)
				heapGrowth := heapBytes() - before
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					targets[0].Load = i
					if changed == "members" {
						targets[0].Connections = i
					}
					p.Update(start, targets)
				}
				b.ReportMetric(float64(heapGrowth)/float64(size), "heapB/target")
			})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
