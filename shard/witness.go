package shard

import (
	"time"

	"auburngap/charts"
)

// never is before every reading of the clock.
const never = time.Duration(-1 << 62)

// forever is after every reading of the clock.
const forever = time.Duration(1 << 62)

// witness is a VM's memory of what it has promised to owners and takers.
type witness struct {
	chart  *charts.Chart
	state  string
	timing Timing
	// version is the highest table version known.
	version uint64
	// freshUntil is the end of the horizon after the last read of the platform.
	freshUntil time.Duration
	// given is when the last confirmation of version runs out, givenBelow when
	// those of lower versions have.
	given, givenBelow time.Duration

	// These hold for the guards while a question is being judged.
	asked  uint64
	now    time.Duration
	outage bool
	faults faults
}

func newWitness(chart *charts.Chart, timing Timing, faults faults, now time.Duration) *witness {
	w := &witness{chart: chart, state: chart.Initial, timing: timing, freshUntil: never, given: never, faults: faults}
	// An earlier process in this slot may have confirmed something just now.
	w.givenBelow = now + longer(timing.Term)
	if faults.restartReleases {
		w.givenBelow = never
	}
	return w
}

func (w *witness) guard(name string) bool {
	switch name {
	case "sameVersion":
		return w.asked == w.version && w.version > 0
	case "withinHorizon":
		return w.now < w.freshUntil || w.faults.restartConfirms
	case "outage":
		return w.outage
	case "promisesRunOut":
		return w.now >= w.givenBelow || w.faults.earlyRelease
	}
	return false
}

func (w *witness) fire(event string) bool {
	t, ok := w.chart.Next(w.state, event, w.guard)
	if !ok {
		return false
	}
	w.state = t.To
	return true
}

// hear learns of a table version from anyone.
func (w *witness) hear(version uint64) {
	if version <= w.version || !w.fire("hear") {
		return
	}
	w.version = version
	w.givenBelow = max(w.givenBelow, w.given)
	w.given = never
}

// read learns that a version was in force when the platform was read.
func (w *witness) read(version uint64, sentAt time.Duration) {
	w.hear(version)
	if version == w.version && w.fire("read") {
		w.freshUntil = max(w.freshUntil, sentAt+w.timing.Horizon)
	}
}

// confirm promises not to release the version for the term; false if it may not.
func (w *witness) confirm(version uint64, term, now time.Duration, outage bool) bool {
	w.asked, w.now, w.outage = version, now, outage
	if w.faults.restartConfirms {
		w.state = "vouching"
	}
	if term > w.timing.Term || !w.fire("confirm") {
		return false
	}
	w.given = max(w.given, now+longer(term))
	return true
}

// release promises never again to confirm anything below the version; false if
// an earlier confirmation has not run out.
func (w *witness) release(version uint64, now time.Duration) bool {
	w.asked, w.now = version, now
	return w.fire("release")
}
