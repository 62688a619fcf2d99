// Package lineage infers which running request made a call. Backend servers make
// calls on behalf of the requests that they run, and nothing in a call names the
// request that it belongs to.
//
// # Usage
//
//	var tracker lineage.Tracker
//	run := tracker.Begin("ordina", deadline)            // a request of a route starts to run
//	parent := tracker.Attribute("colore", callDeadline) // a call was made; nil if it belongs to no run
//	tracker.End(run)
//
// A backend server gives its calls the remaining time of the request that they
// belong to. A call's deadline is therefore that of its request, except for the time
// in transit. If several requests have that deadline, or none has because the call
// has a shorter timeout, the call is attributed to the run that has made the fewest
// calls compared with what runs of its route usually make. A single attribution may
// be wrong. It decides how important the call is, not whether it is allowed. Other
// callers on the VM may also send requests without a key, so a call that no running
// request's route is known to make is attributed to none. A Tracker is not safe for
// concurrent use.
package lineage

import (
	"slices"
	"time"
)

const (
	// maxEarlier and maxLater bound how much earlier or later than the deadline of
	// its request a call's deadline may be. Times are truncated to milliseconds,
	// and a call spends time in transit.
	maxEarlier = 4 * time.Millisecond
	maxLater   = 25 * time.Millisecond
	// decayRuns is the number of runs of a route at which its counts are halved, so
	// that old runs lose weight.
	decayRuns = 400
	// priorRuns is the weight of the prior in runs. The prior assumes priorCalls
	// calls to every route in each run.
	priorRuns  = 2
	priorCalls = 0.5
	// learningRuns is the number of runs of a route after which the calls that they
	// make count as known.
	learningRuns = 20
	// minCallsPerRun is the average number of calls to a route above which runs are
	// known to make such calls.
	minCallsPerRun = 0.02
	// minShortfall is the least shortfall as a share of the expected calls. It keeps
	// runs that have made all their expected calls eligible.
	minShortfall = 0.05
)

// Run is a running request.
type Run struct {
	// Value is for use by the caller of Begin.
	Value any

	deadline time.Time
	stats    *routeStats
	// made counts the calls attributed to the run, by their route.
	made map[string]float64
}

// routeStats holds the counts of the runs of a route.
type routeStats struct {
	runs  float64
	calls map[string]float64
}

// expected returns the number of calls to a route that a run makes on average,
// including the prior.
func (r *routeStats) expected(call string) float64 {
	return (r.calls[call] + priorRuns*priorCalls) / (r.runs + priorRuns)
}

// Tracker holds the running requests and the statistics of their routes. The zero
// Tracker is empty and ready to use.
type Tracker struct {
	routes  map[string]*routeStats
	running []*Run
}

// Begin records that a request of a route has started to run, with its deadline.
func (b *Tracker) Begin(name string, deadline time.Time) *Run {
	if b.routes == nil {
		b.routes = make(map[string]*routeStats)
	}
	r, ok := b.routes[name]
	if !ok {
		r = &routeStats{calls: make(map[string]float64)}
		b.routes[name] = r
	}
	r.countRun()
	run := &Run{deadline: deadline, stats: r}
	b.running = append(b.running, run)
	return run
}

// countRun counts a run, and halves all counts once there are decayRuns runs.
func (r *routeStats) countRun() {
	r.runs++
	if r.runs < decayRuns {
		return
	}
	r.runs /= 2
	for call := range r.calls {
		r.calls[call] /= 2
	}
}

// End records that a request has ended. It may be called several times.
func (b *Tracker) End(run *Run) {
	if i := slices.Index(b.running, run); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
	}
}

// Attribute returns the run that most likely made a call to a route. It returns nil if
// no running request makes such calls, since the VM has other callers as well.
func (b *Tracker) Attribute(call string, deadline time.Time) *Run {
	parent, matched := b.match(call, deadline)
	if parent == nil {
		return nil
	}
	if matched {
		parent.stats.calls[call]++
	}
	if !parent.stats.makes(call) && !(matched && parent.stats.runs < learningRuns) {
		return nil
	}
	if parent.made == nil {
		parent.made = make(map[string]float64)
	}
	parent.made[call]++
	return parent
}

// makes reports whether runs are known to make calls to a route.
func (r *routeStats) makes(call string) bool {
	return r.calls[call] >= minCallsPerRun*r.runs
}

// match returns the run with the largest shortfall of calls among those whose
// deadline matches the call's, or among all runs if none matches. It also reports
// whether the deadline of the returned run matches.
func (b *Tracker) match(call string, deadline time.Time) (*Run, bool) {
	var best *Run
	bestShortfall, bestMatches := 0.0, false
	for _, run := range b.running {
		delay := deadline.Sub(run.deadline)
		matches := delay >= -maxEarlier && delay <= maxLater
		shortfall := run.shortfall(call)
		if best == nil || matches && !bestMatches || matches == bestMatches && shortfall > bestShortfall {
			best, bestShortfall, bestMatches = run, shortfall, matches
		}
	}
	return best, bestMatches
}

// shortfall returns how many of the expected calls to a route the run has not made
// yet, but at least minShortfall of them.
func (r *Run) shortfall(call string) float64 {
	expected := r.stats.expected(call)
	return max(expected-r.made[call], minShortfall*expected)
}

// ExpectedCalls returns the average number of calls to the route call that a run of the
// route name makes. It returns zero if no run of that route is known.
func (b *Tracker) ExpectedCalls(name, call string) float64 {
	r, ok := b.routes[name]
	if !ok {
		return 0
	}
	return r.calls[call] / max(r.runs, 1)
}
