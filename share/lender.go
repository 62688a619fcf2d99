package share

import (
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

// spareDivisor limits what a draw may take beyond its need to this fraction of
// the remaining tokens, so that one node does not hoard tokens that others wait for.
const spareDivisor = 4

// reserveTime is the time for which a lender reserves tokens for its local nodes,
// at their recent demand, before it lends to other zones.
const reserveTime = 10 * time.Millisecond

// LenderConfig configures a Lender.
type LenderConfig struct {
	Zone  string
	Shard int
	// Epoch is the epoch at which the VM became the shard's owner.
	Epoch uint64
	// FirstSequence is the start of the loans' sequence numbers. It must be beyond
	// those of any predecessor at the same epoch, such as a former process in the
	// same slot.
	FirstSequence uint64
	// GainedAt is the reading of the VM's clock when it became the shard's owner.
	GainedAt time.Duration
	Terms    Terms
	// State is the state that the predecessor handed over; nil if there is none.
	State *peerpb.ShareState
	// OnViolation is called with the name of an invariant that does not hold.
	OnViolation func(invariant string)
}

// Lender lends the tokens of one shard. It accrues the zone's share of the rate of
// each workspace that the shard owns. It is not safe for concurrent use.
// A lender that is created without State starts with no tokens. It accrues only
// from the time when no token that a predecessor may have lent can be spent.
type Lender struct {
	config   LenderConfig
	accounts map[string]*account
	index    *bundle.Index
	sequence uint64
}

// NewLender returns a lender without accounts. Apply opens them.
func NewLender(config LenderConfig) *Lender {
	config.Terms = config.Terms.withDefaults()
	config.OnViolation = orIgnore(config.OnViolation)
	return &Lender{config: config, accounts: make(map[string]*account), sequence: config.FirstSequence}
}

// Apply applies a bundle: it opens and closes accounts and changes rates, bursts
// and shares.
func (l *Lender) Apply(index *bundle.Index, now time.Duration) {
	before := l.index
	l.index = index
	shards := l.shardCount(index)
	open := make(map[string]bool)
	for i := range index.Bundle.Workspaces {
		w := &index.Bundle.Workspaces[i]
		if shards == 0 || OwnerShard(w.Name, shards) != l.config.Shard {
			continue
		}
		open[w.Name] = true
		l.applyWorkspace(w, before, now)
	}
	for name := range l.accounts {
		if !open[name] {
			delete(l.accounts, name)
		}
	}
}

func (l *Lender) shardCount(index *bundle.Index) int {
	zone, ok := index.Zone(l.config.Zone)
	if !ok {
		return 0
	}
	return zone.Shards
}

func (l *Lender) applyWorkspace(w *bundle.Workspace, before *bundle.Index, now time.Duration) {
	next := allocation{rate: w.Rate, burst: w.Burst, share: l.index.ZoneShare(w, l.config.Zone)}
	a, ok := l.accounts[w.Name]
	if !ok {
		l.accounts[w.Name] = l.openAccount(w.Name, next, before, now)
		return
	}
	a.changeLimits(next, now)
	a.check(now)
}

func (l *Lender) openAccount(workspace string, next allocation, before *bundle.Index, now time.Duration) *account {
	if state := l.handedOverAccount(workspace, before); state != nil {
		return l.restoreAccount(next, state, now)
	}
	a := newAccount(l.config.Terms, l.accrualStart(before, now), l.config.OnViolation)
	a.limits = limits{allocation: next}
	return a
}

// accrualStart returns when an account without a known predecessor may begin to
// accrue. A workspace that a new bundle has moved to this shard waits until its
// former owner has applied that bundle too.
func (l *Lender) accrualStart(before *bundle.Index, now time.Duration) time.Duration {
	lapse := l.config.Terms.stretch(l.config.Terms.LoanTTL)
	if before == nil && l.config.State == nil {
		return l.config.GainedAt + lapse
	}
	return now + l.config.Terms.GrowthDelay + lapse
}

// Report applies borrowers' reports on a workspace's loans.
func (l *Lender) Report(workspace string, reports []Report, now time.Duration) {
	a, ok := l.accounts[workspace]
	if !ok {
		return
	}
	a.advance(now)
	for _, r := range reports {
		a.handleReport(r, now)
	}
	a.free = min(a.free, a.spareCapacity(now))
	a.check(now)
}

// Draw lends as many of the needed tokens as it has. The loan is subtracted before
// the grant is returned. It returns false if the workspace has no account here.
func (l *Lender) Draw(d Draw, now time.Duration) (Grant, bool) {
	l.Report(d.Workspace, d.Reports, now)
	a, ok := l.accounts[d.Workspace]
	if !ok {
		return Grant{ID: d.ID}, false
	}
	a.advance(now)
	lend := l.lendToZone
	if d.Whole {
		lend = l.lendToNode
	}
	grant := lend(a, d, now)
	a.check(now)
	return grant, true
}

func (l *Lender) lendToNode(a *account, d Draw, now time.Duration) Grant {
	available := l.lendable(a, d, now)
	tokens := whole(min(d.Need, available))
	tokens += whole(min(d.Want, (available-tokens)/spareDivisor))
	if l.isLocalNode(d) {
		a.demand.add(max(d.Need, tokens), now)
	}
	grant := Grant{ID: d.ID, Tokens: tokens}
	if tokens > 0 {
		loan := a.lend(l.nextID(), tokens, l.isLocalNode(d), now)
		grant.Loan = loan.id
		grant.TTL = loan.ttl
	}
	if tokens < d.Need {
		grant.RetryAfter = a.estimateWait(now)
		grant.Starting = a.isStarting(now)
	}
	grant.Free = a.free
	return grant
}

// isLocalNode reports whether the lender treats the borrower as one of its own
// nodes. These are the nodes of its zone, and nodes of other zones for which it
// borrows the missing tokens.
func (l *Lender) isLocalNode(d Draw) bool {
	return d.Whole && (d.Collect || d.BorrowerZone == l.config.Zone)
}

// lendable returns the tokens that may be lent to a borrower. Borrowers of other
// zones get only what the local nodes are not likely to need soon. Less than one
// whole token is lent in full to a lender of another zone, as local nodes cannot
// use it.
func (l *Lender) lendable(a *account, d Draw, now time.Duration) float64 {
	available := a.available(now)
	if l.isLocalNode(d) {
		return available
	}
	if whole(available) < 1 {
		return max(0, a.free)
	}
	return max(0, a.free-a.demand.rate(now)*reserveTime.Seconds())
}

func (l *Lender) lendToZone(a *account, d Draw, now time.Duration) Grant {
	lendable := l.lendable(a, d, now)
	tokens := min(d.Need, lendable)
	grant := Grant{ID: d.ID}
	if tokens > 0 {
		loan := a.lendOwn(l.nextID(), tokens, now)
		grant.Loan = loan.id
		grant.Tokens = tokens
		grant.TTL = loan.ttl
	}
	grant.Free = lendable - max(0, tokens)
	return grant
}

func (l *Lender) nextID() LoanID {
	l.sequence++
	return LoanID{Epoch: l.config.Epoch, Sequence: l.sequence}
}

// Held returns the tokens of the zone's own share that can still be spent: free
// tokens, and lent tokens that are not reported as spent. It never exceeds the
// zone's burst, except while loans from before a reduction of the burst last.
func (l *Lender) Held(workspace string, now time.Duration) float64 {
	a, ok := l.accounts[workspace]
	if !ok {
		return 0
	}
	a.advance(now)
	return a.free + a.lent
}
