package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// modelServer is a backend server whose calls queue inside it beyond its slots.
type modelServer struct {
	slots int
	own   time.Duration
	// refuseBeyond refuses calls beyond the slots instead of queueing them.
	refuseBeyond bool
}

// saturate keeps a limiter's queue full for a time and returns the limit's mean
// over the second half.
func (s modelServer) saturate(l *Limiter, now time.Time, length time.Duration) (float64, time.Time) {
	const step = time.Millisecond
	type running struct {
		ticket *Ticket
		end    time.Time
		kind   Kind
	}
	var calls []running
	start := func(t *Ticket) {
		call := running{ticket: t, kind: Succeeded}
		over := float64(len(calls)+1) / float64(s.slots)
		switch {
		case over <= 1:
			call.end = now.Add(s.own)
		case s.refuseBeyond:
			call.kind, call.end = Refused, now.Add(step)
		default:
			call.end = now.Add(time.Duration(over * float64(s.own)))
		}
		calls = append(calls, call)
	}
	end, middle := now.Add(length), now.Add(length/2)
	sum, count := 0, 0
	for now.Before(end) {
		now = now.Add(step)
		for range 5 {
			t := &Ticket{}
			if verdict, _ := l.Offer(t, now); verdict.Action == Run {
				start(t)
			}
		}
		var left, ended []running
		for _, call := range calls {
			if call.end.After(now) {
				left = append(left, call)
			} else {
				ended = append(ended, call)
			}
		}
		calls = left
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
	// The next server would never end these.
	for i := 0; i < len(calls); i++ {
		for _, t := range l.Cancel(calls[i].ticket, now).Started {
			start(t)
		}
	}
	return float64(sum) / float64(count), now
}

// TestLimitFollowsTheServer: the announced slots are a hint that may be a lie.
func TestLimitFollowsTheServer(t *testing.T) {
	for _, test := range []struct {
		name      string
		announced int
		server    modelServer
		low, high float64
	}{
		{"honest", 35, modelServer{slots: 35, own: 20 * time.Millisecond}, 34, 35},
		{"announces five times its slots, queues inside", 175, modelServer{slots: 35, own: 20 * time.Millisecond}, 35, 80},
		{"announces twice its slots, refuses", 70, modelServer{slots: 35, own: 20 * time.Millisecond, refuseBeyond: true}, 25, 42},
	} {
		t.Run(test.name, func(t *testing.T) {
			mean, _ := test.server.saturate(New(Config{Slots: test.announced}), epoch, 20*time.Second)
			assert.Assert(t, mean >= test.low && mean <= test.high, "mean limit %.1f", mean)
		})
	}
}

// TestLimitStaysWithSlowServer: a server that gets slower without queueing
// still needs all of its slots.
func TestLimitStaysWithSlowServer(t *testing.T) {
	limiter := New(Config{Slots: 35})
	_, now := modelServer{slots: 35, own: 20 * time.Millisecond}.saturate(limiter, epoch, 5*time.Second)
	mean, _ := modelServer{slots: 35, own: 100 * time.Millisecond}.saturate(limiter, now, 20*time.Second)
	assert.Assert(t, mean >= 34, "mean limit %.1f", mean)
}

// TestLimitFollowsLostSlots: a server that silently has fewer slots than its
// limit once stood for is found out, if not at once.
func TestLimitFollowsLostSlots(t *testing.T) {
	limiter := New(Config{Slots: 35})
	_, now := modelServer{slots: 35, own: 20 * time.Millisecond}.saturate(limiter, epoch, 10*time.Second)
	mean, _ := modelServer{slots: 15, own: 20 * time.Millisecond}.saturate(limiter, now, 3*time.Minute)
	assert.Assert(t, mean >= 15 && mean <= 30, "mean limit %.1f", mean)
}

// TestTriedLimitStaysInSlowdown: a limit that has stood a trial is not tried
// again as soon as its server is slower.
func TestTriedLimitStaysInSlowdown(t *testing.T) {
	for _, test := range []struct {
		slowAfter time.Duration
		whole     bool
	}{{0, true}, {time.Nanosecond, false}} {
		limiter := New(Config{Slots: 10, SlowAfter: test.slowAfter})
		_, now := modelServer{slots: 10, own: 20 * time.Millisecond}.saturate(limiter, epoch, 10*time.Second)
		mean, _ := modelServer{slots: 10, own: 100 * time.Millisecond}.saturate(limiter, now, 5*time.Second)
		assert.Equal(t, mean == 10, test.whole, "mean limit %.1f", mean)
	}
}

// TestLevelOfStuckServer: a server whose calls never end admits next to
// nothing, and everything again once they have gone.
func TestLevelOfStuckServer(t *testing.T) {
	limiter := New(Config{Slots: 10, StartShare: 1})
	now := epoch
	var running []*Ticket
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		ticket := &Ticket{Priority: 1}
		if verdict, _ := limiter.Offer(ticket, now); verdict.Action == Run {
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

// TestForeignTicket: a ticket of a limiter that has been replaced frees no slot
// of its successor.
func TestForeignTicket(t *testing.T) {
	before, after := New(Config{Slots: 10}), New(Config{Slots: 10})
	ticket := &Ticket{}
	verdict, _ := before.Offer(ticket, epoch)
	assert.Equal(t, verdict, Verdict{Action: Run, Cause: request.CauseNone})
	after.Finish(ticket, epoch, Result{})
	after.Cancel(ticket, epoch)
	assert.Equal(t, after.InFlight(), 0)
	assert.Equal(t, before.InFlight(), 1)
}
