package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// closedLoop simulates a fixed number of callers, each of which sends its next call
// when its last one has ended.
type closedLoop struct {
	limiter *Limiter
	now     time.Time
	// duration returns the duration of a call that starts now.
	duration func(now time.Time) time.Duration
	// idle is the number of callers that send a call at the next step.
	idle int
	// paused keeps the callers whose calls have ended from sending others.
	paused  bool
	running map[*Ticket]time.Time
	refused int
}

func newClosedLoop(limiter *Limiter, callers int, duration func(now time.Time) time.Duration) *closedLoop {
	return &closedLoop{
		limiter: limiter, now: epoch, duration: duration, idle: callers,
		running: make(map[*Ticket]time.Time),
	}
}

func (c *closedLoop) run(length time.Duration) {
	const step = time.Millisecond
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(step) {
		for ticket, due := range c.running {
			if !due.After(c.now) {
				delete(c.running, ticket)
				if !c.paused {
					c.idle++
				}
				c.apply(c.limiter.Finish(ticket, c.now, Result{Kind: Succeeded}))
			}
		}
		c.apply(c.limiter.Expire(c.now))
		for range c.idle {
			c.offer()
		}
	}
}

func (c *closedLoop) offer() {
	c.idle--
	ticket := &Ticket{}
	decision, changes := c.limiter.Offer(ticket, c.now)
	c.apply(changes)
	switch decision.Action {
	case Run:
		c.start(ticket)
	case Refuse:
		c.refused++
		c.idle++
	case Queue:
	}
}

func (c *closedLoop) apply(changes Changes) {
	for _, ticket := range changes.Started {
		c.start(ticket)
	}
	c.refused += len(changes.Dropped)
	c.idle += len(changes.Dropped)
}

func (c *closedLoop) start(ticket *Ticket) {
	c.running[ticket] = c.now.Add(c.duration(c.now))
}

// TestProbeRefusesNoCalls has calls get slower and faster without queueing in the
// server, as on a machine that is short of processor time for moments. If the
// current limit has room for all callers, a probe of a lower limit must not cause
// any refusal.
func TestProbeRefusesNoCalls(t *testing.T) {
	alternating := func(now time.Time) time.Duration {
		if now.Sub(epoch)/time.Second%10 < 5 {
			return 15 * time.Millisecond
		}
		return 25 * time.Millisecond
	}
	for _, callers := range []int{10, 13, 15} {
		loop := newClosedLoop(New(Config{Slots: 8, StartFraction: 1}), callers, alternating)
		loop.run(5 * time.Minute)
		assert.Equal(t, loop.refused, 0, "%d callers", callers)
		assert.Equal(t, loop.limiter.Limit(), 8, "%d callers", callers)
	}
}

// TestSpareSlotsAdmitAll has a server that was idle get calls on at most three quarters of
// its slots. It guards against the fault that such a server reported itself overloaded
// because its first calls still ran: they held slots, and few calls had ended before.
func TestSpareSlotsAdmitAll(t *testing.T) {
	const slots = 8
	idleTimes := []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, time.Second}
	durations := []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}
	for _, idle := range idleTimes {
		for _, duration := range durations {
			for callers := 1; callers <= slots*3/4; callers++ {
				loop := newClosedLoop(New(Config{Slots: slots, StartFraction: 1}), 1, func(time.Time) time.Duration { return 10 * time.Millisecond })
				loop.paused = true
				loop.run(20*time.Millisecond + idle)
				loop.paused = false
				loop.duration = func(time.Time) time.Duration { return duration }
				loop.idle = callers
				for range 3000 {
					loop.run(time.Millisecond)
					level := loop.limiter.Level(loop.now)
					assert.Equal(t, level, FullLevel, "%s idle, calls of %s, %d callers, after %s", idle, duration, callers, loop.now.Sub(epoch))
				}
			}
		}
	}
}

// TestBurstsKeepLimit has calls come in bursts, with pauses in between, to a server that is
// short of processor time for moments. It guards against the fault that a limit that was
// reached for moments, with half of it in use on average, counted as fully used: probes
// that happened to find shorter calls kept the lower limit, until bursts were refused.
func TestBurstsKeepLimit(t *testing.T) {
	const period, phase = 10 * time.Millisecond, 150 * time.Millisecond
	for _, burst := range []int{8, 10} {
		for seed := range uint64(10) {
			random := rand.New(rand.NewPCG(seed, uint64(burst)))
			loop := newClosedLoop(New(Config{Slots: 16}), 0, nil)
			loop.paused = true
			var duration time.Duration
			loop.duration = func(time.Time) time.Duration { return duration }
			for i := range 20 * time.Second / period {
				if i%(phase/period) == 0 {
					duration = time.Duration(1+random.IntN(6)) * time.Millisecond
				}
				loop.idle = burst
				loop.run(period)
				assert.Equal(t, loop.refused, 0, "bursts of %d, seed %d, after %s, limit %d", burst, seed, loop.now.Sub(epoch), loop.limiter.Limit())
			}
		}
	}
}
