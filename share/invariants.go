package share

import "time"

// The invariants that owners and clients check of themselves at each step.
const (
	invariantNotNegative  = "tokens are not negative"
	invariantWithinBurst  = "what a zone holds and has lent stays within its burst"
	invariantLendsInRate  = "what a zone lends stays within its burst and rate"
	invariantLoansAddUp   = "loans add up to what is lent"
	invariantLotOnce      = "a loan from another zone is lent once"
	invariantLoanOnce     = "a loan is counted once"
	invariantLiveLoan     = "tokens are spent from a live loan, each once"
	invariantReportedKept = "a reported spend is not given back"
)

// roundingPart is the part of a burst that rounding may add up to.
const roundingPart = 1e-6

// ignore is what is told of violations where nobody asks for them.
func ignore(string) {}

func orIgnore(violated func(invariant string)) func(invariant string) {
	if violated == nil {
		return ignore
	}
	return violated
}

// check compares the account with what must hold after each step. The meter is
// of the account's own lending and knows nothing of what is free.
func (a *account) check(now time.Duration) {
	burst := a.limits.burstAt(now)
	slack := roundingPart * (1 + burst)
	allowed := burst
	if now < a.formerUntil {
		allowed = max(allowed, a.formerHeld)
	}
	if a.free < -slack || a.lent < -slack {
		a.violated(invariantNotNegative)
	}
	if a.free+a.lent > allowed+slack {
		a.violated(invariantWithinBurst)
	}
	if a.meter.excess > burst+slack {
		a.violated(invariantLendsInRate)
	}
}
