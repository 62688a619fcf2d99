package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// settled returns a zone whose shards are all owned.
func settled(t *testing.T, vms, shards int) *sim {
	t.Helper()
	return settledSeed(t, 1, vms, shards)
}

func settledSeed(t *testing.T, seed uint64, vms, shards int) *sim {
	t.Helper()
	s := newSim(seed, vms, shards, faults{})
	s.run(10*time.Second + time.Duration(s.rng.Int64N(int64(time.Second))))
	for i := range shards {
		assert.Equal(t, len(s.owners(i)), 1, "shard %d of %+v", i, s.table)
	}
	return s
}

// unowned returns how long a shard had no owner within d, at most 50 ms out.
func unowned(s *sim, shard int, d time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	gone := time.Duration(0)
	for range d / step {
		s.run(step)
		if len(s.owners(shard)) == 0 {
			gone += step
		}
	}
	return gone
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

// overSeeds returns the shortest, median and longest of what 21 seeds give.
func overSeeds(t *testing.T, measure func(s *sim) time.Duration) [3]time.Duration {
	t.Helper()
	var all []time.Duration
	for seed := range uint64(21) {
		s := settledSeed(t, seed, 4, 4)
		all = append(all, measure(s))
		assert.Equal(t, len(s.violations), 0)
	}
	slices.Sort(all)
	t.Logf("unowned for %v to %v, median %v", all[0], all[20], all[10])
	return [3]time.Duration{all[0], all[10], all[20]}
}

func TestKilledOwnerIsReplaced(t *testing.T) {
	gone := overSeeds(t, func(s *sim) time.Duration {
		s.nodes[s.owners(0)[0]].kill()
		return unowned(s, 0, 20*time.Second)
	})
	assert.Assert(t, gone[2] <= 6*time.Second, "%v", gone)
}

func TestRestartedOwnerGoesOn(t *testing.T) {
	s := settled(t, 4, 4)
	owner := s.owners(0)[0]
	s.nodes[owner].kill()
	s.nodes[owner].start()
	gone := unowned(s, 0, 10*time.Second)
	t.Logf("unowned for %v", gone)
	assert.Assert(t, gone <= 500*time.Millisecond, "%v", gone)
	assert.Equal(t, s.owners(0)[0], owner)
}

func TestOutageDoesNotStopOwner(t *testing.T) {
	s := settled(t, 4, 4)
	owner := s.owners(0)[0]
	s.outage = true
	gone := unowned(s, 0, 5*time.Minute)
	assert.Equal(t, gone, time.Duration(0))
	s.outage = false
	gone = unowned(s, 0, 30*time.Second)
	assert.Equal(t, gone, time.Duration(0), "the platform is back")
	assert.Equal(t, s.owners(0)[0], owner)
	assert.Equal(t, len(s.violations), 0)
}

func TestRestartedOwnerGoesOnInOutage(t *testing.T) {
	s := settled(t, 4, 4)
	owner := s.owners(0)[0]
	s.outage = true
	s.run(30 * time.Second)
	s.nodes[owner].kill()
	s.nodes[owner].start()
	gone := unowned(s, 0, time.Minute)
	t.Logf("unowned for %v", gone)
	assert.Assert(t, gone <= time.Second, "%v", gone)
	assert.Equal(t, s.owners(0)[0], owner)
}

func TestOwnerThatAloneLostPlatformIsSucceeded(t *testing.T) {
	gone := overSeeds(t, func(s *sim) time.Duration {
		owner := s.owners(0)[0]
		s.nodes[owner].noPlatform = true
		gone := unowned(s, 0, 20*time.Second)
		assert.Assert(t, s.owners(0)[0] != owner)
		return gone
	})
	assert.Assert(t, gone[2] <= 4*time.Second, "%v", gone)
}

func TestShutdownHandsOver(t *testing.T) {
	gone := overSeeds(t, func(s *sim) time.Duration {
		owner := s.owners(0)[0]
		handed := s.handed
		s.nodes[owner].handle(Shutdown{}, nil)
		gone := unowned(s, 0, 5*time.Second)
		assert.Assert(t, s.owners(0)[0] != owner && s.handed > handed)
		assert.Assert(t, s.nodes[owner].machine == nil)
		return gone
	})
	assert.Assert(t, gone[2] <= 100*time.Millisecond, "%v", gone)
}

func TestMajorityGoneForGoodIsWaitedOut(t *testing.T) {
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
	gone := unowned(s, 0, 2*time.Minute)
	t.Logf("unowned for %v", gone)
	assert.Assert(t, gone > time.Minute && gone < 75*time.Second, "%v", gone)
	assert.Equal(t, len(s.owners(0)), 1)
}

// TestOutageWithoutWitnesses shows what witnesses are for: if ownership ended
// with the lease, an outage would stop the zone.
func TestOutageWithoutWitnesses(t *testing.T) {
	s := newSim(1, 4, 4, faults{})
	s.timing.Horizon = 0
	for _, n := range s.nodes {
		n.start()
	}
	s.run(10 * time.Second)
	s.outage = true
	gone := unowned(s, 0, 5*time.Minute)
	t.Logf("unowned for %v", gone)
	assert.Assert(t, gone > 4*time.Minute)
}

func TestRollingRestartKeepsState(t *testing.T) {
	s := settled(t, 4, 8)
	without := s.gains - s.handed
	gone := time.Duration(0)
	for _, name := range s.names {
		n := s.nodes[name]
		n.handle(Shutdown{}, nil)
		gone += unowned(s, 0, 5*time.Second)
		assert.Assert(t, n.machine == nil)
		n.start()
		gone += unowned(s, 0, 5*time.Second)
	}
	t.Logf("shard 0 unowned for %v, %d handovers", gone, s.handed)
	assert.Equal(t, s.gains-s.handed, without, "every gain came with its state")
	assert.Assert(t, gone <= 200*time.Millisecond, "%v", gone)
}

// TestRestartsInOutage restarts VMs one after the other while the platform is
// down: a restarted witness is silent, so that the majority of four is lost
// with the second.
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
	gone := unowned(s, 0, 20*time.Second)
	t.Logf("owned %v after the platform is back", gone)
	assert.Assert(t, gone <= 3*time.Second, "%v", gone)
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
