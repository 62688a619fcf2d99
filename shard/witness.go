package shard

import (
	"time"

	"auburngap/charts"
)

// distantPast is before every reading of the clock.
const distantPast = time.Duration(-1 << 62)

// distantFuture is after every reading of the clock.
const distantFuture = time.Duration(1 << 62)

// witness holds what a VM has promised as a witness: to owners by confirmations,
// and to VMs that take over shards by releases.
type witness struct {
	chart  *charts.Chart
	state  string
	timing Timing
	// version is the highest known table version.
	version uint64
	// horizonUntil is the end of the horizon after the last read of the platform.
	horizonUntil time.Duration
	// confirmedUntil is when the last confirmation of version expires,
	// confirmedBelowUntil when those of all lower versions have expired.
	confirmedUntil, confirmedBelowUntil time.Duration

	// The following are inputs of the guards, set while a request is handled.
	requestVersion uint64
	now            time.Duration
	outage         bool
	faults         faults
}

func newWitness(chart *charts.Chart, timing Timing, faults faults, now time.Duration) *witness {
	w := &witness{chart: chart, state: chart.Initial, timing: timing, horizonUntil: distantPast, confirmedUntil: distantPast, faults: faults}
	// An earlier process of this VM may have confirmed a version just before.
	w.confirmedBelowUntil = now + extendByMargin(timing.ConfirmationTerm)
	if faults.restartReleases {
		w.confirmedBelowUntil = distantPast
	}
	return w
}

func (w *witness) guard(name string) bool {
	switch name {
	case "sameVersion":
		return w.requestVersion == w.version && w.version > 0
	case "withinHorizon":
		return w.now < w.horizonUntil || w.faults.restartConfirms
	case "outage":
		return w.outage
	case "promisesRunOut":
		return w.now >= w.confirmedBelowUntil || w.faults.releaseEarly
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

// observeVersion records a table version, whichever VM it came from.
func (w *witness) observeVersion(version uint64) {
	if version <= w.version || !w.fire("hear") {
		return
	}
	w.version = version
	w.confirmedBelowUntil = max(w.confirmedBelowUntil, w.confirmedUntil)
	w.confirmedUntil = distantPast
}

// recordRead records that the platform had the version when it was read.
func (w *witness) recordRead(version uint64, sentAt time.Duration) {
	w.observeVersion(version)
	if version == w.version && w.fire("read") {
		w.horizonUntil = max(w.horizonUntil, sentAt+w.timing.Horizon)
	}
}

// confirm promises not to release the version for the term. It returns false if
// the witness must not promise that.
func (w *witness) confirm(version uint64, term, now time.Duration, outage bool) bool {
	w.requestVersion, w.now, w.outage = version, now, outage
	if w.faults.restartConfirms {
		w.state = "vouching"
	}
	if term > w.timing.ConfirmationTerm || !w.fire("confirm") {
		return false
	}
	w.confirmedUntil = max(w.confirmedUntil, now+extendByMargin(term))
	return true
}

// release promises never again to confirm a lower version. It returns false if a
// confirmation of a lower version has not expired yet, or if the version is not
// the one that the witness knows.
func (w *witness) release(version uint64, now time.Duration) bool {
	w.requestVersion, w.now = version, now
	return w.fire("release")
}
