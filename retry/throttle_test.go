package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestThrottleKeepsBound floods a throttle with retries, as when a service refuses
// every call. No window may contain more retries than the bound.
func TestThrottleKeepsBound(t *testing.T) {
	const window = 10 * time.Second
	cases := []struct {
		name     string
		requests int // a second
	}{
		{"no requests", 0},
		{"few requests", 5},
		{"many requests", 500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			throttle := NewThrottle(ThrottleConfig{Ratio: 0.1, Slack: 6, Window: window})
			now := time.Unix(0, 0)
			var retried []time.Time
			for tick := range 6000 {
				now = now.Add(10 * time.Millisecond)
				for range c.requests / 100 {
					throttle.CountRequest(now)
				}
				if c.requests == 5 && tick%20 == 0 {
					throttle.CountRequest(now)
				}
				for throttle.AllowRetry(now) {
					retried = append(retried, now)
				}
			}
			bound := 0.1*float64(c.requests)*window.Seconds() + 6
			assert.Assert(t, float64(maxWithin(retried, window)) <= bound, "%d retries", maxWithin(retried, window))
			assert.Assert(t, len(retried) > 0)
		})
	}
}

// maxWithin returns the largest number of times that lie within any window.
func maxWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestThrottleAllowsFewRetries covers the usual case: one request in fifty fails.
func TestThrottleAllowsFewRetries(t *testing.T) {
	throttle := NewThrottle(ThrottleConfig{Ratio: 0.06, Slack: 1, Window: 10 * time.Second})
	now := time.Unix(0, 0)
	refused := 0
	for i := range 5000 {
		now = now.Add(10 * time.Millisecond)
		throttle.CountRequest(now)
		if i%50 == 49 && !throttle.AllowRetry(now) {
			refused++
		}
	}
	assert.Equal(t, refused, 0)
}

// TestRefusingService simulates a deep service that refuses almost half of all
// calls for some seconds, while each request needs four of them. The retries that
// the bound allows are available from the first second on, and let three in ten
// requests complete. Without retries, one in ten completes.
func TestRefusingService(t *testing.T) {
	const (
		calls   = 4
		refusal = 0.45
		chains  = 1000
		gap     = 8 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	throttle := NewThrottle(ThrottleConfig{Ratio: 0.18, Slack: 1, Window: 10 * time.Second})
	now := time.Unix(0, 0)
	for range 10 * time.Second / gap {
		now = now.Add(gap)
		for range calls {
			throttle.CountRequest(now)
		}
	}
	succeeds := func() bool {
		throttle.CountRequest(now)
		for random.Float64() < refusal {
			if !throttle.AllowRetry(now) {
				return false
			}
		}
		return true
	}
	complete := 0
	for range chains {
		now = now.Add(gap)
		call := 0
		for call < calls && succeeds() {
			call++
		}
		if call == calls {
			complete++
		}
	}
	assert.Assert(t, complete >= 3*chains/10, "%d of %d requests complete", complete, chains)
}

// TestChargedRetries checks that calls caused by retries upstream reduce the
// retries that the throttle itself allows.
func TestChargedRetries(t *testing.T) {
	throttle := NewThrottle(ThrottleConfig{Ratio: 0.2, Window: 10 * time.Second})
	now := time.Unix(0, 0)
	for range 100 {
		throttle.CountRequest(now)
	}
	for range 15 {
		throttle.CountRetry(now)
	}
	allowed := 0
	for throttle.AllowRetry(now) {
		allowed++
	}
	assert.Equal(t, allowed, 5)
}
