package portion

import (
	"math"
	"time"
)

// RetryAfter returns the time after which a refused request is likely to find a token
// here, after the requests that were refused before it. It returns zero if this
// node has no portion.
func (t *Table) RetryAfter(now time.Time, workspace string) time.Duration {
	b, ok := t.limited(now, workspace)
	if !ok {
		return 0
	}
	rate := b.limit.Rate * b.portion(now, t.config.SettleTime)
	if rate <= 0 {
		return 0
	}
	wait := (b.deferred + 1) / rate
	if wait > maxRetryAfter.Seconds() {
		// Callers that are asked to retry later than that do not retry.
		return maxRetryAfter
	}
	b.deferred++
	return time.Duration(wait * float64(time.Second))
}

// countRequest adds a request to the demand.
func (b *bucket) countRequest(now time.Time) {
	b.demand = b.demandNow(now) + 1/demandMemory.Seconds()
	b.demandAt = now
}

// demandNow returns the demand, decayed since the last request.
func (b *bucket) demandNow(now time.Time) float64 {
	return b.demand * math.Exp(-now.Sub(b.demandAt).Seconds()/demandMemory.Seconds())
}

// Wanted returns how many tokens to borrow from owner nodes, zero if the node has
// enough.
func (t *Table) Wanted(now time.Time, workspace string) float64 {
	b, ok := t.limited(now, workspace)
	if !ok || b.tokens+b.borrowed >= 1 {
		return 0
	}
	ahead := b.demandNow(now) * prefetchTime.Seconds()
	return min(maxBatch, 1+math.Floor(ahead)-b.tokens-b.borrowed)
}
