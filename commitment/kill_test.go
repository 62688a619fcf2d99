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

// tally counts how payments end.
type tally struct {
	mu                         sync.Mutex
	answered, unknown, stuck   int
	longest                    time.Duration
	neverRan, ranBehindUnknown int
	// again counts answers "not run", after which callers take another key.
	again int
}

// shop pays, and repeats with the same key until the outcome is known for good:
// answered, or unknown for ever.
func (s *site) shop(t *tally) {
	key, began := s.mint(), time.Now()
	for time.Since(began) < 30*time.Second {
		verdict, outcome := s.pay(key, 2*time.Second)
		if outcome == request.Answered {
			t.add(&t.answered, time.Since(began))
			s.repeatLater(key)
			return
		}
		if outcome == request.NotRun {
			// The caller may go on with another key.
			key = s.mint()
			t.add(&t.again, 0)
		}
		if verdict == Unknown {
			t.add(&t.unknown, time.Since(began))
			s.mu.Lock()
			ran := s.runs[key]
			s.mu.Unlock()
			if ran == 0 {
				t.add(&t.neverRan, 0)
			} else {
				t.add(&t.ranBehindUnknown, 0)
			}
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.add(&t.stuck, time.Since(began))
}

// repeatLater is a caller who has lost the answer.
func (s *site) repeatLater(key Key) {
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

func (t *tally) add(count *int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*count++
	t.longest = max(t.longest, took)
}

// shopAll starts payments at a rate while the events go on.
func (s *site) shopAll(perSecond int, duration time.Duration, events func()) *tally {
	t := &tally{}
	var group sync.WaitGroup
	group.Go(events)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		group.Go(func() { s.shop(t) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	// Timers of the drivers run out.
	time.Sleep(time.Minute)
	return t
}

func TestUnknownOutcomes(t *testing.T) {
	kill := func(s *site) { time.Sleep(10 * time.Second); s.kill(5 * time.Second) }
	restart := func(s *site) { time.Sleep(10 * time.Second); s.kill(time.Second) }
	rolling := func(s *site) {
		for range 10 {
			time.Sleep(2 * time.Second)
			s.handOver()
		}
	}
	cases := []struct {
		name    string
		journal bool
		events  func(s *site)
		// most is the target; negative where there is none.
		most int
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
				s := newSite(1, c.journal)
				s.gain(nil)
				time.Sleep(5 * time.Second)
				r := s.shopAll(20, 30*time.Second, func() { c.events(s) })
				t.Logf("20 payments/s: answered %d, unknown %d (never ran %d, ran %d), unsettled %d, longest %v; verdicts %v; journal writes %d",
					r.answered, r.unknown, r.neverRan, r.ranBehindUnknown, r.stuck, r.longest.Round(time.Millisecond), s.verdicts, s.store.count())
				assert.NilError(t, s.failure())
				assert.Equal(t, r.stuck, 0)
				assert.Assert(t, c.most < 0 || r.unknown <= c.most, "%d unknown", r.unknown)
			})
		})
	}
}

func TestOutageDegradesToMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, true)
		s.gain(nil)
		time.Sleep(5 * time.Second)
		r := s.shopAll(20, 60*time.Second, func() {
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
			r.answered, r.unknown, r.again, r.stuck, r.longest.Round(time.Millisecond), s.memory, s.verdicts)
		assert.NilError(t, s.failure())
		assert.Assert(t, s.memory > 100, "%d", s.memory)
		assert.Equal(t, r.unknown+r.stuck, 0)
	})
}

// Owners are killed and handed over, messages and journal answers lost, and
// the platform goes down, all at once.
func TestDriversRunCommitmentsAtMostOnce(t *testing.T) {
	for seed := range uint64(9) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(seed, seed%4 != 0)
				s.loss, s.store.lose, s.repeats = 5, 10, true
				s.gain(nil)
				r := s.shopAll(20, 30*time.Second, func() { s.trouble(30 * time.Second) })
				t.Logf("answered %d, unknown %d, unsettled %d, on memory %d; verdicts %v",
					r.answered, r.unknown, r.stuck, s.memory, s.verdicts)
				assert.NilError(t, s.failure())
				assert.Assert(t, r.answered > 100)
			})
		})
	}
}

// Each planted fault of the journal must be found too, and nothing without it.
func TestPlantedJournalFaultsAreFound(t *testing.T) {
	cases := []struct {
		name   string
		fault  journalFault
		script func(s *site)
	}{
		{"covered keys run on memory", faultCoveredRunsOnMemory, func(s *site) {
			s.platform(false)
			s.pay(s.mint(), time.Second)
			s.payAndRepeat(10*time.Millisecond, func() { s.platform(true) })
		}},
		{"keys run before the journal is read", faultRunsBeforeLoad, func(s *site) {
			s.platform(false)
			s.kill(10 * time.Millisecond)
			s.payAndRepeat(10*time.Millisecond, func() { s.platform(true) })
		}},
		{"keys run before they are written", faultPermitsBeforeWrite, func(s *site) {
			s.store.delay(200 * time.Millisecond)
			s.payAndRepeat(30*time.Millisecond, func() { s.store.delay(2 * time.Millisecond) })
		}},
		{"more is covered than is known", faultCoverageWithoutRecords, func(s *site) {
			s.platform(false)
			s.pay(s.mint(), time.Second)
			time.Sleep(20 * time.Second)
			s.payAndRepeat(10*time.Millisecond, func() { s.platform(true) })
		}},
	}
	for _, c := range cases {
		for _, fault := range []journalFault{noJournalFault, c.fault} {
			t.Run(fmt.Sprintf("%s, planted=%t", c.name, fault != noJournalFault), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(1, true)
					s.gain(nil)
					time.Sleep(5 * time.Second)
					s.pay(s.mint(), time.Second)
					time.Sleep(time.Second)
					s.fault = fault
					c.script(s)
					time.Sleep(time.Minute)
					assert.Equal(t, s.failure() != nil, fault != noJournalFault, "%v; verdicts %v, on memory %d", s.failure(), s.verdicts, s.memory)
				})
			})
		}
	}
}

// payAndRepeat pays, kills the owner at once and repeats the payment at the
// next one.
func (s *site) payAndRepeat(takeover time.Duration, between func()) {
	key := s.mint()
	go s.pay(key, time.Second)
	time.Sleep(40 * time.Millisecond)
	go s.kill(takeover)
	time.Sleep(time.Millisecond)
	between()
	time.Sleep(2 * time.Second)
	s.pay(key, time.Second)
}

func (s *site) platform(up bool) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.down = !up
}

// A write that a predecessor had under way while its successor took over must
// not replace what the successor has written.
func TestLateWriteOfPredecessorIsFenced(t *testing.T) {
	for _, blind := range []bool{false, true} {
		t.Run(fmt.Sprintf("blind=%t", blind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(1, true)
				s.store.blind = blind
				s.gain(nil)
				time.Sleep(5 * time.Second)
				s.store.delay(200 * time.Millisecond)
				late := make(chan Verdict)
				go func() {
					verdict, _ := s.pay(s.mint(), 500*time.Millisecond)
					late <- verdict
				}()
				time.Sleep(50 * time.Millisecond)
				s.store.delay(2 * time.Millisecond)
				s.gain(nil)
				time.Sleep(20 * time.Millisecond)
				s.pay(s.mint(), time.Second)
				<-late
				time.Sleep(time.Minute)
				s.store.mu.Lock()
				defer s.store.mu.Unlock()
				assert.Equal(t, s.store.regressed, blind)
			})
		})
	}
}

// A predecessor that was paused wakes while its successor cannot reach the
// platform: it must not cover keys that the successor runs on memory alone. A
// killed owner of the site goes on in the background as one that has woken.
func TestWokenPredecessorCoversNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, true)
		s.gain(nil)
		time.Sleep(5 * time.Second)
		s.pay(s.mint(), time.Second)
		s.platform(false)
		s.kill(10 * time.Millisecond)
		time.Sleep(2 * time.Second)
		s.kill(10 * time.Millisecond)
		// The platform is up when the second owner tries again, and down when
		// the third one does.
		time.Sleep(2 * time.Second)
		s.platform(true)
		time.Sleep(2 * time.Second)
		s.platform(false)
		time.Sleep(7 * time.Second)
		key := s.mint()
		verdict, _ := s.pay(key, time.Second)
		assert.Equal(t, verdict, Run)
		s.kill(10 * time.Millisecond)
		s.platform(true)
		time.Sleep(6 * time.Second)
		verdict, _ = s.pay(key, time.Second)
		time.Sleep(time.Minute)
		assert.Equal(t, verdict, Unknown)
		assert.NilError(t, s.failure())
	})
}

func (s *site) trouble(duration time.Duration) {
	// A source of its own, so that a seed always makes the same trouble.
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
