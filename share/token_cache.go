package share

import (
	"slices"
	"time"

	"auburngap/bundle"
)

// Verdict is a wallet's decision on one request.
type Verdict uint8

// The verdicts.
const (
	// Refused means that the owner had no token a moment ago.
	Refused Verdict = iota
	// Taken means that a token is spent.
	Taken
	// Wait means that an answer may bring a token.
	Wait
)

// Decision is what Take returns.
type Decision struct {
	Verdict Verdict
	// Spend names the token that was taken.
	Spend Spend
	// Ask tells the caller to send a draw now.
	Ask bool
	// RetryAfter goes with Refused.
	RetryAfter time.Duration
}

// WalletConfig configures a Wallet.
type WalletConfig struct {
	// Zone is the node's availability zone.
	Zone string
	// Violated is told the name of an invariant that does not hold.
	Violated func(invariant string)
}

// Wallet holds the tokens that one node has borrowed. It is not safe for
// concurrent use.
type Wallet struct {
	zone   string
	zones  []string
	index  *bundle.Index
	purses map[string]*purse
	active []*purse
	lastID uint64
	// turn chooses among the other zones.
	turn     int
	violated func(invariant string)
}

// NewWallet returns a wallet without tokens.
func NewWallet(config WalletConfig) *Wallet {
	return &Wallet{
		zone: config.Zone, zones: []string{config.Zone},
		purses: make(map[string]*purse), violated: orIgnore(config.Violated),
	}
}

// Apply puts a bundle into force: it names the zones whose owners may lend
// and forgets workspaces that are gone.
func (w *Wallet) Apply(index *bundle.Index) {
	w.index = index
	w.zones = []string{w.zone}
	for i := range index.Bundle.Zones {
		if name := index.Bundle.Zones[i].Name; name != w.zone {
			w.zones = append(w.zones, name)
		}
	}
	for name, p := range w.purses {
		p.collectorZone = Collector(index, name)
		if _, ok := index.Workspace(name); !ok {
			delete(w.purses, name)
		}
	}
	w.active = slices.DeleteFunc(w.active, func(p *purse) bool { return w.purses[p.workspace] != p })
}

// Take decides about one request of a workspace.
func (w *Wallet) Take(workspace string, now time.Duration) Decision {
	p := w.purse(workspace)
	p.demand.add(1, now)
	return w.Retake(workspace, now)
}

// Retake decides again about a request that has waited.
func (w *Wallet) Retake(workspace string, now time.Duration) Decision {
	p := w.purse(workspace)
	p.lastTake = now
	if spend, ok := p.take(now); ok {
		return Decision{Verdict: Taken, Spend: spend, Ask: p.dueAhead(now)}
	}
	if p.waiting(now) {
		return Decision{Verdict: Wait}
	}
	if now < p.refusedUntil {
		return Decision{Verdict: Refused, RetryAfter: p.retryAfter}
	}
	return Decision{Verdict: Wait, Ask: true}
}

// Draw returns the message for the workspace's owner in the zone named by the
// draw; need counts the requests that wait, of which some may find a token here
// by now. Until it is answered or has timed
// out, no other is due.
func (w *Wallet) Draw(workspace string, need int, now time.Duration) Draw {
	p := w.purse(workspace)
	w.lastID++
	p.pending = w.lastID
	p.pendingZone, p.pendingCollect = w.lender(p, now)
	p.askedAt = now
	reports := p.reports(p.pendingZone, now)
	p.pendingNeed = max(0, float64(need)-p.left(now))
	return Draw{
		ID: w.lastID, Zone: p.pendingZone, Workspace: workspace,
		Need: p.pendingNeed, Want: p.want(now),
		Whole: true, Collect: p.pendingCollect, Borrower: w.zone, Reports: reports,
	}
}

// lender returns the zone to ask and whether its owner is to collect from the
// others: the node's own, then the collector where there is one, and others in
// turn while these give no answer.
func (w *Wallet) lender(p *purse, now time.Duration) (zone string, collect bool) {
	p.tried++
	elsewhere := w.collectsElsewhere(p, now)
	if p.tried == 1 && p.home.over(now) || len(w.zones) == 1 {
		return w.zone, !elsewhere
	}
	if elsewhere {
		return p.collectorZone, true
	}
	w.turn++
	return w.zones[1+w.turn%(len(w.zones)-1)], false
}

// collectsElsewhere tells whether another zone's owner, which is not known to
// be out of reach, collects the workspace's fractions.
func (w *Wallet) collectsElsewhere(p *purse, now time.Duration) bool {
	return p.collectorZone != "" && p.collectorZone != w.zone && p.collector.over(now)
}

// Answer takes in a grant and tells whether another owner is to be asked. A
// grant that answers no pending draw is ignored: its tokens lapse.
func (w *Wallet) Answer(workspace string, grant Grant, now time.Duration) bool {
	p := w.purse(workspace)
	if grant.ID == 0 || p.pending != grant.ID {
		return false
	}
	p.pending = 0
	p.hear(grant)
	p.add(grant, p.askedAt+grant.TTL)
	w.list(p)
	switch p.pendingZone {
	case w.zone:
		p.home.answered()
	case p.collectorZone:
		p.collector.answered()
	}
	if grant.Tokens >= p.pendingNeed {
		p.endRound()
		return false
	}
	// An owner that is starting may not have found those of other zones yet.
	if !p.pendingCollect || grant.Starting {
		return w.another(p, grant.RetryAfter, now)
	}
	p.endRound()
	p.refuse(grant.RetryAfter, now)
	return false
}

// Failed tells that a draw got no answer, and returns whether another owner
// is to be asked.
func (w *Wallet) Failed(workspace string, id uint64, now time.Duration) bool {
	p := w.purse(workspace)
	if p.pending != id {
		return false
	}
	p.pending = 0
	p.silence.begin(p.askedAt)
	if p.pendingZone == w.zone {
		p.home.failed(now)
	} else if p.pendingCollect {
		// The own zone's owner collects instead.
		p.collector.failed(now)
		p.endRound()
		return true
	}
	return w.another(p, firstBackoff, now)
}

// another tells whether an owner is left to ask for the requests that wait. Where
// none is, they are refused, or wait a little if none could say what is left.
func (w *Wallet) another(p *purse, retryAfter, now time.Duration) bool {
	if p.tried < len(w.zones) {
		return true
	}
	heard := p.heard
	p.endRound()
	if !heard && now-p.silence.since < silencePatience {
		p.restUntil = now + silencePause
		return true
	}
	p.refuse(retryAfter, now)
	return false
}

// endRound lets all owners be asked again.
func (p *purse) endRound() { p.tried, p.heard = 0, false }

// Rest returns how long to wait before the next draw of a workspace.
func (w *Wallet) Rest(workspace string, now time.Duration) time.Duration {
	return w.purse(workspace).restUntil - now
}

func (p *purse) refuse(retryAfter, now time.Duration) {
	p.retryAfter = max(retryAfter, time.Millisecond)
	p.refusedUntil = now + min(p.retryAfter, longestRefusal)
}

// GiveBack returns a token whose request ended without having run. False
// means that its loan is over or the spend has been reported, so that the
// token stays spent.
func (w *Wallet) GiveBack(workspace string, spend Spend, now time.Duration) bool {
	return w.purse(workspace).giveBack(spend, now)
}

// Reports returns draws that carry reports alone: what owners are to be told,
// with tokens that lie idle given back.
func (w *Wallet) Reports(now time.Duration) []Draw {
	var draws []Draw
	kept := w.active[:0]
	for _, p := range w.active {
		draws = w.appendReports(draws, p, now)
		p.listed = p.count > 0
		if p.listed {
			kept = append(kept, p)
		}
	}
	clear(w.active[len(kept):])
	w.active = kept
	return draws
}

// Close returns draws that give everything back.
func (w *Wallet) Close(now time.Duration) []Draw {
	for _, p := range w.active {
		p.lastTake = now - idleTime
	}
	return w.Reports(now)
}

func (w *Wallet) appendReports(draws []Draw, p *purse, now time.Duration) []Draw {
	for _, zone := range w.zones {
		reports := p.reports(zone, now)
		if len(reports) == 0 {
			continue
		}
		draws = append(draws, Draw{Zone: zone, Workspace: p.workspace, Whole: true, Borrower: w.zone, Reports: reports})
	}
	return draws
}

func (w *Wallet) list(p *purse) {
	if p.listed || p.count == 0 {
		return
	}
	p.listed = true
	w.active = append(w.active, p)
}

// Active tells whether owners are to be told anything sooner or later.
func (w *Wallet) Active() bool {
	return len(w.active) > 0
}

// Left returns a workspace's tokens that can still be spent here.
func (w *Wallet) Left(workspace string, now time.Duration) float64 {
	return w.purse(workspace).left(now)
}

func (w *Wallet) purse(workspace string) *purse {
	p, ok := w.purses[workspace]
	if !ok {
		p = &purse{workspace: workspace, collectorZone: Collector(w.index, workspace), violated: w.violated}
		w.purses[workspace] = p
	}
	return p
}
