package admission

import (
	"math/rand/v2"
	"time"
)

// RetryAfter returns the wait to ask of a refused caller: spread at random
// over once to twice the base, so that callers refused together do not come
// back together.
func RetryAfter(base time.Duration, random *rand.Rand) time.Duration {
	return base + time.Duration(random.Int64N(int64(max(base, 1))))
}
