package directory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/directory"
)

// TestRestartedRelayLosesNoTarget restarts the relays of a zone one after another.
// Each lists few entries at first, because its nodes have not reconnected yet. The
// relays of the other zone, each linked to one of them, must keep the entries that
// they had.
func TestRestartedRelayLosesNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, directory.Timing{}, "a", "b")
		defer s.stop()
		s.add("a", "orders", 3)
		s.add("b", "orders", 3)
		s.awaitAll("every node lists all", 30*time.Second, func(m *member) bool {
			return m.countTargets("a") == 3 && m.countTargets("b") == 3
		})
		s.await("three relays in each zone", 30*time.Second, func() bool {
			return len(s.relays("a")) == 3 && len(s.relays("b")) == 3
		})
		time.Sleep(10 * time.Second)
		for _, m := range s.members {
			if m.zone != "b" {
				continue
			}
			m.kill()
			m.dialDelay = 300 * time.Millisecond
			m.start()
			for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
				for _, other := range s.members {
					if other.zone == "a" {
						assert.Assert(t, other.countTargets("b") >= 2, "%s lists %d servers of b %v after the restart of %s",
							other.vm, other.countTargets("b"), time.Since(began), m.vm)
					}
				}
			}
		}
	})
}
