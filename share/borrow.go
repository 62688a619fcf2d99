package share

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"auburngap/bundle"
)

// failureBackoff is how long a zone that gave no answer is not asked.
const failureBackoff = 500 * time.Millisecond

// peer is what a bank knows of another zone's bank for one workspace.
type peer struct {
	// free is what the lender held at the time of its last answer.
	free float64
	at   time.Duration
	// known is false until the first answer.
	known bool
	// pending is the draw under way, zero where there is none.
	pending uint64
	asked   time.Duration
	// blocked is the time before which a zone that did not answer is left alone.
	blocked time.Duration
}

// Shortage returns the draws from banks of other zones that would let this
// one lend need whole tokens. It returns none where the others are not
// believed to have enough for a single one.
func (b *Bank) Shortage(workspace string, need float64, now time.Duration) []Draw {
	a, ok := b.accounts[workspace]
	if !ok {
		return nil
	}
	a.advance(now)
	estimates := b.estimates(a, workspace, now)
	missing := whole(min(need, a.reachable(estimates, now))) - a.available(now)
	return b.split(a, workspace, estimates, missing, now)
}

// reachable returns the tokens that nodes could be lent once those of other
// zones are borrowed.
func (a *account) reachable(estimates map[string]float64, now time.Duration) float64 {
	sum := a.available(now)
	for _, zone := range slices.Sorted(maps.Keys(estimates)) {
		sum += estimates[zone]
	}
	return sum
}

// Accrual estimates how long it takes until need tokens are within reach.
func (b *Bank) Accrual(workspace string, need float64, now time.Duration) time.Duration {
	a, ok := b.accounts[workspace]
	if !ok || a.limits.rate <= 0 {
		return never
	}
	a.advance(now)
	missing := need - a.reachable(b.estimates(a, workspace, now), now)
	seconds := min(missing/a.limits.rate, time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// split asks as few zones as it takes, those believed to hold most first.
func (b *Bank) split(a *account, workspace string, estimates map[string]float64, missing float64, now time.Duration) []Draw {
	zones := slices.Sorted(maps.Keys(estimates))
	slices.SortStableFunc(zones, func(x, y string) int { return cmp.Compare(estimates[y], estimates[x]) })
	var draws []Draw
	for _, zone := range zones {
		amount := min(missing, estimates[zone])
		if amount <= 0 {
			break
		}
		missing -= amount
		b.sequence++
		p := a.peer(zone)
		p.pending = b.sequence
		p.asked = now
		draws = append(draws, Draw{
			ID: b.sequence, Zone: zone, Borrower: b.config.Zone, Workspace: workspace,
			Need: amount, Reports: a.lotReports(zone, now),
		})
	}
	return draws
}

// estimates returns what the other zones' banks are believed to have free.
func (b *Bank) estimates(a *account, workspace string, now time.Duration) map[string]float64 {
	estimates := make(map[string]float64)
	w, ok := b.index.Workspace(workspace)
	if !ok {
		return estimates
	}
	for i := range b.index.Bundle.Zones {
		zone := b.index.Bundle.Zones[i].Name
		p := a.peer(zone)
		if zone == b.config.Zone || p.busy(b.config.Terms, now) {
			continue
		}
		estimates[zone] = b.estimate(w, zone, p, now)
	}
	return estimates
}

func (b *Bank) estimate(w *bundle.Workspace, zone string, p *peer, now time.Duration) float64 {
	part := b.index.ZoneShare(w, zone)
	if !p.known {
		return w.Burst * part
	}
	return min(w.Burst*part, p.free+w.Rate*part*(now-p.at).Seconds())
}

// Deposit takes in the grant of another zone's bank; askedAt is the clock's
// reading before the draw was sent. A grant that answers no pending draw is
// ignored.
func (b *Bank) Deposit(workspace, zone string, grant Grant, askedAt, now time.Duration) {
	a, ok := b.accounts[workspace]
	if !ok {
		return
	}
	a.advance(now)
	p := a.peer(zone)
	if p.pending != grant.ID || grant.ID == 0 {
		return
	}
	*p = peer{free: grant.Free, at: now, known: true}
	a.deposit(zone, grant, askedAt, now)
}

// Failed forgets a draw that got no answer. The zone is left alone for a while.
func (b *Bank) Failed(workspace, zone string, id uint64, now time.Duration) {
	a, ok := b.accounts[workspace]
	if !ok {
		return
	}
	if p := a.peer(zone); p.pending == id {
		*p = peer{at: now, known: true, blocked: now + failureBackoff}
	}
}

func (p *peer) busy(terms Terms, now time.Duration) bool {
	if now < p.blocked {
		return true
	}
	return p.pending != 0 && now-p.asked < terms.LoanTTL
}

// Returns gives draws that carry reports alone, on loans that this bank holds
// from banks of other zones.
func (b *Bank) Returns(now time.Duration) []Draw {
	var draws []Draw
	for _, workspace := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[workspace]
		if len(a.lots) > 0 {
			a.advance(now)
			draws = b.appendReturns(draws, workspace, a, now)
		}
	}
	return draws
}

// Borrowed tells whether the bank holds anything from banks of other zones.
func (b *Bank) Borrowed() bool {
	for _, a := range b.accounts {
		if len(a.lots) > 0 {
			return true
		}
	}
	return false
}

func (b *Bank) appendReturns(draws []Draw, workspace string, a *account, now time.Duration) []Draw {
	for i := range b.index.Bundle.Zones {
		zone := b.index.Bundle.Zones[i].Name
		reports := a.lotReports(zone, now)
		if len(reports) == 0 {
			continue
		}
		draws = append(draws, Draw{Zone: zone, Borrower: b.config.Zone, Workspace: workspace, Reports: reports})
	}
	return draws
}

// Lookahead returns the tokens that the zone's nodes are likely to draw in a
// time.
func (b *Bank) Lookahead(workspace string, ahead, now time.Duration) float64 {
	a, ok := b.accounts[workspace]
	if !ok {
		return 0
	}
	return a.demand.rate(now) * ahead.Seconds()
}

// Available returns the tokens that nodes of the zone could be lent now.
func (b *Bank) Available(workspace string, now time.Duration) float64 {
	a, ok := b.accounts[workspace]
	if !ok {
		return 0
	}
	a.advance(now)
	return a.available(now)
}

func (a *account) peer(zone string) *peer {
	return valueOf(a.peers, zone)
}

// valueOf returns the value of a key, which it makes where there is none.
func valueOf[V any](values map[string]*V, key string) *V {
	v, ok := values[key]
	if !ok {
		v = new(V)
		values[key] = v
	}
	return v
}
