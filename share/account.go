package share

import (
	"math"
	"time"
)

// wholeTolerance is how much may be missing from a whole token, so that
// fractions from many zones add up to one despite rounding. A full token is
// subtracted all the same.
const wholeTolerance = 1e-9

// never is a clock reading that is never reached.
const never = time.Duration(math.MaxInt64)

// account holds one workspace's tokens at a lender. The sum of free and lent
// never exceeds the zone's burst, except for tokens that were lent before the
// burst was reduced.
type account struct {
	limits       limits
	terms        Terms
	free         float64
	lent         float64
	accruedUntil time.Duration
	loans        map[LoanID]*loan
	nextExpiry   time.Duration
	batches      []*batch
	demand       demand
	peers        map[string]*peerState
	// meter counts the zone's own tokens that are lent.
	meter Meter
	// heldAtChange is the number of tokens that were free or lent when the limits
	// last changed. They may exceed the new burst until heldAtChangeUntil.
	heldAtChange      float64
	heldAtChangeUntil time.Duration
	onViolation       func(invariant string)
}

func newAccount(terms Terms, accrueFrom time.Duration, onViolation func(string)) *account {
	return &account{
		onViolation:  onViolation,
		terms:        terms,
		accruedUntil: accrueFrom,
		loans:        make(map[LoanID]*loan),
		nextExpiry:   never,
		peers:        make(map[string]*peerState),
	}
}

// isStarting reports whether the account has not begun to accrue tokens.
func (a *account) isStarting(now time.Duration) bool { return now < a.accruedUntil }

// advance accrues tokens up to now and drops the loans and batches that have expired.
func (a *account) advance(now time.Duration) {
	for a.nextExpiry <= now {
		a.accrue(a.nextExpiry)
		a.expireLoans(a.nextExpiry)
	}
	a.accrue(now)
	a.expireBatches(now)
}

// accrue adds the tokens of the time up to now. The rate is reduced by the clock
// bound, since the VM's clock may run fast by that much.
func (a *account) accrue(now time.Duration) {
	if a.accruedUntil < a.limits.growAt && a.limits.growAt < now {
		a.accrueAtOneRate(a.limits.growAt)
	}
	a.accrueAtOneRate(now)
}

func (a *account) accrueAtOneRate(now time.Duration) {
	if now <= a.accruedUntil {
		return
	}
	rate := a.limits.rateAt(a.accruedUntil)
	a.meter.SetRate(rate, a.accruedUntil)
	added := rate * (1 - a.terms.ClockBound) * (now - a.accruedUntil).Seconds()
	a.free = min(a.free+added, a.spareCapacity(a.accruedUntil))
	a.accruedUntil = now
}

// spareCapacity returns how many free tokens the burst allows.
func (a *account) spareCapacity(now time.Duration) float64 {
	return max(0, a.limits.burstAt(now)-a.lent)
}

func (a *account) expireLoans(now time.Duration) {
	next := never
	for id, l := range a.loans {
		if l.lapsesAt <= now {
			a.removeLoan(id, l)
			continue
		}
		next = min(next, l.lapsesAt)
	}
	a.nextExpiry = next
}

// removeLoan forgets a loan whose unspent tokens can no longer be spent.
func (a *account) removeLoan(id LoanID, l *loan) {
	a.lent -= l.ownUnspent()
	delete(a.loans, id)
	if len(a.loans) > 0 {
		return
	}
	if math.Abs(a.lent) > roundingFraction*(1+l.own) {
		a.onViolation(invariantLoansAddUp)
	}
	a.lent = 0
}

// handleReport applies a borrower's report on a loan.
func (a *account) handleReport(r Report, now time.Duration) {
	l, ok := a.loans[r.Loan]
	if !ok {
		return
	}
	a.lent -= l.settle(r.Spent)
	if r.Closed {
		unspent := l.returnUnspent()
		a.free += unspent
		a.meter.GiveBack(unspent, now)
		a.removeLoan(r.Loan, l)
		return
	}
	if l.spent >= l.amount {
		a.removeLoan(r.Loan, l)
	}
}

// available returns the tokens that can be lent to nodes.
func (a *account) available(now time.Duration) float64 {
	sum := a.free
	for _, batch := range a.batches {
		if batch.usable(a.terms, now) {
			sum += batch.free
		}
	}
	return sum
}

// lend makes a loan of whole tokens to a node. For local nodes, it first uses the
// tokens that were borrowed from other zones.
func (a *account) lend(id LoanID, tokens float64, local bool, now time.Duration) *loan {
	if !local {
		return a.lendOwn(id, tokens, now)
	}
	l := &loan{id: id, amount: tokens, own: tokens}
	ttl := a.terms.LoanTTL
	for _, batch := range a.batches {
		part := min(batch.free, l.own)
		if part <= 0 || !batch.usable(a.terms, now) {
			continue
		}
		batch.free -= part
		l.own -= part
		l.borrowed = append(l.borrowed, batchPart{batch: batch, amount: part})
		ttl = min(ttl, a.terms.shrink(batch.expires-now))
	}
	a.recordLoan(l, ttl, now)
	return l
}

// lendOwn makes a loan of the zone's own tokens only.
func (a *account) lendOwn(id LoanID, tokens float64, now time.Duration) *loan {
	l := &loan{id: id, amount: tokens, own: tokens}
	a.recordLoan(l, a.terms.LoanTTL, now)
	return l
}

// recordLoan subtracts a loan's tokens. It is called before the grant is sent.
func (a *account) recordLoan(l *loan, ttl time.Duration, now time.Duration) {
	a.free -= l.own
	a.lent += l.own
	a.meter.Spend(l.own, now)
	l.ttl = ttl
	l.lapsesAt = now + a.terms.stretch(ttl)
	a.loans[l.id] = l
	a.nextExpiry = min(a.nextExpiry, l.lapsesAt)
}

// changeLimits applies a new allocation. If the burst is reduced, the tokens that
// are lent already may exceed it until their loans are over.
func (a *account) changeLimits(next allocation, now time.Duration) {
	a.advance(now)
	a.limits.change(next, now, a.terms.GrowthDelay)
	a.free = min(a.free, a.spareCapacity(now))
	a.recordHeld()
	a.meter = *NewMeter(a.limits.rateAt(now))
	a.meter.at = now
}

// recordHeld allows the tokens that are held now until their loans are over.
func (a *account) recordHeld() {
	a.heldAtChange, a.heldAtChangeUntil = a.free+a.lent, 0
	for _, l := range a.loans {
		a.heldAtChangeUntil = max(a.heldAtChangeUntil, l.lapsesAt)
	}
}

// estimateWait estimates the time until a whole token is available.
func (a *account) estimateWait(now time.Duration) time.Duration {
	missing := 1 - math.Mod(max(0, a.available(now)), 1)
	if a.limits.rate <= 0 {
		return time.Hour
	}
	seconds := min(missing/a.limits.rate, time.Hour.Seconds())
	return max(time.Millisecond, time.Duration(seconds*float64(time.Second)))
}

// whole returns the whole tokens in a sum of fractions.
func whole(tokens float64) float64 {
	return math.Floor(max(0, tokens) + wholeTolerance)
}
