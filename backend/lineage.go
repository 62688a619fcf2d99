package backend

import (
	"sync"
	"time"

	"auburngap/lineage"
	"auburngap/request"
)

// Lineage tracks which requests the backend server of this VM is running, and
// guesses which of them made a call that has no token. It is safe for concurrent use.
type Lineage struct {
	mu      sync.Mutex
	tracker lineage.Tracker
}

// begin records a request as running until the returned function is called.
func (l *Lineage) begin(live *LiveCall) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.tracker.Begin(live.Call.Context.Route, live.Call.Context.Deadline)
	run.Value = live
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.tracker.End(run)
	}
}

// AttributeCall attributes a call of the backend server to the running request that most
// likely made it. It returns a handler that passes the call to next and applies the
// call's report to that request, or next itself and false if no request is running.
func (l *Lineage) AttributeCall(call *request.Call, next request.Handler) (handler request.Handler, attributed bool) {
	l.mu.Lock()
	run := l.tracker.Attribute(call.Context.Route, call.CallerDeadline)
	l.mu.Unlock()
	if run == nil {
		return next, false
	}
	live := run.Value.(*LiveCall)
	original := call.Context
	call.Context = live.Call.Context.Child(original.RetryBudget)
	// The call has no workspace's key, and keeps its own route and deadline.
	call.Context.Workspace = ""
	call.Context.Route = original.Route
	call.Context.Deadline = original.Deadline
	return &budgetReturner{next: next, live: live, lent: live.Lend(time.Now())}, true
}
