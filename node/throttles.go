package node

import (
	"sync"
	"time"

	"auburngap/request"
	"auburngap/retry"
)

// throttles bound this node's repeats to each service.
type throttles struct {
	// isLeaf tells whether a call makes no further calls.
	isLeaf func(call *request.Call) bool
	// config is asked at each call, as the node's part changes with the number of nodes.
	config func(leaf bool) retry.ThrottleConfig

	mu     sync.Mutex
	byKind map[throttleKind]*retry.Throttle
}

// throttleKind is what calls are bounded together.
type throttleKind struct {
	service string
	leaf    bool
}

func newThrottles(isLeaf func(*request.Call) bool, config func(leaf bool) retry.ThrottleConfig) *throttles {
	return &throttles{isLeaf: isLeaf, config: config, byKind: make(map[throttleKind]*retry.Throttle)}
}

// request counts a call that is sent for the first time. Where the request
// behind it was repeated, it counts as a repeat at its service, too.
func (t *throttles) request(call *request.Call) {
	throttle, unlock := t.lock(call)
	defer unlock()
	now := time.Now()
	throttle.CountRequest(now)
	if call.Context.Repeated {
		throttle.CountRetry(now)
	}
}

// repeat tells whether a call may be sent once more.
func (t *throttles) repeat(call *request.Call) bool {
	throttle, unlock := t.lock(call)
	defer unlock()
	return throttle.AllowRetry(time.Now())
}

// lock returns the throttle of a call, which is its holder's until unlock is called.
func (t *throttles) lock(call *request.Call) (throttle *retry.Throttle, unlock func()) {
	kind := throttleKind{service: call.Service, leaf: t.isLeaf(call)}
	config := t.config(kind.leaf)
	t.mu.Lock()
	throttle, ok := t.byKind[kind]
	if !ok {
		throttle = retry.NewThrottle(config)
		t.byKind[kind] = throttle
	}
	throttle.Configure(config)
	return throttle, t.mu.Unlock
}
