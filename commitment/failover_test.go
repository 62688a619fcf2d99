package commitment

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// paymentStats counts the final outcomes of payments.
type paymentStats struct {
	mu                           sync.Mutex
	answered, unknown, unsettled int
	longest                      time.Duration
	neverRan, ranButUnknown      int
	// notRun counts answers "not run", after which callers use a new key.
	notRun int
}

// payUntilFinal pays, and retries with the same key until the outcome is final:
// answered, or unknown permanently.
func (s *ownerSim) payUntilFinal(t *paymentStats) {
	key, began := s.newKey(), time.Now()
	for time.Since(began) < 30*time.Second {
		verdict, outcome := s.pay(key, 2*time.Second)
		if outcome == request.Answered {
			t.add(&t.answered, time.Since(began))
			s.repeatLater(key)
			return
		}
		if outcome == request.NotRun {
			// The caller may use a new key.
			key = s.newKey()
			t.add(&t.notRun, 0)
		}
		if verdict == Unknown {
			t.add(&t.unknown, time.Since(began))
			s.mu.Lock()
			ran := s.runs[key]
			s.mu.Unlock()
			if ran == 0 {
				t.add(&t.neverRan, 0)
			} else {
				t.add(&t.ranButUnknown, 0)
			}
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.add(&t.unsettled, time.Since(began))
}

// repeatLater retries an answered payment, like a caller that has lost the answer.
func (s *ownerSim) repeatLater(key Key) {
	if !s.repeats {
		return
	}
	for range 2 {
		s.mu.Lock()
		pause := time.Duration(s.source.IntN(8000)) * time.Millisecond
		s.mu.Unlock()
		time.Sleep(pause)
		s.pay(key, time.Second)
	}
}

func (t *paymentStats) add(count *int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*count++
	t.longest = max(t.longest, took)
}

// payAtRate starts payments at a fixed rate while events runs.
func (s *ownerSim) payAtRate(perSecond int, duration time.Duration, events func()) *paymentStats {
	t := &paymentStats{}
	var group sync.WaitGroup
	group.Go(events)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		group.Go(func() { s.payUntilFinal(t) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	// Wait until the remaining timers have expired.
	time.Sleep(time.Minute)
	return t
}

func TestUnknownOutcomes(t *testing.T) {
	kill := func(s *ownerSim) { time.Sleep(10 * time.Second); s.kill(5 * time.Second) }
	restart := func(s *ownerSim) { time.Sleep(10 * time.Second); s.kill(time.Second) }
	rolling := func(s *ownerSim) {
		for range 10 {
			time.Sleep(2 * time.Second)
			s.handOver()
		}
	}
	cases := []struct {
		name    string
		journal bool
		events  func(s *ownerSim)
		// maxUnknown is the target for unknown outcomes, or negative if there is
		// none.
		maxUnknown int
	}{
		{"kill, memory alone", false, kill, -1},
		{"kill, journal", true, kill, 5},
		{"restart in 1 s, memory alone", false, restart, -1},
		{"restart in 1 s, journal", true, restart, 5},
		{"rolling restart of 10 owners, memory alone", false, rolling, 0},
		{"rolling restart of 10 owners, journal", true, rolling, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newOwnerSim(1, c.journal)
				s.acquire(nil)
				time.Sleep(5 * time.Second)
				r := s.payAtRate(20, 30*time.Second, func() { c.events(s) })
				t.Logf("20 payments/s: answered %d, unknown %d (never ran %d, ran %d), unsettled %d, longest %v; verdicts %v; journal writes %d",
					r.answered, r.unknown, r.neverRan, r.ranButUnknown, r.unsettled, r.longest.Round(time.Millisecond), s.verdicts, s.store.writeCount())
				assert.NilError(t, s.failure())
				assert.Equal(t, r.unsettled, 0)
				assert.Assert(t, c.maxUnknown < 0 || r.unknown <= c.maxUnknown, "%d unknown", r.unknown)
			})
		})
	}
}

func TestOutageDegradesToMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSim(1, true)
		s.acquire(nil)
		time.Sleep(5 * time.Second)
		r := s.payAtRate(20, 60*time.Second, func() {
			time.Sleep(10 * time.Second)
			s.store.mu.Lock()
			s.store.down = true
			s.store.mu.Unlock()
			time.Sleep(30 * time.Second)
			s.store.mu.Lock()
			s.store.down = false
			s.store.mu.Unlock()
		})
		t.Logf("answered %d, unknown %d, not run %d, unsettled %d, longest %v, on memory %d; verdicts %v",
			r.answered, r.unknown, r.notRun, r.unsettled, r.longest.Round(time.Millisecond), s.memoryOnly, s.verdicts)
		assert.NilError(t, s.failure())
		assert.Assert(t, s.memoryOnly > 100, "%d", s.memoryOnly)
		assert.Equal(t, r.unknown+r.unsettled, 0)
	})
}

// Owners are killed and replaced by handover, messages and answers of the journal
// store are lost, and the platform goes down, all at the same time.
func TestOwnersRunCommitmentsAtMostOnce(t *testing.T) {
	for seed := range uint64(9) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newOwnerSim(seed, seed%4 != 0)
				s.loss, s.store.loseAnswers, s.repeats = 5, 10, true
				s.acquire(nil)
				r := s.payAtRate(20, 30*time.Second, func() { s.injectFailures(30 * time.Second) })
				t.Logf("answered %d, unknown %d, unsettled %d, on memory %d; verdicts %v",
					r.answered, r.unknown, r.unsettled, s.memoryOnly, s.verdicts)
				assert.NilError(t, s.failure())
				assert.Assert(t, r.answered > 100)
			})
		})
	}
}

// Each injected fault of the journal must be detected too, and nothing may be
// detected without it.
func TestInjectedJournalFaultsAreDetected(t *testing.T) {
	cases := []struct {
		name   string
		fault  journalFault
		script func(s *ownerSim)
	}{
		{"covered keys run on memory", faultCoveredRunsOnMemory, func(s *ownerSim) {
			s.setPlatformUp(false)
			s.pay(s.newKey(), time.Second)
			s.payKillAndRepeat(10*time.Millisecond, func() { s.setPlatformUp(true) })
		}},
		{"keys run before the journal is read", faultRunsBeforeLoad, func(s *ownerSim) {
			s.setPlatformUp(false)
			s.kill(10 * time.Millisecond)
			s.payKillAndRepeat(10*time.Millisecond, func() { s.setPlatformUp(true) })
		}},
		{"keys run before they are written", faultPermitsBeforeWrite, func(s *ownerSim) {
			s.store.setLatency(200 * time.Millisecond)
			s.payKillAndRepeat(30*time.Millisecond, func() { s.store.setLatency(2 * time.Millisecond) })
		}},
		{"coverage exceeds the records", faultCoverageWithoutRecords, func(s *ownerSim) {
			s.setPlatformUp(false)
			s.pay(s.newKey(), time.Second)
			time.Sleep(20 * time.Second)
			s.payKillAndRepeat(10*time.Millisecond, func() { s.setPlatformUp(true) })
		}},
	}
	for _, c := range cases {
		for _, fault := range []journalFault{noJournalFault, c.fault} {
			t.Run(fmt.Sprintf("%s, injected=%t", c.name, fault != noJournalFault), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newOwnerSim(1, true)
					s.acquire(nil)
					time.Sleep(5 * time.Second)
					s.pay(s.newKey(), time.Second)
					time.Sleep(time.Second)
					s.fault = fault
					c.script(s)
					time.Sleep(time.Minute)
					assert.Equal(t, s.failure() != nil, fault != noJournalFault, "%v; verdicts %v, on memory %d", s.failure(), s.verdicts, s.memoryOnly)
				})
			})
		}
	}
}

// payKillAndRepeat pays, kills the owner immediately and retries the payment with
// the next owner.
func (s *ownerSim) payKillAndRepeat(takeover time.Duration, between func()) {
	key := s.newKey()
	go s.pay(key, time.Second)
	time.Sleep(40 * time.Millisecond)
	go s.kill(takeover)
	time.Sleep(time.Millisecond)
	between()
	time.Sleep(2 * time.Second)
	s.pay(key, time.Second)
}

func (s *ownerSim) setPlatformUp(up bool) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.down = !up
}

// A write that a predecessor had in progress while its successor took over must
// not replace what the successor has written.
func TestLateWriteOfPredecessorIsFenced(t *testing.T) {
	for _, ignoreRevision := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignoreRevision=%t", ignoreRevision), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newOwnerSim(1, true)
				s.store.ignoreRevision = ignoreRevision
				s.acquire(nil)
				time.Sleep(5 * time.Second)
				s.store.setLatency(200 * time.Millisecond)
				late := make(chan Verdict)
				go func() {
					verdict, _ := s.pay(s.newKey(), 500*time.Millisecond)
					late <- verdict
				}()
				time.Sleep(50 * time.Millisecond)
				s.store.setLatency(2 * time.Millisecond)
				s.acquire(nil)
				time.Sleep(20 * time.Millisecond)
				s.pay(s.newKey(), time.Second)
				<-late
				time.Sleep(time.Minute)
				s.store.mu.Lock()
				defer s.store.mu.Unlock()
				assert.Equal(t, s.store.regressed, ignoreRevision)
			})
		})
	}
}

// A predecessor that was paused resumes while its successor cannot reach the
// platform: it must not cover keys that the successor runs with records in memory
// alone. A killed owner of the simulation continues in the background, like one
// that has resumed.
func TestResumedPredecessorCoversNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSim(1, true)
		s.acquire(nil)
		time.Sleep(5 * time.Second)
		s.pay(s.newKey(), time.Second)
		s.setPlatformUp(false)
		s.kill(10 * time.Millisecond)
		time.Sleep(2 * time.Second)
		s.kill(10 * time.Millisecond)
		// The platform is up when the second owner retries, and down when the
		// third one does.
		time.Sleep(2 * time.Second)
		s.setPlatformUp(true)
		time.Sleep(2 * time.Second)
		s.setPlatformUp(false)
		time.Sleep(7 * time.Second)
		key := s.newKey()
		verdict, _ := s.pay(key, time.Second)
		assert.Equal(t, verdict, Run)
		s.kill(10 * time.Millisecond)
		s.setPlatformUp(true)
		time.Sleep(6 * time.Second)
		verdict, _ = s.pay(key, time.Second)
		time.Sleep(time.Minute)
		assert.Equal(t, verdict, Unknown)
		assert.NilError(t, s.failure())
	})
}

func (s *ownerSim) injectFailures(duration time.Duration) {
	// A separate source, so that a seed always produces the same failures.
	source := rand.New(rand.NewPCG(s.seed, 5))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		kind, pause := source.IntN(4), time.Duration(source.IntN(4000))*time.Millisecond
		time.Sleep(pause)
		switch kind {
		case 0:
			s.kill(pause)
		case 1:
			s.handOver()
		default:
			s.store.mu.Lock()
			s.store.down = !s.store.down
			s.store.mu.Unlock()
		}
	}
	s.store.mu.Lock()
	s.store.down = false
	s.store.mu.Unlock()
}
