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
// down; if not, the server itself is slower and needs all of its slots.
type concurrencyLimit struct {
	// current is the limit, between floor and ceiling.
	current, floor, ceiling float64
	// baseline is the mean latency of the server when it does not queue.
	baseline time.Duration
	// mean is the latency of the last window.
	mean time.Duration

	// settled is true once the limit has had to shrink.
	settled bool

	trial trial
	window
}

type trial struct {
	active bool
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

// observe takes in one finished call.
func (l *concurrencyLimit) observe(now time.Time, result Result) {
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
	l.endWindow()
	l.window = window{start: now}
}

func (l *concurrencyLimit) endWindow() {
	if l.refusedShare() > refusalTolerance {
		l.trial = trial{}
		l.shrink(max(refusalCut, l.refusedShare()/2))
		return
	}
	if l.samples == 0 {
		return
	}
	l.mean = l.sum / time.Duration(l.samples)
	switch {
	case l.trial.active:
		l.endTrial()
	case l.saturated && l.baseline > 0 && float64(l.mean) > latencyTolerance*float64(l.baseline):
		l.trial = trial{active: true, limit: l.current, mean: l.mean}
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

func (l *concurrencyLimit) endTrial() {
	queued := l.saturated && float64(l.mean) < (1-trialCut/2)*float64(l.trial.mean)
	if !queued {
		l.current = min(l.trial.limit, l.ceiling)
		l.baseline = l.mean
	}
	l.trial = trial{}
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
