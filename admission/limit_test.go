package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// simulatedServer simulates a backend server that queues calls beyond its slots.
type simulatedServer struct {
	slots   int
	latency time.Duration
	// refuseBeyond makes the server refuse calls beyond its slots instead.
	refuseBeyond bool
}

// saturate keeps a limiter's queue full for the given length of time. It returns the
// limit's mean over the second half, and the time at the end.
func (s simulatedServer) saturate(l *Limiter, now time.Time, length time.Duration) (float64, time.Time) {
	const step = time.Millisecond
	type running struct {
		ticket *Ticket
		end    time.Time
		kind   Kind
	}
	var calls []running
	start := func(t *Ticket) {
		call := running{ticket: t, kind: Succeeded}
		load := float64(len(calls)+1) / float64(s.slots)
		switch {
		case load <= 1:
			call.end = now.Add(s.latency)
		case s.refuseBeyond:
			call.kind, call.end = Refused, now.Add(step)
		default:
			call.end = now.Add(time.Duration(load * float64(s.latency)))
		}
		calls = append(calls, call)
	}
	end, middle := now.Add(length), now.Add(length/2)
	sum, count := 0, 0
	for now.Before(end) {
		now = now.Add(step)
		for range 5 {
			t := &Ticket{}
			if decision, _ := l.Offer(t, now); decision.Action == Run {
				start(t)
			}
		}
		var remaining, ended []running
		for _, call := range calls {
			if call.end.After(now) {
				remaining = append(remaining, call)
			} else {
				ended = append(ended, call)
			}
		}
		calls = remaining
		for _, call := range ended {
			for _, t := range l.Finish(call.ticket, now, Result{Kind: call.kind}).Started {
				start(t)
			}
		}
		if now.After(middle) {
			sum += l.Limit()
			count++
		}
	}
	// The next server does not know these calls and would never end them.
	for i := 0; i < len(calls); i++ {
		for _, t := range l.Cancel(calls[i].ticket, now).Started {
			start(t)
		}
	}
	return float64(sum) / float64(count), now
}

// TestLimitFollowsServer checks that the limit approaches a server's real slots,
// also if the server announces more than it has.
func TestLimitFollowsServer(t *testing.T) {
	for _, test := range []struct {
		name      string
		announced int
		server    simulatedServer
		low, high float64
	}{
		{"announces its real slots", 35, simulatedServer{slots: 35, latency: 20 * time.Millisecond}, 34, 35},
		{"announces five times its slots, queues inside", 175, simulatedServer{slots: 35, latency: 20 * time.Millisecond}, 35, 80},
		{"announces twice its slots, refuses", 70, simulatedServer{slots: 35, latency: 20 * time.Millisecond, refuseBeyond: true}, 25, 42},
	} {
		t.Run(test.name, func(t *testing.T) {
			mean, _ := test.server.saturate(New(Config{Slots: test.announced}), epoch, 20*time.Second)
			assert.Assert(t, mean >= test.low && mean <= test.high, "mean limit %.1f", mean)
		})
	}
}

// TestLimitStaysWithSlowServer has a server that gets slower without queueing: it
// still needs all of its slots.
func TestLimitStaysWithSlowServer(t *testing.T) {
	limiter := New(Config{Slots: 35})
	_, now := simulatedServer{slots: 35, latency: 20 * time.Millisecond}.saturate(limiter, epoch, 5*time.Second)
	mean, _ := simulatedServer{slots: 35, latency: 100 * time.Millisecond}.saturate(limiter, now, 20*time.Second)
	assert.Assert(t, mean >= 34, "mean limit %.1f", mean)
}

// TestLimitFollowsLostSlots has a server lose slots without announcing it, after its
// limit has passed a probe. The limit must follow, though not at once.
func TestLimitFollowsLostSlots(t *testing.T) {
	limiter := New(Config{Slots: 35})
	_, now := simulatedServer{slots: 35, latency: 20 * time.Millisecond}.saturate(limiter, epoch, 10*time.Second)
	mean, _ := simulatedServer{slots: 15, latency: 20 * time.Millisecond}.saturate(limiter, now, 3*time.Minute)
	assert.Assert(t, mean >= 15 && mean <= 30, "mean limit %.1f", mean)
}

// TestPassedLimitStaysInSlowdown checks that a limit that has passed a probe is not
// probed again as soon as its server is slower.
func TestPassedLimitStaysInSlowdown(t *testing.T) {
	for _, test := range []struct {
		slowAfter time.Duration
		whole     bool
	}{{0, true}, {time.Nanosecond, false}} {
		limiter := New(Config{Slots: 10, ReprobeAfter: test.slowAfter})
		_, now := simulatedServer{slots: 10, latency: 20 * time.Millisecond}.saturate(limiter, epoch, 10*time.Second)
		mean, _ := simulatedServer{slots: 10, latency: 100 * time.Millisecond}.saturate(limiter, now, 5*time.Second)
		assert.Equal(t, mean == 10, test.whole, "mean limit %.1f", mean)
	}
}

// TestLevelOfStuckServer has a server whose calls never end: the admission level
// admits almost nothing, and everything again after the calls are cancelled.
func TestLevelOfStuckServer(t *testing.T) {
	limiter := New(Config{Slots: 10, StartFraction: 1})
	now := epoch
	var running []*Ticket
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		ticket := &Ticket{Priority: 1}
		if decision, _ := limiter.Offer(ticket, now); decision.Action == Run {
			running = append(running, ticket)
		}
	}
	assert.Assert(t, limiter.Level(now) < LevelsPerPriority+LevelsPerPriority/10, "%d", limiter.Level(now))
	for _, ticket := range running {
		limiter.Cancel(ticket, now)
	}
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		limiter.Level(now)
	}
	assert.Equal(t, limiter.Level(now), FullLevel)
}

// TestTicketOfReplacedLimiter checks that a ticket of a replaced limiter frees no slot
// of the new one.
func TestTicketOfReplacedLimiter(t *testing.T) {
	replaced, current := New(Config{Slots: 10}), New(Config{Slots: 10})
	ticket := &Ticket{}
	decision, _ := replaced.Offer(ticket, epoch)
	assert.Equal(t, decision, Decision{Action: Run, Cause: request.CauseNone})
	current.Finish(ticket, epoch, Result{})
	current.Cancel(ticket, epoch)
	assert.Equal(t, current.InFlight(), 0)
	assert.Equal(t, replaced.InFlight(), 1)
}
