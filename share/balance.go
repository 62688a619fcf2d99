package share

import (
	"math"
	"time"
)

// maxLoans is how many loans of one workspace a node holds at once, and
// reservedLoans how many of them are reserved for draws for waiting requests.
const (
	maxLoans      = 8
	reservedLoans = 2
)

// The timeouts and intervals of a token cache.
const (
	// refillLead is how long before its tokens run out a node draws more.
	refillLead = 20 * time.Millisecond
	// refillTime is the time whose expected demand one draw asks for.
	refillTime = 100 * time.Millisecond
	// idleTime is the time without requests after which tokens are given back.
	idleTime = 150 * time.Millisecond
	// answerTimeout is how long to wait for the answer to a draw.
	answerTimeout = 300 * time.Millisecond
	// An owner that did not answer is not asked for a time that doubles from
	// firstBackoff to lastBackoff.
	firstBackoff = 250 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// maxRefusal is how long requests are refused without asking owners again.
	maxRefusal = 5 * time.Millisecond
	// unresponsiveTimeout is how long requests wait while no owner can say how many
	// tokens it has left: a shard that moves has no owner for a moment, and a
	// starting owner has no tokens as long as its predecessor's loans last.
	// Meanwhile owners are asked again every unresponsiveRetry.
	unresponsiveTimeout = defaultLoanTTL + 500*time.Millisecond
	unresponsiveRetry   = 50 * time.Millisecond
	// closeLead is how long before its expiry a loan is given back.
	closeLead = 100 * time.Millisecond
)

// backoff is the time for which an owner that did not answer is not asked again.
type backoff struct {
	until time.Duration
	delay time.Duration
}

func (b *backoff) elapsed(now time.Duration) bool { return now >= b.until }

func (b *backoff) increase(now time.Duration) {
	b.delay = min(max(2*b.delay, firstBackoff), lastBackoff)
	b.until = now + b.delay
}

func (b *backoff) reset() { b.delay = 0 }

// unresponsivePeriod is a time in which owners were asked and none could say how
// many tokens it has left: they did not answer or are starting.
type unresponsivePeriod struct {
	active bool
	since  time.Duration
}

// begin starts the period with the first draw that was not answered.
func (s *unresponsivePeriod) begin(askedAt time.Duration) {
	if !s.active {
		s.active, s.since = true, askedAt
	}
}

// heldLoan is a loan that a node holds.
type heldLoan struct {
	id       LoanID
	zone     string
	amount   uint32
	unspent  uint32
	spent    uint32
	reported uint32
	// reports counts the reports on this loan.
	reports uint32
	expires time.Duration
}

// Spend identifies one spent token.
type Spend struct {
	// zone is the lender's zone. Lenders of two zones may use the same loan ID.
	zone    string
	loan    LoanID
	reports uint32
}

// balance holds one workspace's tokens at a node.
type balance struct {
	workspace string
	loans     [maxLoans]heldLoan
	count     int
	demand    demand
	// lastTake is when a request last asked for a token.
	lastTake    time.Duration
	pending     uint64
	pendingNeed float64
	pendingZone string
	// pendingCollect is true if the lender borrows missing tokens from other zones.
	pendingCollect bool
	askedAt        time.Duration
	// lendersTried counts the owners that were asked in this round.
	lendersTried int
	// answered is true once one of them has said how many tokens it has left.
	answered bool
	// retryLocal is set if the next draw goes to the owner in the node's zone before its
	// backoff has elapsed: an owner of another zone did not answer, and none has in this
	// round.
	retryLocal bool
	// unresponsive is active while no owner can say how many tokens it has left.
	unresponsive unresponsivePeriod
	// retryAt is when owners may be asked again.
	retryAt time.Duration
	// localBackoff is for the owner in the node's zone, collectorBackoff for the
	// collector of the workspace's fractions. collectorZone is "" if there is none.
	localBackoff     backoff
	collectorBackoff backoff
	collectorZone    string
	// isActive is true while the balance is in the active list of its token cache.
	isActive     bool
	refusedUntil time.Duration
	retryAfter   time.Duration
	onViolation  func(invariant string)
}

// take spends a token of the loan that expires first.
func (b *balance) take(now time.Duration) (Spend, bool) {
	best := -1
	for i := 0; i < b.count; i++ {
		h := &b.loans[i]
		if h.unspent == 0 || h.expires <= now {
			continue
		}
		if best < 0 || h.expires < b.loans[best].expires {
			best = i
		}
	}
	if best < 0 {
		return Spend{}, false
	}
	h := &b.loans[best]
	h.unspent--
	h.spent++
	if h.expires <= now || h.unspent+h.spent != h.amount {
		b.onViolation(invariantLiveLoan)
	}
	return Spend{zone: h.zone, loan: h.id, reports: h.reports}, true
}

// giveBack reverts a spend that has not been reported. After a report, the lender
// may have accrued another token in its place.
func (b *balance) giveBack(s Spend, now time.Duration) bool {
	for i := 0; i < b.count; i++ {
		h := &b.loans[i]
		if h.zone != s.zone || h.id != s.loan {
			continue
		}
		if h.reports != s.reports || h.expires <= now {
			return false
		}
		if h.spent <= h.reported {
			b.onViolation(invariantReportedKept)
		}
		h.spent--
		h.unspent++
		return true
	}
	return false
}

// unspent returns the tokens that can still be spent.
func (b *balance) unspent(now time.Duration) float64 {
	sum := uint64(0)
	for i := 0; i < b.count; i++ {
		if b.loans[i].expires > now {
			sum += uint64(b.loans[i].unspent)
		}
	}
	return float64(sum)
}

// noteAnswer records whether an owner has said how many tokens it has left. An
// owner that is starting does not know what its predecessor lent.
func (b *balance) noteAnswer(grant Grant) {
	if grant.Starting {
		b.unresponsive.begin(b.askedAt)
		return
	}
	b.answered, b.unresponsive = true, unresponsivePeriod{}
}

// waiting reports whether the answer to a draw is pending.
func (b *balance) waiting(now time.Duration) bool {
	return b.pending != 0 && now-b.askedAt < answerTimeout
}

// needsRefill reports whether to draw tokens before they run out.
func (b *balance) needsRefill(now time.Duration) bool {
	if b.waiting(now) || now < b.refusedUntil || b.count >= maxLoans-reservedLoans {
		return false
	}
	rate := b.demand.rate(now)
	if rate*refillTime.Seconds() < 1 {
		return false
	}
	return b.unspent(now) < rate*refillLead.Seconds()
}

// refillSize returns how many tokens to draw beyond those for waiting requests.
func (b *balance) refillSize(now time.Duration) float64 {
	return math.Floor(max(0, b.demand.rate(now)*refillTime.Seconds()-b.unspent(now)))
}

// reports returns the reports to a zone's owner. Loans that are spent, idle or
// about to expire are closed and removed.
func (b *balance) reports(zone string, now time.Duration) []Report {
	var reports []Report
	idle := now-b.lastTake >= idleTime
	kept := 0
	for i := 0; i < b.count; i++ {
		h := b.loans[i]
		if h.zone != zone {
			b.loans[kept] = h
			kept++
			continue
		}
		closed := h.unspent == 0 || idle || h.expires-now < closeLead
		if closed || h.spent > h.reported {
			reports = append(reports, Report{Loan: h.id, Spent: float64(h.spent), Closed: closed})
			h.reported = h.spent
			h.reports++
		}
		if closed {
			continue
		}
		b.loans[kept] = h
		kept++
	}
	b.count = kept
	return reports
}

// addLoan adds a granted loan. If there are maxLoans already, it is dropped and
// expires.
func (b *balance) addLoan(grant Grant, expires time.Duration) {
	if b.count == maxLoans || grant.Tokens < 1 {
		return
	}
	b.checkNewLoan(grant.Loan)
	tokens := uint32(grant.Tokens)
	b.loans[b.count] = heldLoan{id: grant.Loan, zone: b.pendingZone, amount: tokens, unspent: tokens, expires: expires}
	b.count++
}

// checkNewLoan checks that a granted loan is not held already.
func (b *balance) checkNewLoan(id LoanID) {
	for i := range b.loans[:b.count] {
		if b.loans[i].id == id && b.loans[i].zone == b.pendingZone {
			b.onViolation(invariantLoanOnce)
		}
	}
}
