package share

import (
	"slices"
	"time"
)

// batchIdleTime is how long a batch may remain unused before it is given back to
// its lender.
const batchIdleTime = 30 * time.Millisecond

// usable reports whether the batch has tokens and enough time left for a node to
// spend them.
func (l *batch) usable(terms Terms, now time.Duration) bool {
	return l.free > 0 && l.expires-now > terms.LoanTTL/10
}

// lentOut returns the tokens of the batch that nodes hold.
func (l *batch) lentOut() float64 {
	return l.amount - l.spent - l.free
}

// expireBatches removes the batches that have expired.
func (a *account) expireBatches(now time.Duration) {
	if len(a.batches) == 0 {
		return
	}
	a.batches = slices.DeleteFunc(a.batches, func(l *batch) bool { return l.expires <= now })
}

// addBatch adds a loan from the lender of another zone.
func (a *account) addBatch(zone string, grant Grant, askedAt, now time.Duration) {
	expires := askedAt + grant.TTL
	if grant.Tokens <= 0 || expires <= now {
		return
	}
	a.batches = append(a.batches, &batch{
		zone: zone, id: grant.Loan, amount: grant.Tokens, free: grant.Tokens,
		arrived: now, expires: expires,
	})
}

// batchReports returns the reports to a zone's lender on its loans. Batches that
// are spent or idle are closed and removed.
func (a *account) batchReports(zone string, now time.Duration) []Report {
	var reports []Report
	kept := a.batches[:0]
	for _, l := range a.batches {
		if l.zone != zone {
			kept = append(kept, l)
			continue
		}
		if l.free < -roundingFraction || l.lentOut() < -roundingFraction*(1+l.amount) {
			a.onViolation(invariantBatchLentOnce)
		}
		closed := l.closable(now)
		if closed || l.spent > l.reported {
			reports = append(reports, Report{Loan: l.id, Spent: l.spent, Closed: closed})
			l.reported = l.spent
		}
		if !closed {
			kept = append(kept, l)
		}
	}
	clear(a.batches[len(kept):])
	a.batches = kept
	return reports
}

// closable reports whether nodes hold no tokens of the batch and the rest is
// spent or has been idle for a while.
func (l *batch) closable(now time.Duration) bool {
	if l.lentOut() > wholeTolerance {
		return false
	}
	return l.free <= 0 || now-l.arrived >= batchIdleTime
}
