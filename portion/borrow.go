package portion

import (
	"math"
	"time"
)

// Return gives back the token of a request that has not run. It fills the node's
// tokens only up to its portion of the burst.
func (t *Table) Return(now time.Time, workspace string) {
	b, ok := t.limited(now, workspace)
	if !ok {
		return
	}
	size := b.portion(now, t.config.SettleTime)
	if size == 0 {
		// A node without a portion spent a borrowed token, which expires as others do.
		b.borrowed++
		if now.After(b.borrowedUntil) {
			b.borrowedUntil = now.Add(borrowedTTL)
		}
		return
	}
	b.fill(1, size)
}

// Lend subtracts tokens for another node and returns their number. It gives whole
// tokens only, since a fraction would expire before the other node's next request.
func (t *Table) Lend(now time.Time, workspace string, wanted float64) float64 {
	b, ok := t.limited(now, workspace)
	if !ok {
		return 0
	}
	lent := max(0, math.Floor(min(math.Ceil(wanted), b.tokens)))
	b.tokens -= lent
	return lent
}

// AddBorrowed adds tokens that an owner node has lent. They expire after borrowedTTL.
func (t *Table) AddBorrowed(now time.Time, workspace string, tokens float64) {
	b, ok := t.limited(now, workspace)
	if !ok {
		return
	}
	b.borrowed += tokens
	b.borrowedUntil = now.Add(borrowedTTL)
}
