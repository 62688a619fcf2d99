package lineage

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// requestKind is a kind of request that a backend server runs, with its calls.
type requestKind struct {
	route   string
	timeout time.Duration
	calls   map[string]int
}

// runningRequest is a running request with the calls that it has not made yet.
type runningRequest struct {
	run          *Run
	kind         requestKind
	deadline     time.Time
	pendingCalls []string
}

// TestLearnsCallsOfRoutes models a service with three kinds of requests: an order looks
// up two profiles, a ledger request looks up one profile and four schedules, and an
// enquiry calls nothing. Up to 30 of them run at once, in any order.
func TestLearnsCallsOfRoutes(t *testing.T) {
	kinds := []requestKind{
		{"order", 1200 * time.Millisecond, map[string]int{"profile": 2}},
		{"ledger", time.Second, map[string]int{"profile": 1, "schedule": 4}},
		{"enquiry", 2500 * time.Millisecond, nil},
	}
	random := rand.New(rand.NewPCG(5, 6))
	now := time.Unix(100, 0)
	var tracker Tracker
	var all []*runningRequest
	correct, calls := 0, 0
	for range 30000 {
		now = now.Add(time.Duration(random.IntN(int(4 * time.Millisecond))))
		if len(all) < 1+random.IntN(30) {
			all = append(all, begin(&tracker, kinds[random.IntN(len(kinds))], now))
			continue
		}
		i := random.IntN(len(all))
		r := all[i]
		if len(r.pendingCalls) == 0 {
			tracker.End(r.run)
			all = append(all[:i], all[i+1:]...)
			continue
		}
		lag := time.Duration(random.IntN(int(3 * time.Millisecond)))
		parent := tracker.Attribute(r.pendingCalls[0], r.deadline.Add(lag-time.Millisecond))
		r.pendingCalls = r.pendingCalls[1:]
		calls++
		if parent != nil && parent.stats == r.run.stats {
			correct++
		}
	}
	for _, k := range kinds {
		for _, call := range []string{"profile", "schedule"} {
			want, got := float64(k.calls[call]), tracker.ExpectedCalls(k.route, call)
			assert.Assert(t, got > want-0.35 && got < want+0.35, "%s is expected to make %.2f calls to %s, but makes %v", k.route, got, call, want)
		}
	}
	assert.Assert(t, correct >= calls*9/10, "%d of %d calls were attributed to a run of the right route", correct, calls)
}

func begin(tracker *Tracker, k requestKind, now time.Time) *runningRequest {
	r := &runningRequest{kind: k, deadline: now.Add(k.timeout)}
	r.run = tracker.Begin(k.route, r.deadline)
	for call, count := range k.calls {
		for range count {
			r.pendingCalls = append(r.pendingCalls, call)
		}
	}
	return r
}

// TestShorterTimeout gives a call a shorter timeout, so that no deadline matches:
// the calls that runs of each route usually make decide.
func TestShorterTimeout(t *testing.T) {
	now := time.Unix(100, 0)
	var tracker Tracker
	for range 20 {
		order := tracker.Begin("order", now.Add(time.Second))
		assert.Equal(t, tracker.Attribute("profile", now.Add(time.Second)), order)
		enquiry := tracker.Begin("enquiry", now.Add(5*time.Second))
		tracker.End(order)
		tracker.End(enquiry)
	}
	tracker.Begin("enquiry", now.Add(5*time.Second))
	order := tracker.Begin("order", now.Add(4*time.Second))
	assert.Equal(t, tracker.Attribute("profile", now.Add(300*time.Millisecond)), order)
}

func TestNoRunningRequest(t *testing.T) {
	var tracker Tracker
	assert.Assert(t, tracker.Attribute("profile", time.Unix(1, 0)) == nil)
	run := tracker.Begin("order", time.Unix(2, 0))
	tracker.End(run)
	tracker.End(run)
	assert.Assert(t, tracker.Attribute("profile", time.Unix(2, 0)) == nil)
}

// TestOtherCallers models a service that makes no calls on a VM where other callers
// send requests without a key. These must not be attributed to the service, even
// if a deadline happens to match that of a running request.
func TestOtherCallers(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	now := time.Unix(100, 0)
	var tracker Tracker
	var running []*Run
	attributed := 0
	for i := range 20000 {
		now = now.Add(5 * time.Millisecond)
		running = append(running, tracker.Begin("schedule", now.Add(700*time.Millisecond)))
		if len(running) > 8 {
			tracker.End(running[0])
			running = running[1:]
		}
		if i%40 == 39 && tracker.Attribute("catalogue", now.Add(time.Duration(random.IntN(1000))*time.Millisecond)) != nil {
			attributed++
		}
	}
	assert.Equal(t, attributed, 0)
}
