package directory_test

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/directory"
	"auburngap/kv/fake"
)

// twoZones starts six nodes in each of two zones and waits until all see all.
func twoZones(t *testing.T) *site {
	s := newSite(t, directory.Timing{}, "a", "b")
	s.add("a", "orders", 6)
	s.add("b", "orders", 6)
	s.awaitAll("all see all", 30*time.Second, func(m *member) bool {
		return m.sees("a") == 6 && m.sees("b") == 6
	})
	s.await("three relays in each zone", 30*time.Second, func() bool {
		return len(s.relays("a")) == 3 && len(s.relays("b")) == 3
	})
	s.rollOut(1)
	s.awaitAll("version 1", 10*time.Second, func(m *member) bool { return m.life.sink.ActiveVersion() == 1 })
	return s
}

func TestDirectory(t *testing.T) {
	cases := []struct {
		name string
		run  func(s *site)
	}{
		{"a drain is known in 3 s", func(s *site) { s.drain(5) }},
		{"a drain is known in 3 s while the platform is down", func(s *site) {
			s.platform.SetFaults(fake.Faults{Down: true})
			time.Sleep(time.Minute)
			s.drain(5)
		}},
		{"a drain is known in 3 s while a relay is killed", func(s *site) {
			s.relays("a")[0].kill()
			for _, m := range s.members {
				if _, relay := m.life.d.RelaySlot(); !relay && m.zone == "a" && !m.life.killed.Load() {
					s.drain(indexOf(s, m))
					return
				}
			}
		}},
		{"a killed node is no longer listed", func(s *site) {
			s.members[5].kill()
			took := s.awaitAll("the others know", 10*time.Second, func(m *member) bool { return m.sees("a") == 5 })
			s.t.Logf("took %v", took)
		}},
		{"a killed relay is replaced", func(s *site) {
			s.relays("a")[1].kill()
			s.awaitAll("no other target is lost", 0, func(m *member) bool { return m.sees("a") >= 5 && m.sees("b") == 6 })
			took := s.await("three relays again", 30*time.Second, func() bool { return len(s.relays("a")) == 3 })
			s.awaitAll("all see five", 10*time.Second, func(m *member) bool { return m.sees("a") == 5 && m.sees("b") == 6 })
			s.t.Logf("took %v", took)
		}},
		{"a node falls silent", func(s *site) { s.fallSilent(anyNode(s, "a"), 8*time.Second) }},
		{"a relay falls silent", func(s *site) { s.fallSilent(s.relays("a")[1], silenceLimit) }},
		{"a node dies as a relay falls silent", func(s *site) {
			dead := anyNode(s, "b")
			dead.kill()
			// Relays keep what a lost one listed for another 20 s.
			s.fallSilent(s.relays("b")[1], silenceLimit+20*time.Second)
		}},
		{"all relays of a zone killed", func(s *site) {
			for _, m := range s.relays("a") {
				m.kill()
			}
			s.await("three relays again", time.Minute, func() bool { return len(s.relays("a")) == 3 })
			s.awaitAll("all see three", 40*time.Second, func(m *member) bool { return m.sees("a") == 3 && m.sees("b") == 6 })
		}},
		{"the platform is down for an hour", func(s *site) {
			s.platform.SetFaults(fake.Faults{Down: true})
			for range 60 {
				time.Sleep(time.Minute)
				s.awaitAll("all see all", 0, func(m *member) bool { return m.sees("a") == 6 && m.sees("b") == 6 })
			}
			s.platform.SetFaults(fake.Faults{})
			s.rollOut(2)
			took := s.awaitAll("version 2", 15*time.Second, func(m *member) bool { return m.life.sink.ActiveVersion() == 2 })
			s.t.Logf("version 2 took %v", took)
			time.Sleep(time.Minute)
			assert.Equal(s.t, len(s.relays("a")), 3)
			s.awaitAll("all see all", 0, func(m *member) bool { return m.sees("a") == 6 && m.sees("b") == 6 })
		}},
		{"a zone cut off and healed", func(s *site) {
			s.cut("b")
			s.rollOut(2)
			s.awaitAll("each zone sees its own", 40*time.Second, func(m *member) bool {
				return m.sees(m.zone) == 6 && m.sees("a")+m.sees("b") == 6
			})
			s.awaitAll("version 2 beside the cut", 5*time.Second, func(m *member) bool {
				return m.zone == "b" || m.life.sink.ActiveVersion() == 2
			})
			s.cut("")
			took := s.awaitAll("all see all", 30*time.Second, func(m *member) bool { return m.sees("a") == 6 && m.sees("b") == 6 })
			s.awaitAll("version 2", 11*time.Second, func(m *member) bool { return m.life.sink.ActiveVersion() == 2 })
			s.t.Logf("healing took %v", took)
		}},
		{"a bundle is in force in 5 s", func(s *site) {
			s.rollOut(2)
			took := s.awaitAll("version 2", 5*time.Second, func(m *member) bool { return m.life.sink.ActiveVersion() == 2 })
			s.t.Logf("took %v", took)
		}},
		{"many bundles in a row travel as deltas", func(s *site) {
			const last = 30
			for version := uint64(2); version <= last; version++ {
				s.rollOut(version)
				time.Sleep(300 * time.Millisecond)
			}
			s.awaitAll("the last version", 5*time.Second, func(m *member) bool { return m.life.sink.ActiveVersion() == last })
			for _, m := range s.members {
				if slot, relay := m.life.d.RelaySlot(); !relay {
					wholes, deltas := m.life.sink.wholes.Load(), m.life.sink.deltas.Load()
					// A new link may bring a whole bundle, nothing else does.
					assert.Assert(s.t, wholes <= 3 && deltas > last/2, "%s took %d wholes and %d deltas, slot %d", m.vm, wholes, deltas, slot)
				}
			}
		}},
		{"nodes restarted while the platform is down never fall back", func(s *site) {
			s.rollOut(2)
			s.await("version 2 somewhere", 5*time.Second, func() bool {
				for _, m := range s.members {
					if m.zone == "a" && m.life.sink.ActiveVersion() == 2 {
						return true
					}
				}
				return false
			})
			s.platform.SetFaults(fake.Faults{Down: true})
			for _, m := range s.members[:6] {
				s.restart(m)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer onOneThread()()
				s := twoZones(t)
				defer s.stop()
				c.run(s)
			})
		})
	}
}

// onOneThread keeps the race detector's run time alive: with go1.26.8 it dies
// now and then where timers of a synctest bubble run on several threads at once.
// What it finds does not depend on the number of threads.
func onOneThread() (restore func()) {
	before := runtime.GOMAXPROCS(1)
	return func() { runtime.GOMAXPROCS(before) }
}

func indexOf(s *site, wanted *member) int {
	for i, m := range s.members {
		if m == wanted {
			return i
		}
	}
	return -1
}

// drain lets one backend server drain and waits until nobody would call it.
func (s *site) drain(i int) {
	drained := s.members[i]
	before := s.members[(i+1)%len(s.members)].sees(drained.zone)
	drained.life.d.SetBackend(directory.Backend{Service: "orders", Slots: 35, Connections: 300, Draining: true})
	took := s.awaitAll("the drain is known", 3*time.Second, func(m *member) bool {
		for _, target := range m.life.d.Targets("orders") {
			if target.VM == drained.vm && !target.Draining {
				return false
			}
		}
		return true
	})
	s.t.Logf("took %v, %d targets before", took, before)
}

// silenceLimit is how long word of a silent relay may stand: 10 s until its
// streams are given up, and what new ones take.
const silenceLimit = 13 * time.Second

// fallSilent takes a member's VM away without a word: its zone and then all drop
// it, and nobody goes on listening to it.
func (s *site) fallSilent(silent *member, limit time.Duration) {
	left := live(s, "orders") - 1
	s.silence(silent)
	began := time.Now()
	knows := func(m *member) bool { return m == silent || m.sees("a")+m.sees("b") == left }
	if limit < silenceLimit {
		s.awaitAll("its zone knows", limit, func(m *member) bool { return m.zone != silent.zone || knows(m) })
		s.t.Logf("its zone knows after %v", time.Since(began))
	}
	s.await("its streams are given up", silenceLimit-time.Since(began), func() bool { return s.streamsOf(silent) == 0 })
	s.awaitAll("all know", max(limit, silenceLimit)-time.Since(began), knows)
	s.t.Logf("all know after %v", time.Since(began))
}

// restart kills a node and starts it anew: once it may serve, it has in force
// at least what it had.
func (s *site) restart(m *member) {
	before := m.life.sink.ActiveVersion()
	m.kill()
	time.Sleep(time.Second)
	m.start()
	s.await(m.vm+" has caught up", time.Minute, func() bool {
		select {
		case <-m.life.d.CaughtUp():
			return true
		default:
			return false
		}
	})
	assert.Assert(s.t, m.life.sink.ActiveVersion() >= before, "%s fell back from %d to %d", m.vm, before, m.life.sink.ActiveVersion())
}

// TestZonesFindEachOther starts an availability zone after another one has
// looked for it in vain. Each has to list the other's backend servers within
// the 10 s that are left before traffic, also if the platform goes down as soon
// as the second zone has a relay.
func TestZonesFindEachOther(t *testing.T) {
	for _, c := range []struct {
		name string
		down bool
	}{{"platform up", false}, {"platform down", true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, directory.Timing{}, "a", "b")
				s.seedsAnywhere = true
				defer s.stop()
				first, second := s.place("a", "orders"), s.place("b", "orders")
				first.start()
				s.await("a relay in a", 10*time.Second, func() bool { return isRelay(first) })
				time.Sleep(100 * time.Millisecond)
				second.start()
				s.await("a relay in b", 10*time.Second, func() bool { return isRelay(second) })
				s.platform.SetFaults(fake.Faults{Down: c.down})
				took := s.awaitAll("all see all", 10*time.Second, func(m *member) bool {
					return m.sees("a") == 1 && m.sees("b") == 1
				})
				t.Logf("took %v", took)
			})
		})
	}
}

func isRelay(m *member) bool {
	_, relay := m.life.d.RelaySlot()
	return relay
}

// TestInvitedAtOnce invites a node to be a relay at different times after it has
// linked to the zone's only relay. Its backend server stays listed: a link that
// a node ends since its role has changed says nothing against the other end.
func TestInvitedAtOnce(t *testing.T) {
	const (
		cycle = 2 * time.Second
		step  = 200 * time.Millisecond
	)
	for wait := time.Duration(0); wait < cycle; wait += step {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, directory.Timing{}, "a")
				defer s.stop()
				first, second := s.place("a", "orders"), s.place("a", "orders")
				first.start()
				s.await("a relay", 10*time.Second, func() bool { return isRelay(first) })
				time.Sleep(wait)
				second.start()
				s.await("the second relay", 20*time.Second, func() bool { return isRelay(second) })
				s.await("the first sees both", 2*time.Second, func() bool { return first.sees("a") == 2 })
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					assert.Equal(t, first.sees("a"), 2)
				}
			})
		})
	}
}
