package directory

import "time"

import "slices"

// maxHeld bounds the bundles that wait for their release.
const maxHeld = 8

// shelf holds the newest bundles that a node has received and decides, where
// the node is a relay, which of them may come into force in its zone.
//
// A version is released once a majority of the zone's base relays hold it or a
// later one. A node that starts, or a relay that has lost its memory, believes
// what it is told once it has heard from so many base relays that every
// majority is met: so it never goes below a version that was in force.
type shelf struct {
	// held is ordered by version; the last is the newest.
	held []heldBundle
	// ready is the newest bundle here that may come into force; due holds
	// those that have not been offered yet, in order.
	ready heldBundle
	due   []heldBundle
	// released is the highest version known to be released.
	released uint64
	// caughtUp is false while this node may have forgotten what it held.
	caughtUp bool
	// reports is what other relays of the zone say, by their VM.
	reports map[string]relayVersions
	// changes counts what subscribers have to be told.
	changes uint64
	// word is when the platform was last read by anyone that is heard here.
	word time.Time
}

type heldBundle struct {
	version uint64
	raw     []byte
}

type relayVersions struct {
	held     uint64
	released uint64
	caughtUp bool
}

func newShelf() *shelf {
	return &shelf{reports: make(map[string]relayVersions)}
}

// majority is the number of base relays that must hold a released version.
func majority(relays int) int { return relays/2 + 1 }

// meetsEvery is the number of base relays that meets every majority.
func meetsEvery(relays int) int { return relays - majority(relays) + 1 }

// newest returns the newest bundle here.
func (s *shelf) newest() heldBundle {
	if len(s.held) == 0 {
		return s.ready
	}
	return s.held[len(s.held)-1]
}

// hold puts a bundle on the shelf if it is newer.
func (s *shelf) hold(version uint64, raw []byte) {
	if version <= s.newest().version {
		return
	}
	s.held = append(s.held, heldBundle{version, raw})
	if len(s.held) > maxHeld {
		s.held = slices.Delete(s.held, 0, 1)
	}
	s.changes++
}

// release notes that a version may come into force, and readies the newest
// bundle up to it.
func (s *shelf) release(version uint64) {
	if version <= s.released {
		return
	}
	s.released = version
	s.changes++
}

// retake takes a bundle once more that may come into force, as the one that was
// offered was of no use.
func (s *shelf) retake(version uint64, raw []byte) {
	if version == s.ready.version {
		s.makeDue(heldBundle{version, raw})
	}
}

func (s *shelf) makeDue(b heldBundle) {
	s.ready = b
	s.due = append(s.due, b)
	if len(s.due) > maxHeld {
		s.due = slices.Delete(s.due, 0, 1)
	}
	s.changes++
}

// takeDue returns the bundles to be offered.
func (s *shelf) takeDue() []heldBundle {
	due := s.due
	s.due = nil
	return due
}

func (s *shelf) makeReady() {
	for len(s.held) > 0 && s.held[0].version <= s.released {
		s.makeDue(s.held[0])
		s.held = slices.Delete(s.held, 0, 1)
	}
}

// fromPlatform notes that the platform's head has been read: nothing newer can
// have been forgotten.
func (s *shelf) fromPlatform(now time.Time) {
	s.hear(now)
	if !s.caughtUp {
		s.caughtUp = true
		s.changes++
	}
}

// hear notes that the platform was read by someone at a time.
func (s *shelf) hear(word time.Time) {
	if word.After(s.word) {
		s.word = word
	}
}

func (s *shelf) report(vm string, v relayVersions) { s.reports[vm] = v }

func (s *shelf) forget(vm string) { delete(s.reports, vm) }

// judge decides anew after a change, given the zone's base relays.
func (s *shelf) judge(self string, base []Relay) {
	s.catchUp(base)
	s.release(s.releasable(self, base))
	s.makeReady()
}

// catchUp ends the time of doubt once enough others have told their versions
// and the highest of them is here.
func (s *shelf) catchUp(base []Relay) {
	if s.caughtUp || len(base) == 0 {
		return
	}
	answers, highest := 0, uint64(0)
	for _, r := range base {
		if report, ok := s.reports[r.VM]; ok && report.caughtUp {
			answers++
			highest = max(highest, report.held)
		}
	}
	if answers >= meetsEvery(len(base)) && s.newest().version >= highest {
		s.caughtUp = true
		s.changes++
	}
}

// releasable returns the highest version that a majority of the base relays
// hold, or that one of them says to be released.
func (s *shelf) releasable(self string, base []Relay) uint64 {
	released := uint64(0)
	held := make([]uint64, 0, len(base))
	for _, r := range base {
		report, ok := s.reports[r.VM]
		switch {
		case r.VM == self && s.caughtUp:
			held = append(held, s.newest().version)
		case ok && report.caughtUp:
			held = append(held, report.held)
			released = max(released, report.released)
		}
	}
	needed := majority(len(base))
	if len(base) == 0 || len(held) < needed {
		return released
	}
	slices.Sort(held)
	return max(released, held[len(held)-needed])
}
