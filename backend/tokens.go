package backend

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"auburngap/request"
	"auburngap/retry"
)

// tokenBytes is the length of a token's random part.
const tokenBytes = 16

// token is the random identifier of a call at this node.
type token [tokenBytes]byte

// LiveCall is a call that the backend server of this VM is running.
type LiveCall struct {
	// Context ends with the call, and so do the calls made on its behalf.
	Context context.Context
	Call    *request.Call

	mu     sync.Mutex
	budget retry.Budget
	loads  []request.ServiceLoad
	calls  int
	// openCalls is the number of downstream calls in flight. openSince is when the
	// first of them began.
	openCalls      int
	openSince      time.Time
	downstreamTime time.Duration
}

// Lend takes the part of the retry budget that goes with one more downstream call.
func (l *LiveCall) Lend(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openCalls == 0 {
		l.openSince = now
	}
	l.openCalls++
	l.calls++
	return l.budget.Lend()
}

// Return puts the unspent retries of a downstream call back into the budget, and
// adds the call's report.
func (l *LiveCall) Return(lent int, report request.Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openCalls--
	if l.openCalls == 0 {
		l.downstreamTime += now.Sub(l.openSince)
	}
	l.calls += report.DownstreamCalls
	l.budget.Return(lent, report.UnspentRetries)
	l.loads = request.MergeLoads(l.loads, report.Loads)
}

// Report returns the rest of the retry budget and what the downstream calls have
// reported so far.
func (l *LiveCall) Report() request.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return request.Report{
		UnspentRetries:  l.budget.Remaining(),
		DownstreamCalls: l.calls,
		DownstreamTime:  l.downstreamTime,
		Loads:           l.loads,
	}
}

// Tokens maps the tokens of running calls to the calls.
type Tokens struct {
	mu   sync.RWMutex
	live map[token]*LiveCall
}

// NewTokens returns an empty map.
func NewTokens() *Tokens {
	return &Tokens{live: make(map[token]*LiveCall)}
}

// Add generates a token for a call. The returned function invalidates it.
func (t *Tokens) Add(ctx context.Context, call *request.Call) (string, *LiveCall, func()) {
	var key token
	// The system's random source never fails on the platforms that Go supports.
	_, _ = rand.Read(key[:])
	live := &LiveCall{Context: ctx, Call: call, budget: retry.NewBudget(call.Context.RetryBudget)}
	t.mu.Lock()
	t.live[key] = live
	t.mu.Unlock()
	end := func() {
		t.mu.Lock()
		delete(t.live, key)
		t.mu.Unlock()
	}
	return hex.EncodeToString(key[:]), live, end
}

// Lookup returns the call of a valid token.
func (t *Tokens) Lookup(text []byte) (*LiveCall, bool) {
	var key token
	if len(text) != hex.EncodedLen(tokenBytes) {
		return nil, false
	}
	if _, err := hex.Decode(key[:], text); err != nil {
		return nil, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	live, ok := t.live[key]
	return live, ok
}

// Count returns the number of running calls.
func (t *Tokens) Count() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.live)
}
