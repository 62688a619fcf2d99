package share

import (
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

// spareDivisor is the part of what is left that a draw may take beyond its
// need, so that one node does not hoard what others wait for.
const spareDivisor = 4

// reserveTime is how much of its own nodes' demand a bank keeps back from
// banks of other zones.
const reserveTime = 10 * time.Millisecond

// BankConfig says which shard a bank is the owner of.
type BankConfig struct {
	Zone  string
	Shard int
	// Epoch is the one at which the shard was gained.
	Epoch uint64
	// FirstSequence begins the numbers of loans. It must be beyond those of any
	// predecessor at the same epoch, such as a former process in the same slot.
	FirstSequence uint64
	// GainedAt is the clock's reading when the shard was gained.
	GainedAt time.Duration
	Terms    Terms
	// State is what the predecessor handed over; nil where it did not.
	State *peerpb.ShareState
	// Violated is told the name of an invariant that does not hold.
	Violated func(invariant string)
}

// Bank is the owner of a shard: it accrues the zone's share of each workspace
// that is homed at the shard, and lends it. It is not safe for concurrent use.
// A bank that is made without State starts from no tokens, and accrues only
// from when nothing that a predecessor may have lent can be spent any more.
type Bank struct {
	config   BankConfig
	accounts map[string]*account
	index    *bundle.Index
	sequence uint64
}

// NewBank returns a bank without accounts; Apply opens them.
func NewBank(config BankConfig) *Bank {
	config.Terms = config.Terms.withDefaults()
	config.Violated = orIgnore(config.Violated)
	return &Bank{config: config, accounts: make(map[string]*account), sequence: config.FirstSequence}
}

// Apply puts a bundle into force: it opens and closes accounts and changes
// rates, bursts and shares.
func (b *Bank) Apply(index *bundle.Index, now time.Duration) {
	before := b.index
	b.index = index
	shards := b.shardCount(index)
	open := make(map[string]bool)
	for i := range index.Bundle.Workspaces {
		w := &index.Bundle.Workspaces[i]
		if shards == 0 || Home(w.Name, shards) != b.config.Shard {
			continue
		}
		open[w.Name] = true
		b.applyOne(w, before, now)
	}
	for name := range b.accounts {
		if !open[name] {
			delete(b.accounts, name)
		}
	}
}

func (b *Bank) shardCount(index *bundle.Index) int {
	zone, ok := index.Zone(b.config.Zone)
	if !ok {
		return 0
	}
	return zone.Shards
}

func (b *Bank) applyOne(w *bundle.Workspace, before *bundle.Index, now time.Duration) {
	next := plan{rate: w.Rate, burst: w.Burst, share: b.index.ZoneShare(w, b.config.Zone)}
	a, ok := b.accounts[w.Name]
	if !ok {
		b.accounts[w.Name] = b.openAccount(w.Name, next, before, now)
		return
	}
	a.changeLimits(next, now)
	a.check(now)
}

func (b *Bank) openAccount(workspace string, p plan, before *bundle.Index, now time.Duration) *account {
	if state := b.handedOver(workspace, before); state != nil {
		return b.restoreAccount(p, state, now)
	}
	a := newAccount(b.config.Terms, b.accrueFrom(before, now), b.config.Violated)
	a.limits = limits{plan: p}
	return a
}

// accrueFrom returns when an account without a known predecessor may begin to
// accrue. One that a change of the bundle has moved here waits for its former
// owner to have the change too.
func (b *Bank) accrueFrom(before *bundle.Index, now time.Duration) time.Duration {
	lapse := b.config.Terms.stretch(b.config.Terms.LoanTTL)
	if before == nil && b.config.State == nil {
		return b.config.GainedAt + lapse
	}
	return now + b.config.Terms.GrowthDelay + lapse
}

// Report takes in what became of a workspace's loans.
func (b *Bank) Report(workspace string, reports []Report, now time.Duration) {
	a, ok := b.accounts[workspace]
	if !ok {
		return
	}
	a.advance(now)
	for _, r := range reports {
		a.report(r, now)
	}
	a.free = min(a.free, a.room(now))
	a.check(now)
}

// Draw lends tokens, whatever it has of what is needed. The loan is
// subtracted before the grant is returned. False means that the workspace has
// no account here.
func (b *Bank) Draw(d Draw, now time.Duration) (Grant, bool) {
	b.Report(d.Workspace, d.Reports, now)
	a, ok := b.accounts[d.Workspace]
	if !ok {
		return Grant{ID: d.ID}, false
	}
	a.advance(now)
	lend := b.lendToBank
	if d.Whole {
		lend = b.lendToNode
	}
	grant := lend(a, d, now)
	a.check(now)
	return grant, true
}

func (b *Bank) lendToNode(a *account, d Draw, now time.Duration) Grant {
	available := b.lendable(a, d, now)
	tokens := whole(min(d.Need, available))
	tokens += whole(min(d.Want, (available-tokens)/spareDivisor))
	if b.ownNode(d) {
		a.demand.add(max(d.Need, tokens), now)
	}
	grant := Grant{ID: d.ID, Tokens: tokens}
	if tokens > 0 {
		l := a.lend(b.nextID(), tokens, b.ownNode(d), now)
		grant.Loan = l.id
		grant.TTL = l.ttl
	}
	if tokens < d.Need {
		grant.RetryAfter = a.wait(now)
		grant.Starting = a.starting(now)
	}
	grant.Free = a.free
	return grant
}

// ownNode tells whether the bank serves the borrower as one of its own nodes:
// those of its zone, and those of other zones for which it collects.
func (b *Bank) ownNode(d Draw) bool {
	return d.Whole && (d.Collect || d.Borrower == b.config.Zone)
}

// lendable returns what a borrower may have: to those of other zones only
// what the bank's own nodes are not about to need. A fraction is of no use to
// them.
func (b *Bank) lendable(a *account, d Draw, now time.Duration) float64 {
	available := a.available(now)
	if b.ownNode(d) {
		return available
	}
	if whole(available) < 1 {
		return max(0, a.free)
	}
	return max(0, a.free-a.demand.rate(now)*reserveTime.Seconds())
}

func (b *Bank) lendToBank(a *account, d Draw, now time.Duration) Grant {
	lendable := b.lendable(a, d, now)
	tokens := min(d.Need, lendable)
	grant := Grant{ID: d.ID}
	if tokens > 0 {
		l := a.lendOwn(b.nextID(), tokens, now)
		grant.Loan = l.id
		grant.Tokens = tokens
		grant.TTL = l.ttl
	}
	grant.Free = lendable - max(0, tokens)
	return grant
}

func (b *Bank) nextID() LoanID {
	b.sequence++
	return LoanID{Epoch: b.config.Epoch, Sequence: b.sequence}
}

// Held returns the tokens of the zone's own share that can still be spent:
// free ones and lent ones not reported spent. It never exceeds the zone's
// burst but while loans from before a shrinking last.
func (b *Bank) Held(workspace string, now time.Duration) float64 {
	a, ok := b.accounts[workspace]
	if !ok {
		return 0
	}
	a.advance(now)
	return a.free + a.lent
}
