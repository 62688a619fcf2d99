package backend

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"

	"auburngap/request"
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

	retries atomic.Int64
	mu      sync.Mutex
	loads   []request.ServiceLoad
}

// TakeRetries takes half of the retry budget that is left, rounded up, for one
// further call.
func (l *LiveCall) TakeRetries() int {
	for {
		left := l.retries.Load()
		share := (left + 1) / 2
		if l.retries.CompareAndSwap(left, left-share) {
			return int(share)
		}
	}
}

// Return gives back what a further call has not spent, and notes its loads.
func (l *LiveCall) Return(report request.Report) {
	l.retries.Add(int64(report.UnspentRetries))
	if len(report.Loads) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads = append(l.loads, report.Loads...)
}

// Report returns the retries left and the loads seen by the calls made so far.
func (l *LiveCall) Report() request.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return request.Report{UnspentRetries: int(l.retries.Load()), Loads: l.loads}
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
	live := &LiveCall{Context: ctx, Call: call}
	live.retries.Store(int64(call.Context.RetryBudget))
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
