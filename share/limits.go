package share

import "time"

// allocation is what a bundle allocates to one availability zone for a workspace.
type allocation struct {
	// rate and burst are those of the workspace over all zones.
	rate, burst float64
	// share is this zone's fraction of both.
	share float64
}

// limits are the zone's own rate and burst while allocations change. A smaller
// share is used immediately. A larger one is used after a delay, so that the
// shares in use at all zones never add up to more than 1.
type limits struct {
	allocation
	// formerShare is the share in use until growAt.
	formerShare float64
	growAt      time.Duration
}

// change applies a new allocation.
func (l *limits) change(next allocation, now time.Duration, delay time.Duration) {
	inUse := l.shareAt(now)
	l.allocation = next
	l.formerShare = inUse
	l.growAt = now + delay
}

// shareAt returns the share in use.
func (l *limits) shareAt(now time.Duration) float64 {
	if now < l.growAt {
		return min(l.formerShare, l.share)
	}
	return l.share
}

// rateAt returns the tokens per second that accrue here.
func (l *limits) rateAt(now time.Duration) float64 {
	return l.rate * l.shareAt(now)
}

// burstAt returns the maximum number of tokens that may be held or lent here.
func (l *limits) burstAt(now time.Duration) float64 {
	return l.burst * l.shareAt(now)
}
