package admission

import "time"

const (
	// windowMin and windowMax bound the time over which latency is averaged.
	windowMin = 100 * time.Millisecond
	windowMax = time.Second
	// windowSamples ends a window early enough at busy servers.
	windowSamples = 200
	// latencyTolerance is the rise over the baseline that starts a trial.
	latencyTolerance = 1.5
	// trialCut is the part of the limit that a trial takes away.
	trialCut = 0.25
	// trialAfter is the unbroken time in use after which a limit that has not
	// stood a trial yet gets one.
	trialAfter = 2 * time.Second
	// growth is the part by which a limit that is in use grows in one window;
	// startGrowth is that before the first sign of overload.
	growth, startGrowth = 0.1, 0.5
	// refusalTolerance is the part of calls that a server may refuse unanswered.
	refusalTolerance = 0.01
	// refusalCut is the part of the limit that refusals take away at least.
	refusalCut = 0.1
	// baselineDrift moves the baseline towards slower windows that were no trial.
	baselineDrift = 0.02
)

// concurrencyLimit adapts the number of calls at one backend server. Latency
// that rises with the limit in use starts a trial: if latency falls with a
// lower limit the calls were queueing inside the server and the limit stays
// down; if not, the server itself is slower and needs all of its slots. A new
// limit has to stand a trial too, since its server may have been queueing from
// the start.
type concurrencyLimit struct {
	// current is the limit, between floor and ceiling.
	current, floor, ceiling float64
	// baseline is the mean latency of the server when it does not queue.
	baseline time.Duration
	// mean is the latency of the last window.
	mean time.Duration

	// changed is when the limit last changed.
	changed time.Time
	// settled is true once the limit has had to shrink.
	settled bool

	trial trial
	window
}

type trial struct {
	active bool
	// stood is true once a trial has found no queueing; until then one is due.
	stood bool
	due   time.Time
	// limit and mean are those before the trial.
	limit float64
	mean  time.Duration
}

type window struct {
	start            time.Time
	samples, refused int
	sum              time.Duration
	// saturated is true once all of the limit was in use.
	saturated bool
}

func (l *concurrencyLimit) value() int {
	return int(l.current)
}

func (l *concurrencyLimit) setCeiling(ceiling float64) {
	l.ceiling = max(ceiling, l.floor)
	l.current = min(l.current, l.ceiling)
}

// observe takes in one finished call that started at the given time. Calls
// that started under an earlier limit say nothing of the one in force.
func (l *concurrencyLimit) observe(now, started time.Time, result Result) {
	if started.Before(l.changed) {
		return
	}
	if l.start.IsZero() {
		l.start = now
	}
	switch result.Kind {
	case Succeeded:
		l.samples++
		l.sum += result.Own
	case Refused:
		l.refused++
	case Failed:
	}
	age := now.Sub(l.start)
	if age < windowMin || (l.samples < windowSamples && age < windowMax) {
		return
	}
	before := l.current
	l.endWindow(now)
	if l.current != before {
		l.changed = now
	}
	l.window = window{start: now}
}

func (l *concurrencyLimit) endWindow(now time.Time) {
	if l.refusedShare() > refusalTolerance {
		l.trial.active = false
		l.shrink(max(refusalCut, l.refusedShare()/2))
		return
	}
	if l.samples == 0 {
		return
	}
	l.mean = l.sum / time.Duration(l.samples)
	if !l.saturated {
		l.trial.due = now.Add(trialAfter)
	}
	switch {
	case l.trial.active:
		l.endTrial()
	case l.saturated && (l.slowed() || l.trialDue(now)):
		l.trial.active, l.trial.limit, l.trial.mean = true, l.current, l.mean
		l.shrink(trialCut)
	default:
		l.adjustBaseline()
		l.grow()
	}
}

func (l *concurrencyLimit) refusedShare() float64 {
	if l.refused == 0 {
		return 0
	}
	return float64(l.refused) / float64(l.refused+l.samples)
}

// slowed tells whether latency is well above that without queueing.
func (l *concurrencyLimit) slowed() bool {
	return l.baseline > 0 && float64(l.mean) > latencyTolerance*float64(l.baseline)
}

func (l *concurrencyLimit) trialDue(now time.Time) bool {
	if l.trial.due.IsZero() {
		l.trial.due = now.Add(trialAfter)
	}
	return !l.trial.stood && !now.Before(l.trial.due)
}

// endTrial keeps the lower limit if latency has followed it.
func (l *concurrencyLimit) endTrial() {
	l.trial.active = false
	if l.saturated && float64(l.mean) < (1-trialCut/2)*float64(l.trial.mean) {
		l.baseline = min(l.baseline, l.mean)
		return
	}
	l.baseline = l.mean
	l.trial.stood = true
	l.current = min(l.trial.limit, l.ceiling)
}

func (l *concurrencyLimit) adjustBaseline() {
	if l.baseline == 0 || l.mean < l.baseline {
		l.baseline = l.mean
		return
	}
	l.baseline += time.Duration(baselineDrift * float64(l.mean-l.baseline))
}

func (l *concurrencyLimit) grow() {
	if !l.saturated {
		return
	}
	part := startGrowth
	if l.settled {
		part = growth
	}
	l.current = min(l.ceiling, l.current+max(1, part*l.current))
}

func (l *concurrencyLimit) shrink(part float64) {
	l.settled = true
	l.current = max(l.floor, l.current*(1-part))
}
