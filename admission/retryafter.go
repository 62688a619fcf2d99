package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRetryBase is the longest base, which applies without a latency objective.
	maxRetryBase = time.Second
	// baseFraction is the base as a fraction of the objective. Callers wait at most
	// twice the base, which leaves half of the objective to serve the request.
	baseFraction = 0.25
)

// RetryAfter returns the time that a refused caller is asked to wait. It is random,
// from one to two times the base, so that callers that are refused together do not
// retry together.
func RetryAfter(base time.Duration, random *rand.Rand) time.Duration {
	return base + time.Duration(random.Int64N(int64(max(base, 1))))
}

// RetryAfterBase returns the base of RetryAfter for a request that was shed, such that
// the caller retries while the request can still be served within its latency
// objective. Zero means no objective.
func RetryAfterBase(objective time.Duration) time.Duration {
	if objective <= 0 {
		return maxRetryBase
	}
	return min(time.Duration(baseFraction*float64(objective)), maxRetryBase)
}
