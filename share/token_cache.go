package share

import (
	"slices"
	"time"

	"auburngap/bundle"
)

// Verdict is the result of a decision on one request.
type Verdict uint8

// The verdicts.
const (
	// Refused means that the owners had no token a moment ago.
	Refused Verdict = iota
	// Taken means that a token was spent.
	Taken
	// Wait means that a pending answer or the next one may bring a token.
	Wait
)

// Decision is the result of Take.
type Decision struct {
	Verdict Verdict
	// Spend identifies the token that was spent.
	Spend Spend
	// SendDraw is true if the caller must send a draw now.
	SendDraw bool
	// RetryAfter is set with Refused.
	RetryAfter time.Duration
}

// TokenCacheConfig configures a TokenCache.
type TokenCacheConfig struct {
	// Zone is the node's availability zone.
	Zone string
	// OnViolation is called with the name of an invariant that does not hold.
	OnViolation func(invariant string)
}

// TokenCache holds the tokens that one node has borrowed. It is not safe for
// concurrent use.
type TokenCache struct {
	zone     string
	zones    []string
	index    *bundle.Index
	balances map[string]*balance
	active   []*balance
	lastID   uint64
	// rotation rotates through the other zones.
	rotation    int
	onViolation func(invariant string)
}

// NewTokenCache returns a token cache without tokens.
func NewTokenCache(config TokenCacheConfig) *TokenCache {
	return &TokenCache{
		zone: config.Zone, zones: []string{config.Zone},
		balances: make(map[string]*balance), onViolation: orIgnore(config.OnViolation),
	}
}

// Apply applies a bundle: it updates the zones whose owners may lend and removes
// workspaces that are no longer in the bundle.
func (c *TokenCache) Apply(index *bundle.Index) {
	c.index = index
	c.zones = []string{c.zone}
	for i := range index.Bundle.Zones {
		if name := index.Bundle.Zones[i].Name; name != c.zone {
			c.zones = append(c.zones, name)
		}
	}
	for name, b := range c.balances {
		b.collectorZone = CollectorZone(index, name)
		if _, ok := index.Workspace(name); !ok {
			delete(c.balances, name)
		}
	}
	c.active = slices.DeleteFunc(c.active, func(b *balance) bool { return c.balances[b.workspace] != b })
}

// Take decides on one request of a workspace.
func (c *TokenCache) Take(workspace string, now time.Duration) Decision {
	b := c.balance(workspace)
	b.demand.add(1, now)
	return c.Retake(workspace, now)
}

// Retake decides again on a request that has waited.
func (c *TokenCache) Retake(workspace string, now time.Duration) Decision {
	b := c.balance(workspace)
	b.lastTake = now
	if spend, ok := b.take(now); ok {
		return Decision{Verdict: Taken, Spend: spend, SendDraw: b.needsRefill(now)}
	}
	if b.waiting(now) {
		return Decision{Verdict: Wait}
	}
	if now < b.refusedUntil {
		return Decision{Verdict: Refused, RetryAfter: b.retryAfter}
	}
	return Decision{Verdict: Wait, SendDraw: true}
}

// Draw returns the message to the workspace's owner in the zone that the draw
// names. need is the number of waiting requests, some of which may find a token
// here already. No other draw is due until this one is answered or timed out.
func (c *TokenCache) Draw(workspace string, need int, now time.Duration) Draw {
	b := c.balance(workspace)
	c.lastID++
	b.pending = c.lastID
	b.pendingZone, b.pendingCollect = c.chooseLender(b, now)
	b.askedAt = now
	reports := b.reports(b.pendingZone, now)
	b.pendingNeed = max(0, float64(need)-b.unspent(now))
	return Draw{
		ID: c.lastID, LenderZone: b.pendingZone, Workspace: workspace,
		Need: b.pendingNeed, Want: b.refillSize(now),
		Whole: true, Collect: b.pendingCollect, BorrowerZone: c.zone, Reports: reports,
	}
}

// chooseLender returns the zone to ask, and whether its owner has to collect
// tokens from the other zones. The order is the node's zone, then the collector
// if there is one. While these do not answer, the other zones are asked in turn, and
// the node's zone again after each of them that does not answer either.
func (c *TokenCache) chooseLender(b *balance, now time.Duration) (zone string, collect bool) {
	elsewhere := c.hasRemoteCollector(b, now)
	if b.retryLocal {
		b.retryLocal = false
		return c.zone, !elsewhere
	}
	b.lendersTried++
	if b.lendersTried == 1 && b.localBackoff.elapsed(now) || len(c.zones) == 1 {
		return c.zone, !elsewhere
	}
	if elsewhere {
		return b.collectorZone, true
	}
	c.rotation++
	return c.zones[1+c.rotation%(len(c.zones)-1)], false
}

// hasRemoteCollector reports whether the collector of the workspace's fractions
// is in another zone and may be asked.
func (c *TokenCache) hasRemoteCollector(b *balance, now time.Duration) bool {
	return b.collectorZone != "" && b.collectorZone != c.zone && b.collectorBackoff.elapsed(now)
}

// HandleGrant applies a grant and reports whether another owner has to be asked. A
// grant without a matching pending draw is ignored and its tokens expire.
func (c *TokenCache) HandleGrant(workspace string, grant Grant, now time.Duration) bool {
	b := c.balance(workspace)
	if grant.ID == 0 || b.pending != grant.ID {
		return false
	}
	b.pending = 0
	b.noteAnswer(grant)
	b.addLoan(grant, b.askedAt+grant.TTL)
	c.activate(b)
	switch b.pendingZone {
	case c.zone:
		b.localBackoff.reset()
	case b.collectorZone:
		b.collectorBackoff.reset()
	}
	if grant.Tokens >= b.pendingNeed {
		b.endRound()
		return false
	}
	// An owner that is starting may not be connected to those of other zones yet.
	if !b.pendingCollect || grant.Starting {
		return c.tryNext(b, grant.RetryAfter, now)
	}
	b.endRound()
	b.refuse(grant.RetryAfter, now)
	return false
}

// DrawFailed records that a draw got no answer, and reports whether another owner has
// to be asked.
func (c *TokenCache) DrawFailed(workspace string, id uint64, now time.Duration) bool {
	b := c.balance(workspace)
	if b.pending != id {
		return false
	}
	b.pending = 0
	b.unresponsive.begin(b.askedAt)
	switch {
	case b.pendingZone == c.zone:
		b.localBackoff.increase(now)
	case b.pendingCollect:
		// The owner in the node's zone collects instead.
		b.collectorBackoff.increase(now)
		b.endRound()
		return true
	default:
		b.retryLocal = !b.answered
	}
	return c.tryNext(b, firstBackoff, now)
}

// tryNext reports whether owners have to be asked again for the waiting requests.
// If all were asked, the requests are refused. If none of them could say how many
// tokens it has left, the requests wait up to unresponsiveTimeout first.
func (c *TokenCache) tryNext(b *balance, retryAfter, now time.Duration) bool {
	if b.lendersTried < len(c.zones) {
		return true
	}
	answered := b.answered
	b.endRound()
	if !answered && now-b.unresponsive.since < unresponsiveTimeout {
		b.retryAt = now + unresponsiveRetry
		return true
	}
	b.refuse(retryAfter, now)
	return false
}

// endRound allows all owners to be asked again.
func (b *balance) endRound() { b.lendersTried, b.answered = 0, false }

// RetryDelay returns how long to wait before a workspace's next draw.
func (c *TokenCache) RetryDelay(workspace string, now time.Duration) time.Duration {
	return c.balance(workspace).retryAt - now
}

func (b *balance) refuse(retryAfter, now time.Duration) {
	b.retryAfter = max(retryAfter, time.Millisecond)
	b.refusedUntil = now + min(b.retryAfter, maxRefusal)
}

// GiveBack returns the token of a request that ended without having run. It
// returns false if the loan is over or the spend has been reported, so that the
// token stays spent.
func (c *TokenCache) GiveBack(workspace string, spend Spend, now time.Duration) bool {
	return c.balance(workspace).giveBack(spend, now)
}

// ReportDraws returns draws that carry only reports to owners. Idle tokens are given
// back.
func (c *TokenCache) ReportDraws(now time.Duration) []Draw {
	var draws []Draw
	kept := c.active[:0]
	for _, b := range c.active {
		draws = c.appendReportDraws(draws, b, now)
		b.isActive = b.count > 0
		if b.isActive {
			kept = append(kept, b)
		}
	}
	clear(c.active[len(kept):])
	c.active = kept
	return draws
}

// Close returns draws that give all tokens back.
func (c *TokenCache) Close(now time.Duration) []Draw {
	for _, b := range c.active {
		b.lastTake = now - idleTime
	}
	return c.ReportDraws(now)
}

func (c *TokenCache) appendReportDraws(draws []Draw, b *balance, now time.Duration) []Draw {
	for _, zone := range c.zones {
		reports := b.reports(zone, now)
		if len(reports) == 0 {
			continue
		}
		draws = append(draws, Draw{LenderZone: zone, Workspace: b.workspace, Whole: true, BorrowerZone: c.zone, Reports: reports})
	}
	return draws
}

func (c *TokenCache) activate(b *balance) {
	if b.isActive || b.count == 0 {
		return
	}
	b.isActive = true
	c.active = append(c.active, b)
}

// HasLoans reports whether any loans are held, on which owners get reports.
func (c *TokenCache) HasLoans() bool {
	return len(c.active) > 0
}

// Unspent returns a workspace's tokens that can still be spent here.
func (c *TokenCache) Unspent(workspace string, now time.Duration) float64 {
	return c.balance(workspace).unspent(now)
}

func (c *TokenCache) balance(workspace string) *balance {
	b, ok := c.balances[workspace]
	if !ok {
		b = &balance{workspace: workspace, collectorZone: CollectorZone(c.index, workspace), onViolation: c.onViolation}
		c.balances[workspace] = b
	}
	return b
}
