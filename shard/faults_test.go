package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestInjectedFaultsAreDetected shows that random walks find the faults that the
// negative checks of the specification inject. Each case draws only from the steps
// that its fault needs, so that few seeds are enough.
func TestInjectedFaultsAreDetected(t *testing.T) {
	all := stepNames
	cases := []struct {
		name   string
		faults faults
		steps  []string
		// from is a seed shortly before one that detects the fault.
		from uint64
	}{
		{"clock read after the renewal's answer", faults{clockReadAfterCall: true}, []string{"pauseInCall", "long", "resume", "calm"}, 380},
		{"no margin for clock rates", faults{noMargin: true}, all, 0},
		{"no wait for the owner's lease", faults{noLeaseWait: true}, all, 0},
		{"no wait for the releases", faults{noReleaseWait: true}, all, 0},
		{"release before the confirmation runs out", faults{releaseEarly: true}, all, 0},
		{"lease not named by the table", faults{noLeaseBinding: true}, []string{"pause", "lateWrite", "long", "long", "resume", "calm"}, 1250},
		{"restarted witness confirms at once", faults{restartConfirms: true}, []string{"pause", "long", "split", "calm"}, 318},
		{"restarted witness releases at once", faults{restartReleases: true}, []string{"split", "split", "long", "calm"}, 345},
		{"owner continues after the handover", faults{actAfterHandover: true}, []string{"shutdown", "run", "messages", "calm"}, 145},
	}
	const seeds = 1000
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.from; seed < c.from+seeds; seed++ {
				if _, s := walk(seed, 60, c.faults, c.steps); len(s.violations) > 0 {
					t.Logf("detected with seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Fatalf("not detected with %d seeds", seeds)
		})
	}
}

// isolate cuts a group of VMs off from the platform and from the other VMs.
func (s *sim) isolate(group ...string) {
	inside := map[string]bool{}
	for _, name := range group {
		inside[name] = true
	}
	for _, name := range s.names {
		n := s.nodes[name]
		n.noPlatform = inside[name]
		for _, other := range s.names {
			n.cut[other] = inside[name] != inside[other]
		}
	}
}

// TestReplacedWitnessesMustRelease covers a case that is not in the specification:
// the witnesses change while the earlier ones are cut off, and the owner then
// restarts on the side of the earlier ones.
func TestReplacedWitnessesMustRelease(t *testing.T) {
	for _, f := range []faults{{}, {forgetWitnesses: true}} {
		s := newSim(1, 5, 1, f)
		s.timing.WitnessGrace = 2 * time.Second
		for _, n := range s.nodes {
			n.kill()
		}
		first := s.names[:3]
		for _, name := range first {
			s.nodes[name].start()
		}
		s.run(10 * time.Second)
		owner := s.owners(0)[0]
		var early []string
		for _, name := range first {
			if name != owner {
				early = append(early, name)
			}
		}
		s.isolate(early...)
		s.run(8 * time.Second)
		s.nodes["vm3"].start()
		s.nodes["vm4"].start()
		s.run(10 * time.Second)
		assert.DeepEqual(t, s.table.Shards[0].Witnesses, []string{owner, "vm3", "vm4"})
		s.isolate(first...)
		s.nodes[owner].kill()
		s.nodes[owner].start()
		s.run(20 * time.Second)
		assert.Equal(t, len(s.violations) > 0, f.forgetWitnesses, "%+v: %v", f, s.violations)
	}
}
