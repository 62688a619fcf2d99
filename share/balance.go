package share

import (
	"math"
	"time"
)

// maxHeld is how many loans of one workspace a node holds at once, and
// spareHeld how many of them it keeps for requests that wait.
const (
	maxHeld   = 8
	spareHeld = 2
)

// The times by which a wallet asks and gives back.
const (
	// askAhead is how long before it runs dry a wallet asks.
	askAhead = 20 * time.Millisecond
	// batchTime is the demand that one batch is to cover.
	batchTime = 100 * time.Millisecond
	// idleTime is after how long without requests tokens go back.
	idleTime = 150 * time.Millisecond
	// askTimeout is how long an answer is waited for.
	askTimeout = 300 * time.Millisecond
	// An owner that gave no answer is left alone for a time that doubles from
	// the first to the last.
	firstBackoff = 250 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// longestRefusal is how long a wallet refuses without asking again.
	longestRefusal = 5 * time.Millisecond
	// silencePatience is how long requests wait while no owner can say what is left,
	// as shards that change hands have none for a moment, or one that is starting for
	// as long as loans last; they ask anew each silencePause.
	silencePatience = defaultLoanTTL + 500*time.Millisecond
	silencePause    = 50 * time.Millisecond
	// closeTime is how long before the end of its time a loan goes back.
	closeTime = 100 * time.Millisecond
)

// backoff leaves an owner that gave no answer alone for a while.
type backoff struct {
	until time.Duration
	pause time.Duration
}

func (b *backoff) over(now time.Duration) bool { return now >= b.until }

func (b *backoff) failed(now time.Duration) {
	b.pause = min(max(2*b.pause, firstBackoff), lastBackoff)
	b.until = now + b.pause
}

func (b *backoff) answered() { b.pause = 0 }

// silence is a time in which owners were asked and none could say what is left:
// they gave no answer or are starting.
type silence struct {
	lasts bool
	since time.Duration
}

// begin notes a question that was not answered; the first one counts.
func (s *silence) begin(asked time.Duration) {
	if !s.lasts {
		s.lasts, s.since = true, asked
	}
}

// held is a loan in a wallet.
type held struct {
	id     LoanID
	zone   string
	amount uint32
	left   uint32
	spent  uint32
	told   uint32
	// reports counts the reports that told of spends.
	reports uint32
	expires time.Duration
}

// Spend names one spent token.
type Spend struct {
	// zone is the lender's: loans of two zones may have one number.
	zone    string
	loan    LoanID
	reports uint32
}

// purse holds one workspace's tokens at a node.
type purse struct {
	workspace string
	loans     [maxHeld]held
	count     int
	demand    demand
	// lastTake is when a token was last asked for.
	lastTake    time.Duration
	pending     uint64
	pendingNeed float64
	pendingZone string
	// pendingCollect is true where the lender borrows what it lacks.
	pendingCollect bool
	askedAt        time.Duration
	// tried counts the owners asked for the requests that wait.
	tried int
	// heard is true once one of them has said what is left.
	heard bool
	// silence is since when no owner has said what is left; none while they do.
	silence silence
	// restUntil is when owners are asked anew.
	restUntil time.Duration
	// home is the own zone's owner, collector the one that collects the
	// workspace's fractions; the zone is empty where there is none.
	home          backoff
	collector     backoff
	collectorZone string
	// listed is true while the purse is among the wallet's active ones.
	listed       bool
	refusedUntil time.Duration
	retryAfter   time.Duration
	violated     func(invariant string)
}

// take spends a token of the loan that ends first.
func (p *purse) take(now time.Duration) (Spend, bool) {
	best := -1
	for i := 0; i < p.count; i++ {
		h := &p.loans[i]
		if h.left == 0 || h.expires <= now {
			continue
		}
		if best < 0 || h.expires < p.loans[best].expires {
			best = i
		}
	}
	if best < 0 {
		return Spend{}, false
	}
	h := &p.loans[best]
	h.left--
	h.spent++
	if h.expires <= now || h.left+h.spent != h.amount {
		p.violated(invariantLiveLoan)
	}
	return Spend{zone: h.zone, loan: h.id, reports: h.reports}, true
}

// giveBack undoes a spend that has not been reported. Once it has, the lender
// may have accrued another token in its place.
func (p *purse) giveBack(s Spend, now time.Duration) bool {
	for i := 0; i < p.count; i++ {
		h := &p.loans[i]
		if h.zone != s.zone || h.id != s.loan {
			continue
		}
		if h.reports != s.reports || h.expires <= now {
			return false
		}
		if h.spent <= h.told {
			p.violated(invariantReportedKept)
		}
		h.spent--
		h.left++
		return true
	}
	return false
}

// left returns the tokens that can still be spent.
func (p *purse) left(now time.Duration) float64 {
	sum := uint64(0)
	for i := 0; i < p.count; i++ {
		if p.loans[i].expires > now {
			sum += uint64(p.loans[i].left)
		}
	}
	return float64(sum)
}

// hear notes whether an owner has said what is left. One that is starting does not
// know what its predecessor lent.
func (p *purse) hear(grant Grant) {
	if grant.Starting {
		p.silence.begin(p.askedAt)
		return
	}
	p.heard, p.silence = true, silence{}
}

// waiting tells whether an answer is being waited for.
func (p *purse) waiting(now time.Duration) bool {
	return p.pending != 0 && now-p.askedAt < askTimeout
}

// dueAhead tells whether to ask before the tokens run out.
func (p *purse) dueAhead(now time.Duration) bool {
	if p.waiting(now) || now < p.refusedUntil || p.count >= maxHeld-spareHeld {
		return false
	}
	rate := p.demand.rate(now)
	if rate*batchTime.Seconds() < 1 {
		return false
	}
	return p.left(now) < rate*askAhead.Seconds()
}

// want returns the size of the next batch beyond what waits.
func (p *purse) want(now time.Duration) float64 {
	return math.Floor(max(0, p.demand.rate(now)*batchTime.Seconds()-p.left(now)))
}

// reports returns what a zone's owner is to be told, and closes loans that
// are spent, about to end, or idle.
func (p *purse) reports(zone string, now time.Duration) []Report {
	var reports []Report
	idle := now-p.lastTake >= idleTime
	kept := 0
	for i := 0; i < p.count; i++ {
		h := p.loans[i]
		if h.zone != zone {
			p.loans[kept] = h
			kept++
			continue
		}
		closed := h.left == 0 || idle || h.expires-now < closeTime
		if closed || h.spent > h.told {
			reports = append(reports, Report{Loan: h.id, Spent: float64(h.spent), Closed: closed})
			h.told = h.spent
			h.reports++
		}
		if closed {
			continue
		}
		p.loans[kept] = h
		kept++
	}
	p.count = kept
	return reports
}

// add takes in a loan; one too many is left to lapse.
func (p *purse) add(grant Grant, expires time.Duration) {
	if p.count == maxHeld || grant.Tokens < 1 {
		return
	}
	p.checkUnknown(grant.Loan)
	tokens := uint32(grant.Tokens)
	p.loans[p.count] = held{id: grant.Loan, zone: p.pendingZone, amount: tokens, left: tokens, expires: expires}
	p.count++
}

// checkUnknown checks that a loan that has come is not here already.
func (p *purse) checkUnknown(id LoanID) {
	for i := range p.loans[:p.count] {
		if p.loans[i].id == id && p.loans[i].zone == p.pendingZone {
			p.violated(invariantLoanOnce)
		}
	}
}
