package node

import (
	"sync"
	"time"

	"auburngap/request"
	"auburngap/retry"
)

// throttles bounds this node's retries to each service.
type throttles struct {
	// isLeaf reports whether a call makes no further calls.
	isLeaf func(call *request.Call) bool
	// config is called for each call, since the node's part changes with the number of nodes.
	config func(leaf bool) retry.ThrottleConfig

	mu    sync.Mutex
	byKey map[throttleKey]*retry.Throttle
}

// throttleKey identifies the calls that share a throttle.
type throttleKey struct {
	service string
	leaf    bool
}

func newThrottles(isLeaf func(*request.Call) bool, config func(leaf bool) retry.ThrottleConfig) *throttles {
	return &throttles{isLeaf: isLeaf, config: config, byKey: make(map[throttleKey]*retry.Throttle)}
}

// countRequest counts a call that is sent for the first time. If the request
// that caused it was retried, the call also counts as a retry at its service.
func (t *throttles) countRequest(call *request.Call) {
	throttle, unlock := t.lock(call)
	defer unlock()
	now := time.Now()
	throttle.CountRequest(now)
	if call.Context.Repeated {
		throttle.CountRetry(now)
	}
}

// allowRetry reports whether a call may be retried.
func (t *throttles) allowRetry(call *request.Call) bool {
	throttle, unlock := t.lock(call)
	defer unlock()
	return throttle.AllowRetry(time.Now())
}

// lock returns the throttle of a call, for exclusive use until unlock is called.
func (t *throttles) lock(call *request.Call) (throttle *retry.Throttle, unlock func()) {
	key := throttleKey{service: call.Service, leaf: t.isLeaf(call)}
	config := t.config(key.leaf)
	t.mu.Lock()
	throttle, ok := t.byKey[key]
	if !ok {
		throttle = retry.NewThrottle(config)
		t.byKey[key] = throttle
	}
	throttle.Configure(config)
	return throttle, t.mu.Unlock
}
