package admission

import "time"

const (
	// minWindow and maxWindow bound the time over which latency is averaged.
	minWindow = 100 * time.Millisecond
	maxWindow = time.Second
	// windowSamples is the number of calls that ends a window early at busy servers.
	windowSamples = 50
	// latencyTolerance is the ratio of latency to baseline above which a server is slow.
	latencyTolerance = 1.5
	// spareUsage is the fraction of the limit in use up to which there is spare capacity.
	spareUsage = 0.75
	// settlingCalls is the time after a change of the limit, as a multiple of the mean
	// latency, in which calls are ignored: those that end by then are the short ones.
	settlingCalls = 2
	// growthFraction is the fraction by which a limit grows in one window if at least half
	// of it is in use, and initialGrowthFraction that before the first sign of overload.
	growthFraction, initialGrowthFraction = 0.1, 0.5
	// refusalTolerance is the fraction of calls that a server may refuse before the limit
	// is lowered.
	refusalTolerance = 0.01
	// minRefusalCut is the smallest fraction by which refusals lower the limit.
	minRefusalCut = 0.1
	// baselineWeight is the weight of a window in the baseline if its latency is above
	// the baseline, but within latencyTolerance.
	baselineWeight = 0.02
)

// concurrencyLimit adapts the number of concurrent calls at one backend server. If
// latency rises while the limit is fully used, a probe lowers the limit for a time.
// If latency falls with it, the calls were queueing inside the server and the limit
// stays low; if not, the server itself is slower and needs all of its slots. A new
// limit has to pass a probe too, since its server may have been queueing from the
// start, unless its calls take no longer than they did with spare capacity.
type concurrencyLimit struct {
	// current is the limit, between floor and ceiling.
	current, floor, ceiling float64
	// reprobeAfter is Config.ReprobeAfter. Servers get slower more often than they lose
	// slots, and a probe costs most during an overload.
	reprobeAfter time.Duration
	// baseline is the mean latency of the server when no calls queue in it.
	baseline time.Duration
	// mean is the mean latency of the last window.
	mean time.Duration
	// spareMean is the mean latency of the last window with spare capacity.
	spareMean time.Duration

	// changedAt is when the limit last changed.
	changedAt time.Time
	// hasShrunk is set when the limit has been lowered. It is reset when a probe shows
	// that this was not necessary.
	hasShrunk bool

	probe probe
	window
}

// usage is the recent use of a server.
type usage struct {
	// meanRunning is the mean number of running calls.
	meanRunning float64
	// slotTime is the time for which calls have held slots, in slot seconds since the
	// limiter was created.
	slotTime float64
	// shedding is set while entry nodes are asked to shed requests.
	shedding bool
}

type window struct {
	start time.Time
	// slotTimeBefore is usage.slotTime at the start.
	slotTimeBefore   float64
	samples, refused int
	sum              time.Duration
	// saturated is set once as many calls as the limit ran.
	saturated bool
	// crowded is set once the limit and the queue had no place for a call.
	crowded bool
}

func (l *concurrencyLimit) value() int {
	return int(l.current)
}

func (l *concurrencyLimit) setCeiling(ceiling float64) {
	l.ceiling = max(ceiling, l.floor)
	l.current = min(l.current, l.ceiling)
}

// observe records one finished call that started at the given time, and the recent
// use of the server. Calls that started under an earlier limit are ignored: they say
// nothing about the current one.
func (l *concurrencyLimit) observe(now, started time.Time, result Result, use usage) {
	if started.Before(l.changedAt) || now.Sub(l.changedAt) < settlingCalls*l.mean {
		return
	}
	if l.start.IsZero() {
		l.start, l.slotTimeBefore = now, use.slotTime
	}
	switch result.Kind {
	case Succeeded:
		l.samples++
		l.sum += result.Own
	case Refused:
		l.refused++
	case Failed:
	}
	if !l.isWindowComplete(now.Sub(l.start)) {
		return
	}
	before := l.current
	l.endWindow(now, use)
	if l.current != before {
		l.changedAt = now
	}
	l.window = window{start: now, slotTimeBefore: use.slotTime}
}

// isWindowComplete reports whether the window is long enough for a decision.
func (l *concurrencyLimit) isWindowComplete(age time.Duration) bool {
	samples, maxAge := windowSamples, maxWindow
	if l.probe.phase != noProbe && l.refused == 0 {
		samples, maxAge = max(probeSamples, probeRounds*l.value()), maxProbeWindow
	}
	return age >= minWindow && (l.samples >= samples || age >= maxAge)
}

func (l *concurrencyLimit) endWindow(now time.Time, use usage) {
	if l.refusedFraction() > refusalTolerance {
		l.probe.phase = noProbe
		l.shrink(max(minRefusalCut, l.refusedFraction()/2))
		return
	}
	if l.samples == 0 {
		return
	}
	l.mean = l.sum / time.Duration(l.samples)
	l.compareWithSpare(use.meanRunning)
	if !l.isSlow() {
		l.probe.fastAt = now
	}
	if !l.saturated {
		l.probe.dueAt = now.Add(probeAfter)
	}
	switch {
	case l.probe.phase == afterCut:
		l.endProbe()
	case l.probe.phase == beforeCut:
		l.startProbeCut(use)
	case l.isFullyUsed(now, use) && l.isProbeDue(now):
		l.probe.phase = beforeCut
	default:
		l.adjustBaseline()
		l.grow(use.meanRunning)
	}
}

func (l *concurrencyLimit) refusedFraction() float64 {
	if l.refused == 0 {
		return 0
	}
	return float64(l.refused) / float64(l.refused+l.samples)
}

// isSlow reports whether latency is well above that without queueing.
func (l *concurrencyLimit) isSlow() bool {
	return l.baseline > 0 && float64(l.mean) > latencyTolerance*float64(l.baseline)
}

// isFullyUsed reports whether the limit was reached in this window, and not only for
// moments: calls that come in bursts reach it while there is spare capacity.
func (l *concurrencyLimit) isFullyUsed(now time.Time, use usage) bool {
	meanRunning := (use.slotTime - l.slotTimeBefore) / now.Sub(l.start).Seconds()
	return l.saturated && meanRunning > spareUsage*l.current
}

func (l *concurrencyLimit) adjustBaseline() {
	if l.baseline == 0 || l.mean < l.baseline {
		l.baseline = l.mean
		return
	}
	if l.isSlow() {
		return
	}
	l.baseline += time.Duration(baselineWeight * float64(l.mean-l.baseline))
}

// grow raises the limit if at least half of it is in use.
func (l *concurrencyLimit) grow(meanRunning float64) {
	if meanRunning < l.current/2 {
		return
	}
	fraction := initialGrowthFraction
	if l.hasShrunk {
		fraction = growthFraction
	}
	l.current = min(l.ceiling, l.current+max(1, fraction*l.current))
}

func (l *concurrencyLimit) shrink(fraction float64) {
	l.hasShrunk = true
	l.current = max(l.floor, l.current*(1-fraction))
}
