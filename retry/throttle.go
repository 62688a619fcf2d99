package retry

import "time"

// ThrottleConfig configures a Throttle.
type ThrottleConfig struct {
	// Ratio is the fraction of a service's requests that may be retried.
	Ratio float64
	// Slack is the number of retries allowed per Window in addition.
	Slack float64
	// Window is the time over which the bound holds.
	Window time.Duration
}

// throttleSlots is the number of slots of a window that are counted separately.
const throttleSlots = 20

// Throttle bounds the retries that one node sends to one service: in any window at
// most Ratio times the requests of that window, plus Slack. It is not safe for
// concurrent use.
//
// If each node keeps its part of a bound, all nodes together keep the whole bound
// without communicating.
type Throttle struct {
	config ThrottleConfig
	// slots count the parts of the window. current is the number of the latest
	// slot, counted from the Unix epoch.
	slots   [throttleSlots]throttleSlot
	current int64
	started bool
}

type throttleSlot struct {
	requests, retries float64
}

// NewThrottle returns a throttle with unspent slack.
func NewThrottle(config ThrottleConfig) *Throttle {
	return &Throttle{config: config}
}

// Configure changes the bound. If the window changes, counting starts again, and
// the slack counts as spent until the counts are one window old.
func (t *Throttle) Configure(config ThrottleConfig) {
	if config.Window != t.config.Window {
		t.slots, t.started = [throttleSlots]throttleSlot{}, false
		t.slots[0].retries = config.Slack
	}
	t.config = config
}

// CountRequest counts a request that is sent for the first time.
func (t *Throttle) CountRequest(now time.Time) {
	t.slotAt(now).requests++
}

// CountRetry counts a retry that this node did not decide on: a call of a request that
// is itself a retry.
func (t *Throttle) CountRetry(now time.Time) {
	t.slotAt(now).retries++
}

// AllowRetry reports whether a request may be retried and, if so, counts the retry.
func (t *Throttle) AllowRetry(now time.Time) bool {
	slot := t.slotAt(now)
	allowed, retries := t.bound()
	if retries+1 > allowed {
		return false
	}
	slot.retries++
	return true
}

// bound returns how many retries are allowed in the window that ends now, and how
// many there were.
func (t *Throttle) bound() (allowed, retries float64) {
	requests := 0.0
	for _, slot := range t.slots {
		requests += slot.requests
		retries += slot.retries
	}
	return t.config.Ratio*requests + t.config.Slack, retries
}

// slotAt returns the slot of a time and clears the slots that have left the
// window.
func (t *Throttle) slotAt(now time.Time) *throttleSlot {
	number := now.UnixNano() / int64(t.config.Window/(throttleSlots-1))
	if !t.started {
		t.started, t.current = true, number
	}
	for passed := min(number-t.current, throttleSlots); passed > 0; passed-- {
		t.slots[(number-passed+1)%throttleSlots] = throttleSlot{}
	}
	t.current = max(t.current, number)
	return &t.slots[t.current%throttleSlots]
}
