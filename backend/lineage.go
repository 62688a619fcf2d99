package backend

import (
	"sync"
	"time"

	"auburngap/lineage"
	"auburngap/request"
)

// Lineage knows which requests the backend server of this VM runs, and guesses
// which of them made a call that bears no token. It is safe for concurrent use.
type Lineage struct {
	mu      sync.Mutex
	tracker lineage.Tracker
}

// begin notes a request that runs, until the returned function is called.
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

// Adopt makes a call that the backend server made one on behalf of the request
// that most likely made it, and returns the handler that hands the call to next
// and takes its report; next itself where nothing runs.
func (l *Lineage) Adopt(call *request.Call, next request.Handler) request.Handler {
	l.mu.Lock()
	run := l.tracker.Attribute(call.Context.Route, call.CallerDeadline)
	l.mu.Unlock()
	if run == nil {
		return next
	}
	live := run.Value.(*LiveCall)
	own := call.Context
	call.Context = live.Call.Context.Child(own.RetryBudget)
	// The call runs for no workspace's key, under its own route and time.
	call.Context.Workspace = ""
	call.Context.Route = own.Route
	call.Context.Deadline = own.Deadline
	return &returning{next: next, live: live, lent: live.Lend(time.Now())}
}
