package shard

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain sets rapid's seed to a fixed value unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("4"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// stepNames lists the steps of a random walk. A name that occurs several times is
// chosen more often.
var stepNames = []string{
	"run", "run", "run", "run", "run", "long", "pause", "resume", "kill", "restart", "restart", "shutdown",
	"cut", "cutPlatform", "outage", "messages", "calm", "calm", "calm", "repair", "repair", "pauseInCall", "split", "endOutage", "lateWrite",
}

// step performs one of the named steps. pick returns a number from 0 to n-1.
func (s *sim) step(names []string, pick func(n int) int) string {
	name := names[pick(len(names))]
	n := s.nodes[s.names[pick(len(s.names))]]
	other := s.names[pick(len(s.names))]
	alive := n.machine != nil
	switch name {
	case "run":
		s.run(time.Duration(1+pick(40)) * 50 * time.Millisecond)
	case "long":
		s.run(time.Duration(1+pick(10)) * time.Second)
	case "pause":
		n.paused = alive
	case "pauseInCall":
		n.pauseInCall = alive
	case "split":
		s.split(pick)
	case "resume":
		n.resume()
	case "kill":
		n.kill()
	case "restart":
		n.kill()
		n.start()
	case "shutdown":
		if alive && !n.paused {
			n.handle(Shutdown{}, nil)
		}
	case "cut":
		n.cut[other] = other != n.vm
	case "cutPlatform":
		n.noPlatform = true
	case "outage":
		s.outage = true
	case "lateWrite":
		s.writeDelay = time.Duration(1+pick(6)) * time.Second
	case "endOutage":
		s.outage = false
	case "repair":
		s.repair()
	case "calm":
		s.repair()
		s.run(time.Duration(1+pick(8)) * time.Second)
	case "messages":
		s.dropRate, s.lateRate, s.duplicateRate = float64(pick(3))*0.1, float64(pick(3))*0.1, float64(pick(2))*0.2
	}
	s.check()
	return fmt.Sprintf("%v %s %s", s.now, name, n.vm)
}

// split cuts some VMs off from the others and from the platform, and resumes them.
// Some VMs restart.
func (s *sim) split(pick func(n int) int) {
	for _, name := range s.names {
		n := s.nodes[name]
		n.noPlatform = pick(2) == 0
	}
	for _, name := range s.names {
		n := s.nodes[name]
		for _, other := range s.names {
			n.cut[other] = n.noPlatform != s.nodes[other].noPlatform
		}
		if pick(3) == 0 {
			n.kill()
			n.start()
		}
		if n.noPlatform {
			n.resume()
		}
	}
}

// repair ends every fault.
func (s *sim) repair() {
	s.outage, s.dropRate, s.lateRate, s.duplicateRate = false, 0, 0, 0
	for _, name := range s.names {
		n := s.nodes[name]
		n.noPlatform = false
		clear(n.cut)
		n.resume()
		if n.machine == nil {
			n.start()
		}
	}
}

// randomSim returns a running zone whose clocks drift within MaxClockDrift. Some zones
// have a short horizon, replace witnesses quickly, or let only few VMs hold leases.
func randomSim(seed uint64, vms int, f faults, pick func(n int) int) *sim {
	s := newSim(seed, vms, 2, f)
	s.timing.Horizon = []time.Duration{time.Hour, 15 * time.Second}[pick(2)]
	s.timing.WitnessGrace = []time.Duration{30 * time.Second, 2 * time.Second}[pick(2)]
	s.maxCandidates = []int{7, 3}[pick(2)]
	rate := func() float64 { return 1 + MaxClockDrift*float64(pick(3)-1) }
	s.clockRate = rate()
	for _, name := range s.names {
		n := s.nodes[name]
		n.kill()
		n.clockRate = rate()
		n.start()
	}
	s.run(6 * time.Second)
	return s
}

func TestNoTwoOwners(t *testing.T) {
	steps, gains := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		s := randomSim(rapid.Uint64().Draw(t, "seed"), 3+pick(3), faults{}, pick)
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				steps++
				t.Log(s.step(stepNames, pick))
			},
			"": func(t *rapid.T) { assert.Equal(t, len(s.violations), 0, "%v", s.violations) },
		})
		gains += s.gains
	})
	t.Logf("%d steps, shards gained %d times", steps, gains)
}

// walk runs one seed and returns the steps taken and the zone, which holds the
// violations.
func walk(seed uint64, steps int, f faults, names []string) (trace []string, s *sim) {
	rng := rand.New(rand.NewPCG(seed, 2))
	s = randomSim(seed, 3+int(seed%3), f, rng.IntN)
	for range steps {
		trace = append(trace, s.step(names, rng.IntN))
		if len(s.violations) > 0 {
			break
		}
	}
	return trace, s
}

// TestSoak runs random walks for SOAK_MINUTES, starting with SOAK_SEED.
func TestSoak(t *testing.T) {
	minutes, err := strconv.ParseFloat(os.Getenv("SOAK_MINUTES"), 64)
	if err != nil {
		t.Skip("SOAK_MINUTES is not set")
	}
	seed, _ := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	end := time.Now().Add(time.Duration(minutes * float64(time.Minute)))
	first, steps, gains := seed, 0, 0
	for ; time.Now().Before(end); seed++ {
		trace, s := walk(seed, 200, faults{}, stepNames)
		steps += len(trace)
		gains += s.gains
		assert.Equal(t, len(s.violations), 0, "seed %d: %v\n%v", seed, s.violations, trace)
	}
	t.Logf("seeds %d to %d, %d steps, shards gained %d times", first, seed-1, steps, gains)
}
