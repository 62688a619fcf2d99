package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// ThrottleConfig makes a Throttle. Zero fields take the defaults named.
type ThrottleConfig struct {
	// Ratio is how many requests may pass for each that was admitted lately; 2.
	Ratio float64
	// Window is the time over which successes are remembered; 2 s.
	Window time.Duration
	// Free is the number of requests a window that always pass; 10.
	Free float64
	// RetryAfter is the shortest time that a refused caller is asked to wait; 1 s.
	RetryAfter time.Duration
	// RetryAfterMax is the longest; 30 s.
	RetryAfterMax time.Duration
}

func (c ThrottleConfig) withDefaults() ThrottleConfig {
	if c.Ratio <= 0 {
		c.Ratio = 2
	}
	if c.Window <= 0 {
		c.Window = 2 * time.Second
	}
	if c.Free <= 0 {
		c.Free = 10
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = time.Second
	}
	if c.RetryAfterMax <= 0 {
		c.RetryAfterMax = 30 * time.Second
	}
	return c
}

// Throttle refuses part of the requests of callers whose requests are mostly
// refused, before any other work is done for them. Callers are told apart by
// workspace.
type Throttle struct {
	config  ThrottleConfig
	callers map[string]*callerHistory
	ring    []*callerHistory
	sweep   int
}

// callerHistory counts a workspace's recent requests, decaying over the window.
type callerHistory struct {
	workspace          string
	requests, admitted float64
	last               time.Time
}

// NewThrottle returns a throttle that knows no callers.
func NewThrottle(config ThrottleConfig) *Throttle {
	return &Throttle{config: config.withDefaults(), callers: make(map[string]*callerHistory)}
}

// Allow tells whether a request may go on to the gate, and counts it.
func (t *Throttle) Allow(workspace string, now time.Time, random *rand.Rand) bool {
	c := t.caller(workspace, now)
	excess := c.requests - t.config.Ratio*c.admitted - t.config.Free
	refuse := excess > 0 && random.Float64() < excess/(c.requests+1)
	c.requests++
	return !refuse
}

// Admitted reports that a request which Allow let pass was not refused for overload.
func (t *Throttle) Admitted(workspace string, now time.Time) {
	t.caller(workspace, now).admitted++
}

// RetryAfter returns the wait to ask of a refused caller: longer the more of
// its requests were refused, and spread at random over as long again, so that
// callers refused together do not come back together.
func (t *Throttle) RetryAfter(workspace string, now time.Time, random *rand.Rand) time.Duration {
	c := t.caller(workspace, now)
	pressure := (c.requests + 1) / (c.admitted + 1)
	wait := min(t.config.RetryAfter.Seconds()*pressure, t.config.RetryAfterMax.Seconds()/2)
	wait = max(wait, t.config.RetryAfter.Seconds())
	return time.Duration(wait * (1 + random.Float64()) * float64(time.Second))
}

func (t *Throttle) caller(workspace string, now time.Time) *callerHistory {
	c, ok := t.callers[workspace]
	if !ok {
		c = t.recycle(now)
		*c = callerHistory{workspace: workspace, last: now}
		t.callers[workspace] = c
		return c
	}
	if age := now.Sub(c.last); age > 0 {
		keep := math.Exp(-age.Seconds() / t.config.Window.Seconds())
		c.requests *= keep
		c.admitted *= keep
		c.last = now
	}
	return c
}

// callerIdle is the number of windows after which a caller is forgotten.
const callerIdle = 10

// recycle returns an idle history taken out of use, or a new one.
func (t *Throttle) recycle(now time.Time) *callerHistory {
	if len(t.ring) > 0 {
		t.sweep = (t.sweep + 1) % len(t.ring)
		idle := t.ring[t.sweep]
		if now.Sub(idle.last) > callerIdle*t.config.Window {
			delete(t.callers, idle.workspace)
			return idle
		}
	}
	c := &callerHistory{}
	t.ring = append(t.ring, c)
	return c
}
