package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/request"
)

// refusingRates has no token for any request.
type refusingRates struct{ retryAfter time.Duration }

func (r refusingRates) take(context.Context, string) (func(), *request.Refusal) {
	return nil, request.Refuse(request.CauseRate, request.NotRun, r.retryAfter)
}

// openRates has a token for every request.
type openRates struct{}

func (openRates) take(context.Context, string) (func(), *request.Refusal) { return func() {}, nil }

// TestRetryAfter refuses callers under overload: a request that was not served is
// retried while a retry can still help.
func TestRetryAfter(t *testing.T) {
	const objective = 1200 * time.Millisecond
	refused := func(cause request.Cause, outcome request.Outcome, after time.Duration) request.Handler {
		return request.HandlerFunc(func(context.Context, *request.Call) (*request.Answer, error) {
			return nil, request.Refuse(cause, outcome, after)
		})
	}
	for _, c := range []struct {
		name        string
		objective   time.Duration
		rates       rateLimiter
		next        request.Handler
		least, most time.Duration
	}{
		{"shed downstream, retried in time", objective, openRates{}, refused(request.CauseOverload, request.NotRun, time.Second), 300 * time.Millisecond, 600 * time.Millisecond},
		{"no server is available", objective, openRates{}, refused(request.CauseNoBackend, request.NotRun, 0), 300 * time.Millisecond, 600 * time.Millisecond},
		{"no objective", 0, openRates{}, refused(request.CauseNoBackend, request.NotRun, 0), time.Second, 2 * time.Second},
		{"the given delay without an objective", 0, openRates{}, refused(request.CauseOverload, request.NotRun, 3*time.Second), 3 * time.Second, 3 * time.Second},
		{"a token is available soon", objective, refusingRates{50 * time.Millisecond}, nil, 50 * time.Millisecond, 50 * time.Millisecond},
		{"a token is available too late", objective, refusingRates{3 * time.Second}, nil, 300 * time.Millisecond, 600 * time.Millisecond},
		{"it may have run", objective, openRates{}, refused(request.CauseOverload, request.Unknown, 0), 0, 0},
		{"a retry cannot help", objective, openRates{}, refused(request.CauseTooLarge, request.NotRun, 0), 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			index := bundle.NewIndex(&bundle.Bundle{Version: 1})
			e := &entry{bundle: func() *bundle.Index { return index }, rates: c.rates, gate: newLearningGate(), next: c.next}
			_, err := e.Serve(context.Background(), &request.Call{
				Service: "vetrina", Objective: c.objective, Context: request.Context{Workspace: "school"},
			})
			after := request.AsRefusal(err).RetryAfter
			assert.Assert(t, after >= c.least && after <= c.most, "%v", after)
		})
	}
}
