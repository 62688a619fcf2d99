// Package retry decides whether a call that failed is tried again, and bounds
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
// The budget is conserved: a unit is in one place only, at a parent or lent to
// one child. A retry spends one unit, and one more for each call that the failed
// attempt had made below it, because the retry makes them again. So the attempts
// of a customer request are at most its calls plus the budget that it started
// with, at any depth and fan-out. Where the calls below are not reported the
// bound is the calls times one more than the budget.
package retry

// Budget is the number of retries that one part of a request's chain may still
// make. It is not safe for concurrent use.
type Budget struct {
	left, lent int
}

// NewBudget returns a budget of the given retries; negative counts as none.
func NewBudget(retries int) Budget {
	return Budget{left: max(0, retries)}
}

// Left returns what is neither spent nor lent.
func (b *Budget) Left() int { return b.left }

// Lend takes out the share of one child call: half of what is left, rounded
// up, so that one unit reaches the first child and siblings in flight share
// the rest.
func (b *Budget) Lend() int {
	share := (b.left + 1) / 2
	b.left -= share
	b.lent += share
	return share
}

// Return takes back what a child that was lent a share has not spent. More
// than was lent is not believed.
func (b *Budget) Return(lent, unspent int) {
	lent = min(max(0, lent), b.lent)
	b.lent -= lent
	b.left += min(max(0, unspent), lent)
}

// Spend takes the given units for a retry; false, and nothing taken, where
// fewer are left.
func (b *Budget) Spend(units int) bool {
	if units < 1 || units > b.left {
		return false
	}
	b.left -= units
	return true
}
