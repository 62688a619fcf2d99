package share

import "time"

// plan is what the bundle in force gives one availability zone of a workspace.
type plan struct {
	// rate and burst are those of the workspace over all zones.
	rate, burst float64
	// share is this zone's part of both.
	share float64
}

// limits are the zone's own rate and burst while plans change. A share that
// shrinks does so at once; one that grows waits, so that the shares in force
// at different zones do not add up to more than 1.
type limits struct {
	plan
	// former is the share in use until growAt.
	former float64
	growAt time.Duration
}

// change puts a new plan into force.
func (l *limits) change(next plan, now time.Duration, delay time.Duration) {
	inUse := l.shareAt(now)
	l.plan = next
	l.former = inUse
	l.growAt = now + delay
}

// shareAt returns the share in use.
func (l *limits) shareAt(now time.Duration) float64 {
	if now < l.growAt {
		return min(l.former, l.share)
	}
	return l.share
}

// rateAt returns tokens a second that accrue here.
func (l *limits) rateAt(now time.Duration) float64 {
	return l.rate * l.shareAt(now)
}

// burstAt returns the most tokens that may be held or lent here.
func (l *limits) burstAt(now time.Duration) float64 {
	return l.burst * l.shareAt(now)
}
