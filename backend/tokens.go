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

// token is the random word that stands for a call at this node.
type token [tokenBytes]byte

// LiveCall is a call that the backend server of this VM is working on.
type LiveCall struct {
	// Context ends with the call, and with it the calls made on its behalf.
	Context context.Context
	Call    *request.Call

	mu     sync.Mutex
	budget retry.Budget
	loads  []request.ServiceLoad
	calls  int
	// waiting is the number of calls under way, since the time of the first.
	waiting   int
	since     time.Time
	timeBelow time.Duration
}

// Lend takes the share of the retry budget that goes with one further call.
func (l *LiveCall) Lend(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == 0 {
		l.since = now
	}
	l.waiting++
	l.calls++
	return l.budget.Lend()
}

// Return takes back what a further call has not spent, and notes its report.
func (l *LiveCall) Return(lent int, report request.Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
	if l.waiting == 0 {
		l.timeBelow += now.Sub(l.since)
	}
	l.calls += report.DownstreamCalls
	l.budget.Return(lent, report.UnspentRetries)
	l.loads = request.MergeLoads(l.loads, report.Loads)
}

// Report returns what is left of the retry budget and what the calls made so
// far have shown.
func (l *LiveCall) Report() request.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return request.Report{
		UnspentRetries:  l.budget.Remaining(),
		DownstreamCalls: l.calls,
		DownstreamTime:  l.timeBelow,
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

// Add makes a token for a call. The returned function ends it.
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

// Find returns the call of a live token.
func (t *Tokens) Find(text []byte) (*LiveCall, bool) {
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

// Live returns the number of running calls.
func (t *Tokens) Live() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.live)
}
