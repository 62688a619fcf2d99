// Package retry decides whether a call that failed is retried, and bounds
// the attempts of one customer request over its whole chain of calls.
//
// # Usage
//
//	budget := retry.NewBudget(ctx.RetryBudget)
//	lent := budget.Lend()                    // goes with a child call
//	budget.Return(lent, refusal.UnspentRetries) // when the child has ended
//	policy := retry.NewPolicy(retry.Config{})
//	if delay, ok := policy.Next(&budget, attempt, now, random); ok { … }
//
// The budget is conserved: each unit is in one place only, at a parent or lent to
// one child. A retry spends one unit, and one more for each downstream call of the
// failed attempt, because the retry makes those calls again. So the attempts
// of a customer request are at most its calls plus the budget that it started
// with, at any depth and fan-out. If downstream calls are not reported, the
// bound is calls * (budget + 1).
package retry

// Budget is the number of retries that one part of a request's chain may still
// make. It is not safe for concurrent use.
type Budget struct {
	remaining, lent int
}

// NewBudget returns a budget of the given number of retries. A negative number
// counts as zero.
func NewBudget(retries int) Budget {
	return Budget{remaining: max(0, retries)}
}

// Remaining returns the number of units that are neither spent nor lent.
func (b *Budget) Remaining() int { return b.remaining }

// Lend lends a share to one child call and returns the share: half of the
// remaining units, rounded up, so that a single unit goes to the first child and
// concurrent siblings share the rest.
func (b *Budget) Lend() int {
	share := (b.remaining + 1) / 2
	b.remaining -= share
	b.lent += share
	return share
}

// Return takes back the units that a child did not spend of the share lent to it.
// Anything beyond the share is ignored.
func (b *Budget) Return(lent, unspent int) {
	lent = min(max(0, lent), b.lent)
	b.lent -= lent
	b.remaining += min(max(0, unspent), lent)
}

// Spend takes the given units for a retry. It takes nothing and returns false if
// fewer units remain or the number is not positive.
func (b *Budget) Spend(units int) bool {
	if units < 1 || units > b.remaining {
		return false
	}
	b.remaining -= units
	return true
}
