package directory

import "slices"

// maxHeld is the maximum number of bundles that wait for their release.
const maxHeld = 8

// bundleStore holds the newest bundles that a node has received. If the node is
// a relay, it also decides which of them may become active in its zone.
//
// A version is released once a majority of the zone's base relays hold it or a
// later one. A starting node, or a relay that has lost its memory, relies on the
// reported versions once so many base relays have answered that they intersect
// every majority. So it never goes below a version that was active.
type bundleStore struct {
	// held is ordered by version; the last is the newest.
	held []heldBundle
	// ready is the newest bundle here that may become active. due holds those
	// that have not been offered yet, in order.
	ready heldBundle
	due   []heldBundle
	// released is the highest version known to be released.
	released uint64
	// caughtUp is false while this node may have forgotten what it held.
	caughtUp bool
	// reports holds the versions that other relays of the zone report, by VM.
	reports map[string]relayVersions
	// changes counts the changes that subscribers have to receive.
	changes uint64
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

func newBundleStore() *bundleStore {
	return &bundleStore{reports: make(map[string]relayVersions)}
}

// majority is the number of base relays that must hold a released version.
func majority(relays int) int { return relays/2 + 1 }

// intersectsMajorities is the number of base relays that intersects every majority.
func intersectsMajorities(relays int) int { return relays - majority(relays) + 1 }

// newest returns the newest bundle here.
func (s *bundleStore) newest() heldBundle {
	if len(s.held) == 0 {
		return s.ready
	}
	return s.held[len(s.held)-1]
}

// add stores a bundle if it is newer than the newest one here.
func (s *bundleStore) add(version uint64, raw []byte) {
	if version <= s.newest().version {
		return
	}
	s.held = append(s.held, heldBundle{version, raw})
	if len(s.held) > maxHeld {
		s.held = slices.Delete(s.held, 0, 1)
	}
	s.changes++
}

// release records that versions up to this one may become active. evaluate then
// promotes the held bundles.
func (s *bundleStore) release(version uint64) {
	if version <= s.released {
		return
	}
	s.released = version
	s.changes++
}

// reoffer offers the ready version once more with other content, as the bundle
// that was offered before could not be used.
func (s *bundleStore) reoffer(version uint64, raw []byte) {
	if version == s.ready.version {
		s.markReady(heldBundle{version, raw})
	}
}

func (s *bundleStore) markReady(b heldBundle) {
	s.ready = b
	s.due = append(s.due, b)
	if len(s.due) > maxHeld {
		s.due = slices.Delete(s.due, 0, 1)
	}
	s.changes++
}

// takeDue returns the bundles to be offered.
func (s *bundleStore) takeDue() []heldBundle {
	due := s.due
	s.due = nil
	return due
}

func (s *bundleStore) promoteReleased() {
	for len(s.held) > 0 && s.held[0].version <= s.released {
		s.markReady(s.held[0])
		s.held = slices.Delete(s.held, 0, 1)
	}
}

// platformRead records that the platform's head has been read. So no newer
// version can have been forgotten.
func (s *bundleStore) platformRead() {
	if !s.caughtUp {
		s.caughtUp = true
		s.changes++
	}
}

func (s *bundleStore) setReport(vm string, v relayVersions) { s.reports[vm] = v }

func (s *bundleStore) removeReport(vm string) { delete(s.reports, vm) }

// evaluate updates caughtUp and the released bundles after a change, given the
// zone's base relays.
func (s *bundleStore) evaluate(self string, base []Relay) {
	s.checkCaughtUp(base)
	s.release(s.releasable(self, base))
	s.promoteReleased()
}

// checkCaughtUp sets caughtUp once enough other base relays have reported their
// versions and the highest of these is here.
func (s *bundleStore) checkCaughtUp(base []Relay) {
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
	if answers >= intersectsMajorities(len(base)) && s.newest().version >= highest {
		s.caughtUp = true
		s.changes++
	}
}

// releasable returns the highest version that a majority of the base relays
// hold, or that one of them reports as released.
func (s *bundleStore) releasable(self string, base []Relay) uint64 {
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
