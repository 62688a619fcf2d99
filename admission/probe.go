package admission

import "time"

const (
	// probeCut is the fraction by which a probe lowers the limit.
	probeCut = 0.25
	// Each of a probe's two windows has at least probeSamples calls and probeRounds
	// times the limit, unless it takes maxProbeWindow: a few calls are not enough to
	// distinguish queueing from chance.
	probeSamples   = 100
	probeRounds    = 2
	maxProbeWindow = 4 * time.Second
	// probeAfter is how long a limit must be fully used without a break before it is
	// probed, if it is above all limits that have passed a probe.
	probeAfter = 2 * time.Second
)

// probe is the state of a limit's probes: a probe lowers the limit for a time and compares
// the latency before and after.
type probe struct {
	phase probePhase
	// passed is the highest limit at which calls were found not to queue inside the
	// server. A higher limit is probed from dueAt on.
	passed float64
	dueAt  time.Time
	// fastAt is the end of the last window that was not slow.
	fastAt time.Time
	// limit, mean and hasShrunk are the limit's values before the probe.
	limit     float64
	mean      time.Duration
	hasShrunk bool
	// crowded is set if the limit had no place for some calls even before the probe,
	// or if calls were being shed at the entry nodes.
	crowded bool
}

// probePhase is the phase of a running probe.
type probePhase uint8

const (
	noProbe probePhase = iota
	// beforeCut measures the latency under the current limit.
	beforeCut
	// afterCut measures the latency under the lowered limit.
	afterCut
)

// compareWithSpare makes a probe unnecessary if the limit is fully used and calls take no
// longer than they did with spare capacity: such a limit counts as passed.
func (l *concurrencyLimit) compareWithSpare(meanRunning float64) {
	switch {
	case !l.saturated && meanRunning <= spareUsage*l.current:
		l.spareMean = l.mean
	case l.saturated && float64(l.spareMean) >= (1+spareUsage)/2*float64(l.mean):
		l.probe.passed = max(l.probe.passed, l.current)
	}
}

// isProbeDue reports whether a fully used limit should be probed.
func (l *concurrencyLimit) isProbeDue(now time.Time) bool {
	if l.probe.dueAt.IsZero() {
		l.probe.dueAt = now.Add(probeAfter)
	}
	if l.current <= l.probe.passed {
		return now.Sub(l.probe.fastAt) >= l.reprobeAfter
	}
	return l.isSlow() || !now.Before(l.probe.dueAt)
}

// startProbeCut lowers the limit for a probe, unless the limit is no longer fully used.
func (l *concurrencyLimit) startProbeCut(use usage) {
	l.probe.phase = noProbe
	if !l.saturated {
		return
	}
	l.probe.phase, l.probe.limit, l.probe.mean = afterCut, l.current, l.mean
	l.probe.hasShrunk, l.probe.crowded = l.hasShrunk, l.crowded || use.shedding
	l.shrink(probeCut)
}

// handleOverflow records that there is no place for a call. If the only reason is a limit
// that a probe has lowered, it ends the probe, restores the limit and returns true.
func (l *concurrencyLimit) handleOverflow(now time.Time) bool {
	l.crowded = true
	if l.probe.phase != afterCut || l.probe.crowded {
		return false
	}
	l.probe.phase = noProbe
	l.hasShrunk = l.probe.hasShrunk
	l.restoreLimit()
	l.changedAt, l.window = now, window{}
	return true
}

// endProbe keeps the lowered limit if latency has fallen with it.
func (l *concurrencyLimit) endProbe() {
	l.probe.phase = noProbe
	if l.saturated && float64(l.mean) < (1-probeCut/2)*float64(l.probe.mean) {
		l.baseline = min(l.baseline, l.mean)
		l.probe.passed = 0
		return
	}
	l.baseline = l.mean
	l.hasShrunk = false
	l.restoreLimit()
}

// restoreLimit sets the limit from before a probe again and counts it as passed.
func (l *concurrencyLimit) restoreLimit() {
	l.current = min(l.probe.limit, l.ceiling)
	l.probe.passed = l.current
}
