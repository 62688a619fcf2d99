package share

import "time"

// The invariants that owners and clients check at each step.
const (
	invariantNotNegative   = "tokens are not negative"
	invariantWithinBurst   = "what a zone holds and has lent stays within its burst"
	invariantLendsInRate   = "what a zone lends stays within its burst and rate"
	invariantLoansAddUp    = "loans add up to what is lent"
	invariantBatchLentOnce = "a loan from another zone is lent once"
	invariantLoanOnce      = "a loan is counted once"
	invariantLiveLoan      = "tokens are spent from a live loan, each once"
	invariantReportedKept  = "a reported spend is not given back"
)

// roundingFraction is the fraction of a burst that rounding errors may add up to.
const roundingFraction = 1e-6

// ignoreViolation is the callback for violations if none is configured.
func ignoreViolation(string) {}

func orIgnore(onViolation func(invariant string)) func(invariant string) {
	if onViolation == nil {
		return ignoreViolation
	}
	return onViolation
}

// check verifies the invariants that must hold after each step. The meter counts
// the account's own lending only, not its free tokens.
func (a *account) check(now time.Duration) {
	burst := a.limits.burstAt(now)
	slack := roundingFraction * (1 + burst)
	allowed := burst
	if now < a.heldAtChangeUntil {
		allowed = max(allowed, a.heldAtChange)
	}
	if a.free < -slack || a.lent < -slack {
		a.onViolation(invariantNotNegative)
	}
	if a.free+a.lent > allowed+slack {
		a.onViolation(invariantWithinBurst)
	}
	if a.meter.excess > burst+slack {
		a.onViolation(invariantLendsInRate)
	}
}
