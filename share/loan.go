package share

import "time"

// LoanID identifies a loan. An ID is never reused.
type LoanID struct {
	Epoch    uint64
	Sequence uint64
}

// Report is a borrower's report to a lender on a loan. Reports may arrive late,
// repeatedly and in any order.
type Report struct {
	Loan LoanID
	// Spent is the total since the loan was made.
	Spent float64
	// Closed gives the unspent tokens back. None is spent afterwards.
	Closed bool
}

// Draw asks a lender for tokens of one workspace.
type Draw struct {
	ID uint64
	// LenderZone is the lender's availability zone, BorrowerZone the borrower's.
	LenderZone, BorrowerZone string
	Workspace                string
	// Need is the number of tokens for waiting requests, Want what is asked for beyond that.
	Need, Want float64
	// Whole asks for whole tokens only. Nodes set it.
	Whole bool
	// Collect asks the lender to borrow missing tokens from other zones.
	Collect bool
	Reports []Report
}

// Grant is a lender's answer to a draw.
type Grant struct {
	ID     uint64
	Loan   LoanID
	Tokens float64
	// TTL counts from the time when the borrower sent the draw, by the borrower's clock.
	TTL time.Duration
	// RetryAfter estimates the time until a whole token is available; zero if Need was met.
	RetryAfter time.Duration
	// Free is the number of tokens that the lender still has.
	Free float64
	// Starting is true if the lender has no tokens of its own yet because it started
	// without its predecessor's state.
	Starting bool
}

// loan is a loan that a lender has made to one borrower.
type loan struct {
	id     LoanID
	amount float64
	spent  float64
	// own is the part of amount that counts against the lender's own burst. The
	// rest was borrowed from lenders of other zones and counts there.
	own      float64
	borrowed []batchPart
	ttl      time.Duration
	// lapsesAt is when the borrower's time is certainly over.
	lapsesAt time.Duration
}

type batchPart struct {
	batch  *batch
	amount float64
}

// batch is a loan that this lender has from the lender of another zone.
type batch struct {
	zone    string
	id      LoanID
	amount  float64
	free    float64
	spent   float64
	arrived time.Duration
	expires time.Duration
	// reported is the value of spent in the last report.
	reported float64
}

// settle attributes newly reported spends to the parts of the loan, the borrowed
// parts first, and returns how many tokens of the lender's own part were spent.
func (l *loan) settle(spent float64) float64 {
	spent = min(spent, l.amount)
	if spent <= l.spent {
		return 0
	}
	offset := 0.0
	for _, part := range l.borrowed {
		part.batch.spent += overlap(l.spent, spent, offset, offset+part.amount)
		offset += part.amount
	}
	own := overlap(l.spent, spent, l.amount-l.own, l.amount)
	l.spent = spent
	return own
}

// returnUnspent returns the unspent tokens of the lender's own part and puts those of the
// borrowed parts back into their batches.
func (l *loan) returnUnspent() float64 {
	offset := 0.0
	for _, part := range l.borrowed {
		part.batch.free += overlap(l.spent, l.amount, offset, offset+part.amount)
		offset += part.amount
	}
	return l.ownUnspent()
}

// ownUnspent returns the unspent tokens of the lender's own part.
func (l *loan) ownUnspent() float64 {
	return overlap(l.spent, l.amount, l.amount-l.own, l.amount)
}

// overlap returns the length of the intersection of the intervals [a, b] and [c, d].
func overlap(a, b, c, d float64) float64 {
	return max(0, min(b, d)-max(a, c))
}
