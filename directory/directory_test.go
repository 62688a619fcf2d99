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

// twoZones starts six nodes in each of two zones and waits until every node lists
// all backend servers and has version 1.
func twoZones(t *testing.T) *site {
	s := newSite(t, directory.Timing{}, "a", "b")
	s.add("a", "orders", 6)
	s.add("b", "orders", 6)
	s.awaitAll("every node lists all", 30*time.Second, func(m *member) bool {
		return m.countTargets("a") == 6 && m.countTargets("b") == 6
	})
	s.await("three relays in each zone", 30*time.Second, func() bool {
		return len(s.relays("a")) == 3 && len(s.relays("b")) == 3
	})
	s.rollOut(1)
	s.awaitAll("version 1", 10*time.Second, func(m *member) bool { return m.run.sink.ActiveVersion() == 1 })
	return s
}

func TestDirectory(t *testing.T) {
	cases := []struct {
		name string
		run  func(s *site)
	}{
		{"a drain reaches all nodes in 3 s", func(s *site) { s.drain(5) }},
		{"a drain reaches all nodes in 3 s while the platform is down", func(s *site) {
			s.platform.SetFaults(fake.Faults{Down: true})
			time.Sleep(time.Minute)
			s.drain(5)
		}},
		{"a drain reaches all nodes in 3 s while a relay is killed", func(s *site) {
			s.relays("a")[0].kill()
			for _, m := range s.members {
				if _, relay := m.run.directory.RelaySlot(); !relay && m.zone == "a" && !m.run.killed.Load() {
					s.drain(indexOf(s, m))
					return
				}
			}
		}},
		{"a killed node is no longer listed", func(s *site) {
			s.members[5].kill()
			took := s.awaitAll("the others know", 10*time.Second, func(m *member) bool { return m.countTargets("a") == 5 })
			s.t.Logf("took %v", took)
		}},
		{"a killed relay is replaced", func(s *site) {
			s.relays("a")[1].kill()
			s.awaitAll("no other target is lost", 0, func(m *member) bool { return m.countTargets("a") >= 5 && m.countTargets("b") == 6 })
			took := s.await("three relays again", 30*time.Second, func() bool { return len(s.relays("a")) == 3 })
			s.awaitAll("every node lists five", 10*time.Second, func(m *member) bool { return m.countTargets("a") == 5 && m.countTargets("b") == 6 })
			s.t.Logf("took %v", took)
		}},
		{"a node stops responding", func(s *site) { s.checkUnresponsive(anyNode(s, "a"), 8*time.Second) }},
		{"a relay stops responding", func(s *site) { s.checkUnresponsive(s.relays("a")[1], unresponsiveLimit) }},
		{"a node is killed when a relay stops responding", func(s *site) {
			dead := anyNode(s, "b")
			dead.kill()
			// Relays keep the entries of a lost relay for another 20 s.
			s.checkUnresponsive(s.relays("b")[1], unresponsiveLimit+20*time.Second)
		}},
		{"all relays of a zone are killed", func(s *site) {
			for _, m := range s.relays("a") {
				m.kill()
			}
			s.await("three relays again", time.Minute, func() bool { return len(s.relays("a")) == 3 })
			s.awaitAll("every node lists three", 40*time.Second, func(m *member) bool { return m.countTargets("a") == 3 && m.countTargets("b") == 6 })
		}},
		{"the platform is down for an hour", func(s *site) {
			s.platform.SetFaults(fake.Faults{Down: true})
			for range 60 {
				time.Sleep(time.Minute)
				s.awaitAll("every node lists all", 0, func(m *member) bool { return m.countTargets("a") == 6 && m.countTargets("b") == 6 })
			}
			s.platform.SetFaults(fake.Faults{})
			s.rollOut(2)
			took := s.awaitAll("version 2", 15*time.Second, func(m *member) bool { return m.run.sink.ActiveVersion() == 2 })
			s.t.Logf("version 2 took %v", took)
			time.Sleep(time.Minute)
			assert.Equal(s.t, len(s.relays("a")), 3)
			s.awaitAll("every node lists all", 0, func(m *member) bool { return m.countTargets("a") == 6 && m.countTargets("b") == 6 })
		}},
		{"a zone is isolated and reconnected", func(s *site) {
			s.isolate("b")
			s.rollOut(2)
			s.awaitAll("each zone lists its own", 40*time.Second, func(m *member) bool {
				return m.countTargets(m.zone) == 6 && m.countTargets("a")+m.countTargets("b") == 6
			})
			s.awaitAll("version 2 in the other zone", 5*time.Second, func(m *member) bool {
				return m.zone == "b" || m.run.sink.ActiveVersion() == 2
			})
			s.isolate("")
			took := s.awaitAll("every node lists all", 30*time.Second, func(m *member) bool { return m.countTargets("a") == 6 && m.countTargets("b") == 6 })
			s.awaitAll("version 2", 11*time.Second, func(m *member) bool { return m.run.sink.ActiveVersion() == 2 })
			s.t.Logf("reconnecting took %v", took)
		}},
		{"a bundle becomes active in 5 s", func(s *site) {
			s.rollOut(2)
			took := s.awaitAll("version 2", 5*time.Second, func(m *member) bool { return m.run.sink.ActiveVersion() == 2 })
			s.t.Logf("took %v", took)
		}},
		{"many successive bundles are sent as deltas", func(s *site) {
			const last = 30
			for version := uint64(2); version <= last; version++ {
				s.rollOut(version)
				time.Sleep(300 * time.Millisecond)
			}
			s.awaitAll("the last version", 5*time.Second, func(m *member) bool { return m.run.sink.ActiveVersion() == last })
			for _, m := range s.members {
				if slot, relay := m.run.directory.RelaySlot(); !relay {
					full, deltas := m.run.sink.full.Load(), m.run.sink.deltas.Load()
					// Only a new link may deliver a full bundle.
					assert.Assert(s.t, full <= 3 && deltas > last/2, "%s received %d full bundles and %d deltas, slot %d", m.vm, full, deltas, slot)
				}
			}
		}},
		{"nodes restarted while the platform is down keep their version", func(s *site) {
			s.rollOut(2)
			s.await("version 2 somewhere", 5*time.Second, func() bool {
				for _, m := range s.members {
					if m.zone == "a" && m.run.sink.ActiveVersion() == 2 {
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

// onOneThread limits the test to one thread. With go1.26.8 the race detector's
// runtime sometimes crashes when timers of a synctest bubble run on several threads
// at once. What it detects does not depend on the number of threads.
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

// drain drains one backend server and waits until no node would call it.
func (s *site) drain(i int) {
	drained := s.members[i]
	before := s.members[(i+1)%len(s.members)].countTargets(drained.zone)
	drained.run.directory.SetBackend(directory.Backend{Service: "orders", Slots: 35, Connections: 300, Draining: true})
	took := s.awaitAll("the drain reaches all nodes", 3*time.Second, func(m *member) bool {
		for _, target := range m.run.directory.Targets("orders") {
			if target.VM == drained.vm && !target.Draining {
				return false
			}
		}
		return true
	})
	s.t.Logf("took %v, %d targets before", took, before)
}

// unresponsiveLimit is how long an unresponsive relay may stay listed: 10 s until
// its streams are closed, and the time to open new ones.
const unresponsiveLimit = 13 * time.Second

// checkUnresponsive makes a member unresponsive without closing its streams. It
// checks that its zone and then all nodes no longer list it, and that all streams
// to and from it are closed.
func (s *site) checkUnresponsive(unresponsive *member, limit time.Duration) {
	left := live(s, "orders") - 1
	s.makeUnresponsive(unresponsive)
	began := time.Now()
	delisted := func(m *member) bool { return m == unresponsive || m.countTargets("a")+m.countTargets("b") == left }
	if limit < unresponsiveLimit {
		s.awaitAll("its zone no longer lists it", limit, func(m *member) bool { return m.zone != unresponsive.zone || delisted(m) })
		s.t.Logf("its zone no longer lists it after %v", time.Since(began))
	}
	s.await("its streams are closed", unresponsiveLimit-time.Since(began), func() bool { return s.streamsOf(unresponsive) == 0 })
	s.awaitAll("no node lists it", max(limit, unresponsiveLimit)-time.Since(began), delisted)
	s.t.Logf("no node lists it after %v", time.Since(began))
}

// restart kills a node and starts it again. It checks that the active version is
// at least the one before, once the node may serve.
func (s *site) restart(m *member) {
	before := m.run.sink.ActiveVersion()
	m.kill()
	time.Sleep(time.Second)
	m.start()
	s.await(m.vm+" has caught up", time.Minute, func() bool {
		select {
		case <-m.run.directory.CaughtUp():
			return true
		default:
			return false
		}
	})
	assert.Assert(s.t, m.run.sink.ActiveVersion() >= before, "%s fell back from %d to %d", m.vm, before, m.run.sink.ActiveVersion())
}

// TestZonesFindEachOther starts an availability zone after another one has
// searched for it without success. Each must list the other's backend servers
// within the 10 s that are left before traffic starts, even if the platform goes
// down as soon as the second zone has a relay.
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
				first, second := s.addStopped("a", "orders"), s.addStopped("b", "orders")
				first.start()
				s.await("a relay in a", 10*time.Second, func() bool { return isRelay(first) })
				time.Sleep(100 * time.Millisecond)
				second.start()
				s.await("a relay in b", 10*time.Second, func() bool { return isRelay(second) })
				s.platform.SetFaults(fake.Faults{Down: c.down})
				took := s.awaitAll("every node lists all", 10*time.Second, func(m *member) bool {
					return m.countTargets("a") == 1 && m.countTargets("b") == 1
				})
				t.Logf("took %v", took)
			})
		})
	}
}

func isRelay(m *member) bool {
	_, relay := m.run.directory.RelaySlot()
	return relay
}

// TestInvitedAtOnce starts a second node at different times in the cycle in which
// the zone's only relay invites nodes. The node's backend server must stay listed
// when it becomes a relay. A link that a node ends because its role has changed
// must not count as a failure of the relay at its other end.
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
				first, second := s.addStopped("a", "orders"), s.addStopped("a", "orders")
				first.start()
				s.await("a relay", 10*time.Second, func() bool { return isRelay(first) })
				time.Sleep(wait)
				second.start()
				s.await("the second relay", 20*time.Second, func() bool { return isRelay(second) })
				s.await("the first lists both", 2*time.Second, func() bool { return first.countTargets("a") == 2 })
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					assert.Equal(t, first.countTargets("a"), 2)
				}
			})
		})
	}
}
