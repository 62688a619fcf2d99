package share

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"auburngap/bundle"
)

// failureBackoff is how long a zone that did not answer is not asked again.
const failureBackoff = 500 * time.Millisecond

// peerState is what a lender knows of another zone's lender for one workspace.
type peerState struct {
	// free is the number of tokens that it had at its last answer.
	free       float64
	answeredAt time.Duration
	// known is false until the first answer.
	known bool
	// pending is the ID of the pending draw, zero if there is none.
	pending uint64
	askedAt time.Duration
	// blockedUntil is the time before which a zone that did not answer is not asked.
	blockedUntil time.Duration
}

// BorrowDraws returns the draws from lenders of other zones that this one needs in
// order to lend need whole tokens. If the estimates allow less, it draws for as
// many whole tokens as they allow, or returns none.
func (l *Lender) BorrowDraws(workspace string, need float64, now time.Duration) []Draw {
	a, ok := l.accounts[workspace]
	if !ok {
		return nil
	}
	a.advance(now)
	estimates := l.estimates(a, workspace, now)
	missing := whole(min(need, a.reachable(estimates, now))) - a.available(now)
	return l.splitDraws(a, workspace, estimates, missing, now)
}

// reachable returns the tokens that could be lent to nodes after borrowing from
// other zones.
func (a *account) reachable(estimates map[string]float64, now time.Duration) float64 {
	sum := a.available(now)
	for _, zone := range slices.Sorted(maps.Keys(estimates)) {
		sum += estimates[zone]
	}
	return sum
}

// AccrualWait estimates the time until need tokens are reachable.
func (l *Lender) AccrualWait(workspace string, need float64, now time.Duration) time.Duration {
	a, ok := l.accounts[workspace]
	if !ok || a.limits.rate <= 0 {
		return never
	}
	a.advance(now)
	missing := need - a.reachable(l.estimates(a, workspace, now), now)
	seconds := min(missing/a.limits.rate, time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// splitDraws draws from as few zones as possible, those with the highest estimates first.
func (l *Lender) splitDraws(a *account, workspace string, estimates map[string]float64, missing float64, now time.Duration) []Draw {
	zones := slices.Sorted(maps.Keys(estimates))
	slices.SortStableFunc(zones, func(x, y string) int { return cmp.Compare(estimates[y], estimates[x]) })
	var draws []Draw
	for _, zone := range zones {
		amount := min(missing, estimates[zone])
		if amount <= 0 {
			break
		}
		missing -= amount
		l.sequence++
		p := a.peerState(zone)
		p.pending = l.sequence
		p.askedAt = now
		draws = append(draws, Draw{
			ID: l.sequence, LenderZone: zone, BorrowerZone: l.config.Zone, Workspace: workspace,
			Need: amount, Reports: a.batchReports(zone, now),
		})
	}
	return draws
}

// estimates returns the estimated free tokens of the other zones' lenders.
func (l *Lender) estimates(a *account, workspace string, now time.Duration) map[string]float64 {
	estimates := make(map[string]float64)
	w, ok := l.index.Workspace(workspace)
	if !ok {
		return estimates
	}
	for i := range l.index.Bundle.Zones {
		zone := l.index.Bundle.Zones[i].Name
		p := a.peerState(zone)
		if zone == l.config.Zone || p.isUnavailable(l.config.Terms, now) {
			continue
		}
		estimates[zone] = l.estimate(w, zone, p, now)
	}
	return estimates
}

func (l *Lender) estimate(w *bundle.Workspace, zone string, p *peerState, now time.Duration) float64 {
	part := l.index.ZoneShare(w, zone)
	if !p.known {
		return w.Burst * part
	}
	return min(w.Burst*part, p.free+w.Rate*part*(now-p.answeredAt).Seconds())
}

// HandleGrant applies the grant of another zone's lender. askedAt is the reading of
// the clock before the draw was sent. A grant without a matching pending draw is
// ignored.
func (l *Lender) HandleGrant(workspace, zone string, grant Grant, askedAt, now time.Duration) {
	a, ok := l.accounts[workspace]
	if !ok {
		return
	}
	a.advance(now)
	p := a.peerState(zone)
	if p.pending != grant.ID || grant.ID == 0 {
		return
	}
	*p = peerState{free: grant.Free, answeredAt: now, known: true}
	a.addBatch(zone, grant, askedAt, now)
}

// DrawFailed drops a draw that got no answer. The zone is not asked again for a while.
func (l *Lender) DrawFailed(workspace, zone string, id uint64, now time.Duration) {
	a, ok := l.accounts[workspace]
	if !ok {
		return
	}
	if p := a.peerState(zone); p.pending == id {
		*p = peerState{answeredAt: now, known: true, blockedUntil: now + failureBackoff}
	}
}

func (p *peerState) isUnavailable(terms Terms, now time.Duration) bool {
	if now < p.blockedUntil {
		return true
	}
	return p.pending != 0 && now-p.askedAt < terms.LoanTTL
}

// ReportDraws returns draws that carry only reports, on loans that this lender has
// from lenders of other zones.
func (l *Lender) ReportDraws(now time.Duration) []Draw {
	var draws []Draw
	for _, workspace := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[workspace]
		if len(a.batches) > 0 {
			a.advance(now)
			draws = l.appendReportDraws(draws, workspace, a, now)
		}
	}
	return draws
}

// HasBorrowed reports whether the lender has loans from lenders of other zones.
func (l *Lender) HasBorrowed() bool {
	for _, a := range l.accounts {
		if len(a.batches) > 0 {
			return true
		}
	}
	return false
}

func (l *Lender) appendReportDraws(draws []Draw, workspace string, a *account, now time.Duration) []Draw {
	for i := range l.index.Bundle.Zones {
		zone := l.index.Bundle.Zones[i].Name
		reports := a.batchReports(zone, now)
		if len(reports) == 0 {
			continue
		}
		draws = append(draws, Draw{LenderZone: zone, BorrowerZone: l.config.Zone, Workspace: workspace, Reports: reports})
	}
	return draws
}

// ExpectedDemand returns the tokens that the zone's nodes are expected to draw within
// the time ahead.
func (l *Lender) ExpectedDemand(workspace string, ahead, now time.Duration) float64 {
	a, ok := l.accounts[workspace]
	if !ok {
		return 0
	}
	return a.demand.rate(now) * ahead.Seconds()
}

// Available returns the tokens that can be lent to nodes of the zone now.
func (l *Lender) Available(workspace string, now time.Duration) float64 {
	a, ok := l.accounts[workspace]
	if !ok {
		return 0
	}
	a.advance(now)
	return a.available(now)
}

func (a *account) peerState(zone string) *peerState {
	return getOrCreate(a.peers, zone)
}

// getOrCreate returns the value of a key, which it creates if there is none.
func getOrCreate[V any](values map[string]*V, key string) *V {
	v, ok := values[key]
	if !ok {
		v = new(V)
		values[key] = v
	}
	return v
}
