package retry

import (
	"math/rand/v2"
	"time"

	"auburngap/request"
)

// Config configures a Policy. Zero fields take their default.
type Config struct {
	// BaseBackoff is the mean delay before the first retry. It doubles with each
	// retry. The default is 5 ms.
	BaseBackoff time.Duration
	// MaxBackoff bounds the mean delay. The default is 200 ms.
	MaxBackoff time.Duration
	// MaxAttempts bounds the attempts of one call. The default is 3.
	MaxAttempts int
}

// Attempt describes a call that got no answer from a backend server.
type Attempt struct {
	// Number counts the call's attempts so far, from 1.
	Number  int
	Outcome request.Outcome
	Cause   request.Cause
	// Idempotent calls may be sent again after an unknown outcome.
	Idempotent bool
	// Overloaded means that the service as a whole is shedding requests.
	Overloaded bool
	// DownstreamCalls is the largest number of downstream calls that any attempt so far
	// has made; zero if it is not known.
	DownstreamCalls int
	// Deadline is zero if there is none.
	Deadline time.Time
}

// Policy decides whether calls are retried.
type Policy struct {
	config Config
}

// NewPolicy returns a policy.
func NewPolicy(config Config) *Policy {
	if config.BaseBackoff <= 0 {
		config.BaseBackoff = 5 * time.Millisecond
	}
	if config.MaxBackoff <= 0 {
		config.MaxBackoff = 200 * time.Millisecond
	}
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = 3
	}
	return &Policy{config: config}
}

// Next reports whether the call is retried, and after which delay. If it returns
// true, the cost of the retry has been spent from the budget.
func (p *Policy) Next(budget *Budget, a Attempt, now time.Time, random *rand.Rand) (time.Duration, bool) {
	if a.Number >= p.config.MaxAttempts || a.Overloaded || !isRetryable(a) {
		return 0, false
	}
	delay := p.delay(a.Number, random)
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return 0, false
	}
	if !budget.Spend(1 + max(0, a.DownstreamCalls)) {
		return 0, false
	}
	return delay, true
}

// delay returns a delay that is uniform between 0.5 and 1.5 times the mean. The
// mean doubles with each attempt.
func (p *Policy) delay(attempt int, random *rand.Rand) time.Duration {
	mean := p.config.MaxBackoff
	if shift := attempt - 1; shift < 16 {
		mean = min(mean, p.config.BaseBackoff<<shift)
	}
	return mean/2 + time.Duration(random.Int64N(int64(mean)+1))
}

// isRetryable reports whether another attempt is safe and can help.
func isRetryable(a Attempt) bool {
	if !isRetryableCause(a.Cause) {
		return false
	}
	return a.Outcome == request.NotRun || (a.Outcome == request.Unknown && a.Idempotent)
}

// isRetryableCause reports whether an attempt at another backend server may
// succeed.
func isRetryableCause(cause request.Cause) bool {
	switch cause {
	case request.CauseOverload, request.CauseNoBackend, request.CauseBackendFailed, request.CauseDraining:
		return true
	default:
		return false
	}
}
