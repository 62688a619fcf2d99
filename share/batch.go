package share

import (
	"slices"
	"time"
)

// lotIdle is how long a lot may lie unused before it goes back to its lender.
const lotIdle = 30 * time.Millisecond

// usable tells whether enough of the lot's time is left for a node to spend
// from it.
func (l *lot) usable(terms Terms, now time.Duration) bool {
	return l.free > 0 && l.expires-now > terms.LoanTTL/10
}

// lentOut returns what nodes hold of the lot.
func (l *lot) lentOut() float64 {
	return l.amount - l.spent - l.free
}

// expireLots forgets the lots that may no longer be spent from.
func (a *account) expireLots(now time.Duration) {
	if len(a.lots) == 0 {
		return
	}
	a.lots = slices.DeleteFunc(a.lots, func(l *lot) bool { return l.expires <= now })
}

// deposit takes in a loan from a bank of another zone.
func (a *account) deposit(zone string, grant Grant, askedAt, now time.Duration) {
	expires := askedAt + grant.TTL
	if grant.Tokens <= 0 || expires <= now {
		return
	}
	a.lots = append(a.lots, &lot{
		zone: zone, id: grant.Loan, amount: grant.Tokens, free: grant.Tokens,
		arrived: now, expires: expires,
	})
}

// lotReports returns what a zone's bank is to be told of its loans. Lots that
// are spent or lie idle are closed and forgotten.
func (a *account) lotReports(zone string, now time.Duration) []Report {
	var reports []Report
	kept := a.lots[:0]
	for _, l := range a.lots {
		if l.zone != zone {
			kept = append(kept, l)
			continue
		}
		if l.free < -roundingPart || l.lentOut() < -roundingPart*(1+l.amount) {
			a.violated(invariantLotOnce)
		}
		closed := l.closable(now)
		if closed || l.spent > l.told {
			reports = append(reports, Report{Loan: l.id, Spent: l.spent, Closed: closed})
			l.told = l.spent
		}
		if !closed {
			kept = append(kept, l)
		}
	}
	clear(a.lots[len(kept):])
	a.lots = kept
	return reports
}

// closable tells whether nothing of the lot is with nodes and nobody has
// wanted the rest for a while.
func (l *lot) closable(now time.Duration) bool {
	if l.lentOut() > wholeTolerance {
		return false
	}
	return l.free <= 0 || now-l.arrived >= lotIdle
}
