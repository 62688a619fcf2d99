package admission

import (
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
	idle    int
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
				c.idle++
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
