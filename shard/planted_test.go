package shard

import "testing"

// TestPlantedFaultsAreSeen shows that random runs would find the faults that
// the specification's negative checks plant. Each draws from the steps that
// its fault needs, so that few seeds will do.
func TestPlantedFaultsAreSeen(t *testing.T) {
	all := faultNames
	cases := []struct {
		name   string
		faults faults
		steps  []string
		// from is a seed shortly before one that shows the fault.
		from uint64
	}{
		{"clock read after the renewal's answer", faults{clockAfter: true}, []string{"pauseInCall", "long", "resume", "calm"}, 140},
		{"no margin for clock rates", faults{noMargin: true}, all, 0},
		{"no wait for the owner's lease", faults{noWait: true}, all, 0},
		{"no releases awaited", faults{noRelease: true}, all, 0},
		{"release before the confirmation runs out", faults{earlyRelease: true}, all, 0},
		{"lease not named by the table", faults{noBind: true}, []string{"pause", "lateWrite", "long", "long", "resume", "calm"}, 552},
		{"restarted witness confirms at once", faults{restartConfirms: true}, []string{"pause", "long", "split", "calm"}, 315},
		{"restarted witness releases at once", faults{restartReleases: true}, []string{"split", "split", "long", "calm"}, 82},
		{"owner goes on after it has handed over", faults{lateStop: true}, []string{"shutdown", "run", "messages", "calm"}, 0},
	}
	const seeds = 1000
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.from; seed < c.from+seeds; seed++ {
				if _, s := walk(seed, 60, c.faults, c.steps); len(s.violations) > 0 {
					t.Logf("seen with seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Fatalf("not seen in %d seeds", seeds)
		})
	}
}
