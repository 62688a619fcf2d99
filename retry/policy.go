package retry

import (
	"math/rand/v2"
	"time"

	"auburngap/request"
)

// Config makes a Policy. Zero fields take the defaults named.
type Config struct {
	// Backoff is the mean delay before the first retry; it doubles with each; 5 ms.
	Backoff time.Duration
	// BackoffMax bounds the mean delay; 200 ms.
	BackoffMax time.Duration
	// Attempts bounds the attempts of one call; 3.
	Attempts int
}

// Attempt is what is known of a call that got no backend server's answer.
type Attempt struct {
	// Number counts the call's attempts so far, from 1.
	Number  int
	Outcome request.Outcome
	Cause   request.Cause
	// Idempotent calls may be sent again after an unknown outcome.
	Idempotent bool
	// Overloaded means that the service as a whole sheds requests.
	Overloaded bool
	// CallsBelow is the most calls that any attempt so far has made below it;
	// zero where it is not known.
	CallsBelow int
	// Deadline is zero where there is none.
	Deadline time.Time
}

// Policy decides on retries.
type Policy struct {
	config Config
}

// NewPolicy returns a policy.
func NewPolicy(config Config) *Policy {
	if config.Backoff <= 0 {
		config.Backoff = 5 * time.Millisecond
	}
	if config.BackoffMax <= 0 {
		config.BackoffMax = 200 * time.Millisecond
	}
	if config.Attempts <= 0 {
		config.Attempts = 3
	}
	return &Policy{config: config}
}

// Next tells whether the call is tried again and after which delay. A retry
// has been taken from the budget when it returns true.
func (p *Policy) Next(budget *Budget, a Attempt, now time.Time, random *rand.Rand) (time.Duration, bool) {
	if a.Number >= p.config.Attempts || a.Overloaded || !repeatable(a) {
		return 0, false
	}
	delay := p.delay(a.Number, random)
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return 0, false
	}
	if !budget.Spend(1 + max(0, a.CallsBelow)) {
		return 0, false
	}
	return delay, true
}

// delay is uniform between half and one and a half of a mean that doubles.
func (p *Policy) delay(attempt int, random *rand.Rand) time.Duration {
	mean := p.config.BackoffMax
	if shift := attempt - 1; shift < 16 {
		mean = min(mean, p.config.Backoff<<shift)
	}
	return mean/2 + time.Duration(random.Int64N(int64(mean)+1))
}

// repeatable tells whether a second attempt is safe and can help.
func repeatable(a Attempt) bool {
	if !causeHelpedByRetry(a.Cause) {
		return false
	}
	return a.Outcome == request.NotRun || (a.Outcome == request.Unknown && a.Idempotent)
}

// causeHelpedByRetry tells whether another backend server may answer better.
func causeHelpedByRetry(cause request.Cause) bool {
	switch cause {
	case request.CauseOverload, request.CauseNoBackend, request.CauseBackendFailed, request.CauseDraining:
		return true
	default:
		return false
	}
}
