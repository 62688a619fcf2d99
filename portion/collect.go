package portion

import "time"

// roundingError is the part of a token by which the sum of parts may be too small.
const roundingError = 1e-9

// Collects reports whether this node's portion of the burst can hold a whole token, so
// that it can be the workspace's collector.
func (t *Table) Collects(now time.Time, workspace string) bool {
	b, ok := t.limited(now, workspace)
	return ok && b.limit.Burst*b.portion(now, t.config.SettleTime) >= 1
}

// Missing returns the part of a token that the collector lacks for a whole one, and zero
// if it has one.
func (t *Table) Missing(now time.Time, workspace string) float64 {
	b, ok := t.limited(now, workspace)
	if !ok {
		return 0
	}
	return max(0, 1-b.tokens)
}

// LendPart subtracts tokens for the collector and returns their number, which may be
// fractional.
func (t *Table) LendPart(now time.Time, workspace string, wanted float64) float64 {
	b, ok := t.limited(now, workspace)
	if !ok {
		return 0
	}
	lent := max(0, min(wanted, b.tokens))
	b.tokens -= lent
	return lent
}

// AddCollected adds tokens of other owner nodes to those of the collector. They do not
// expire, and fill its tokens only up to its portion of the burst.
func (t *Table) AddCollected(now time.Time, workspace string, tokens float64) {
	b, ok := t.limited(now, workspace)
	if !ok {
		return
	}
	b.fill(tokens, b.portion(now, t.config.SettleTime))
	if b.tokens < 1 && b.tokens > 1-roundingError {
		b.tokens = 1
	}
}

// AccrueTime returns after how long all owner nodes together accrue some tokens.
func (t *Table) AccrueTime(workspace string, tokens float64) time.Duration {
	b, ok := t.buckets[workspace]
	if !ok || b.limit.Rate <= 0 {
		return 0
	}
	return time.Duration(tokens / b.limit.Rate * float64(time.Second))
}
