package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// settled returns a simulated zone in which every shard has an owner.
func settled(t *testing.T, vms, shards int) *sim {
	t.Helper()
	return settledWithSeed(t, 1, vms, shards)
}

func settledWithSeed(t *testing.T, seed uint64, vms, shards int) *sim {
	t.Helper()
	s := newSim(seed, vms, shards, faults{})
	s.run(10*time.Second + time.Duration(s.rng.Int64N(int64(time.Second))))
	for i := range shards {
		assert.Equal(t, len(s.owners(i)), 1, "shard %d of %+v", i, s.table)
	}
	return s
}

// unownedTime runs the zone for d and returns how long the shard had no owner, to
// within 50 ms.
func unownedTime(s *sim, shard int, d time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	unownedFor := time.Duration(0)
	for range d / step {
		s.run(step)
		if len(s.owners(shard)) == 0 {
			unownedFor += step
		}
	}
	return unownedFor
}

func TestShardsAreOwnedAndSpread(t *testing.T) {
	s := settled(t, 4, 16)
	owners := map[string]int{}
	for i := range 16 {
		owners[s.owners(i)[0]]++
	}
	assert.Assert(t, len(owners) >= 3, "%v", owners)
	assert.Equal(t, len(s.violations), 0)
}

// acrossSeeds measures 21 seeds and returns the shortest, median and longest result.
func acrossSeeds(t *testing.T, measure func(s *sim) time.Duration) [3]time.Duration {
	t.Helper()
	var all []time.Duration
	for seed := range uint64(21) {
		s := settledWithSeed(t, seed, 4, 4)
		all = append(all, measure(s))
		assert.Equal(t, len(s.violations), 0)
	}
	slices.Sort(all)
	t.Logf("unowned for %v to %v, median %v", all[0], all[20], all[10])
	return [3]time.Duration{all[0], all[10], all[20]}
}

func TestKilledOwnerIsReplaced(t *testing.T) {
	unownedFor := acrossSeeds(t, func(s *sim) time.Duration {
		s.nodes[s.owners(0)[0]].kill()
		return unownedTime(s, 0, 20*time.Second)
	})
	assert.Assert(t, unownedFor[2] <= 6*time.Second, "%v", unownedFor)
}

func TestRestartedOwnerContinues(t *testing.T) {
	s := settled(t, 4, 4)
	owner := s.owners(0)[0]
	s.nodes[owner].kill()
	s.nodes[owner].start()
	unownedFor := unownedTime(s, 0, 10*time.Second)
	t.Logf("unowned for %v", unownedFor)
	assert.Assert(t, unownedFor <= 500*time.Millisecond, "%v", unownedFor)
	assert.Equal(t, s.owners(0)[0], owner)
}

func TestOutageDoesNotStopOwner(t *testing.T) {
	s := settled(t, 4, 4)
	owner := s.owners(0)[0]
	s.outage = true
	unownedFor := unownedTime(s, 0, 5*time.Minute)
	assert.Equal(t, unownedFor, time.Duration(0))
	s.outage = false
	unownedFor = unownedTime(s, 0, 30*time.Second)
	assert.Equal(t, unownedFor, time.Duration(0), "shard unowned after the end of the outage")
	assert.Equal(t, s.owners(0)[0], owner)
	assert.Equal(t, len(s.violations), 0)
}

func TestRestartedOwnerContinuesInOutage(t *testing.T) {
	s := settled(t, 4, 4)
	owner := s.owners(0)[0]
	s.outage = true
	s.run(30 * time.Second)
	s.nodes[owner].kill()
	s.nodes[owner].start()
	unownedFor := unownedTime(s, 0, time.Minute)
	t.Logf("unowned for %v", unownedFor)
	assert.Assert(t, unownedFor <= time.Second, "%v", unownedFor)
	assert.Equal(t, s.owners(0)[0], owner)
}

func TestOwnerCutOffFromPlatformIsReplaced(t *testing.T) {
	unownedFor := acrossSeeds(t, func(s *sim) time.Duration {
		owner := s.owners(0)[0]
		s.nodes[owner].noPlatform = true
		unownedFor := unownedTime(s, 0, 20*time.Second)
		assert.Assert(t, s.owners(0)[0] != owner)
		return unownedFor
	})
	assert.Assert(t, unownedFor[2] <= 4*time.Second, "%v", unownedFor)
}

func TestShutdownHandsOver(t *testing.T) {
	unownedFor := acrossSeeds(t, func(s *sim) time.Duration {
		owner := s.owners(0)[0]
		inheritedGains := s.inheritedGains
		s.nodes[owner].handle(Shutdown{}, nil)
		unownedFor := unownedTime(s, 0, 5*time.Second)
		assert.Assert(t, s.owners(0)[0] != owner && s.inheritedGains > inheritedGains)
		assert.Assert(t, s.nodes[owner].machine == nil)
		return unownedFor
	})
	assert.Assert(t, unownedFor[2] <= 100*time.Millisecond, "%v", unownedFor)
}

// TestTakeoverAfterMajorityLossWaitsForHorizon kills the owner and the majority of the
// witnesses for good: the shard is taken over only after the horizon is over.
func TestTakeoverAfterMajorityLossWaitsForHorizon(t *testing.T) {
	s := newSim(1, 4, 1, faults{})
	s.timing.Horizon = time.Minute
	for _, n := range s.nodes {
		n.start()
	}
	s.run(10 * time.Second)
	owner := s.owners(0)[0]
	left := 1
	for _, name := range s.names {
		if name != owner && left > 0 {
			left--
			continue
		}
		s.nodes[name].kill()
	}
	unownedFor := unownedTime(s, 0, 2*time.Minute)
	t.Logf("unowned for %v", unownedFor)
	assert.Assert(t, unownedFor > time.Minute && unownedFor < 75*time.Second, "%v", unownedFor)
	assert.Equal(t, len(s.owners(0)), 1)
}

// TestOutageWithoutWitnesses shows why witnesses are needed: if ownership ended
// with the lease, an outage of the platform would leave all shards unowned.
func TestOutageWithoutWitnesses(t *testing.T) {
	s := newSim(1, 4, 4, faults{})
	s.timing.Horizon = 0
	for _, n := range s.nodes {
		n.start()
	}
	s.run(10 * time.Second)
	s.outage = true
	unownedFor := unownedTime(s, 0, 5*time.Minute)
	t.Logf("unowned for %v", unownedFor)
	assert.Assert(t, unownedFor > 4*time.Minute)
}

func TestRollingRestartKeepsState(t *testing.T) {
	s := settled(t, 4, 8)
	gainsWithoutState := s.gains - s.inheritedGains
	unownedFor := time.Duration(0)
	for _, name := range s.names {
		n := s.nodes[name]
		n.handle(Shutdown{}, nil)
		unownedFor += unownedTime(s, 0, 5*time.Second)
		assert.Assert(t, n.machine == nil)
		n.start()
		unownedFor += unownedTime(s, 0, 5*time.Second)
	}
	t.Logf("shard 0 unowned for %v, %d handovers", unownedFor, s.inheritedGains)
	assert.Equal(t, s.gains-s.inheritedGains, gainsWithoutState, "every owner must have the state of the shard")
	assert.Assert(t, unownedFor <= 200*time.Millisecond, "%v", unownedFor)
}

// TestRestartsInOutage restarts VMs one after the other while the platform is
// down. A restarted witness does not confirm, so the second restart costs the
// majority of four witnesses.
func TestRestartsInOutage(t *testing.T) {
	s := settled(t, 4, 1)
	owner := s.owners(0)[0]
	s.outage = true
	s.run(10 * time.Second)
	lasted := 0
	for _, name := range s.names {
		if name == owner {
			continue
		}
		s.nodes[name].kill()
		s.nodes[name].start()
		s.run(10 * time.Second)
		if len(s.owners(0)) == 0 {
			break
		}
		lasted++
	}
	assert.Equal(t, lasted, 1)
	s.outage = false
	unownedFor := unownedTime(s, 0, 20*time.Second)
	t.Logf("owned %v after the end of the outage", unownedFor)
	assert.Assert(t, unownedFor <= 3*time.Second, "%v", unownedFor)
}

func TestPlatformCallsDoNotGrowWithVMs(t *testing.T) {
	for _, vms := range []int{8, 32, 128} {
		s := settled(t, vms, 4)
		before := s.calls
		s.run(30 * time.Second)
		rate := float64(s.calls-before) / 30
		t.Logf("%d VMs: %.2f platform calls a second", vms, rate)
		assert.Assert(t, rate <= 18, "%d VMs: %v", vms, rate)
	}
}

func BenchmarkTick(b *testing.B) {
	for _, shards := range []int{4, 16, 64} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			s := newSim(1, 4, shards, faults{})
			s.run(10 * time.Second)
			n := s.nodes["vm0"]
			b.ReportAllocs()
			for b.Loop() {
				n.machine.Handle(Tick{VMs: s.names}, n.clock())
			}
		})
	}
}
