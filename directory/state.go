package directory

import (
	"cmp"
	"slices"
	"time"
)

// StateConfig holds the settings of a State; zero fields take their defaults.
type StateConfig struct {
	// Zone is the local availability zone.
	Zone string
	// Expiry is the time without a heartbeat after which a node counts as
	// unresponsive; default 6 s.
	Expiry time.Duration
	// CloseGrace is the time that a node has to reconnect after its stream has
	// closed; default 2 s.
	CloseGrace time.Duration
	// MaxPause is the gap between two ticks above which the local host is taken
	// to have been paused, so that missing heartbeats prove nothing; default 2 s.
	MaxPause time.Duration
	// HoldFor is how long expiry is delayed when most nodes become unresponsive
	// at once, as this VM is then more likely isolated; default 30 s.
	HoldFor time.Duration
	// TombstoneTTL is how long tombstones are kept. Subscribers that lag less
	// than this still get a delta; default 60 s.
	TombstoneTTL time.Duration
}

func (c StateConfig) withDefaults() StateConfig {
	c.Expiry = cmp.Or(c.Expiry, 6*time.Second)
	c.CloseGrace = cmp.Or(c.CloseGrace, 2*time.Second)
	c.MaxPause = cmp.Or(c.MaxPause, 2*time.Second)
	c.HoldFor = cmp.Or(c.HoldFor, 30*time.Second)
	c.TombstoneTTL = cmp.Or(c.TombstoneTTL, time.Minute)
	return c
}

// Source identifies a relay connection from which entries were received. Numbers
// start at 1.
type Source uint32

// noSource means that there is no source.
const noSource Source = 0

// State holds the listed entries, their sources, and the changes since a version.
// An entry is listed while its node sends heartbeats here or some relay lists it.
// State has no clock, lock or goroutine.
type State struct {
	config  StateConfig
	records map[string]*record
	// direct holds the nodes that send their heartbeats here.
	direct map[string]*record
	// services holds the records by the service of their entry.
	services map[string]map[*record]struct{}
	// gone holds the tombstones.
	gone map[string]*record
	log  changeLog

	tickedAt         time.Time
	massTimeoutSince time.Time
}

// NewState returns an empty State.
func NewState(config StateConfig) *State {
	return &State{
		config:   config.withDefaults(),
		records:  make(map[string]*record),
		direct:   make(map[string]*record),
		services: make(map[string]map[*record]struct{}),
		gone:     make(map[string]*record),
		log:      changeLog{version: 1},
	}
}

// Version grows with each change.
func (s *State) Version() uint64 { return s.log.version }

// ApplyAnnouncement applies an announcement from the node itself. If the current
// entry is newer, it returns that entry and false. The node must then supersede it.
func (s *State) ApplyAnnouncement(now time.Time, e Entry) (Entry, bool) {
	r, known := s.records[e.VM]
	if known && e.compareVersion(&r.entry) < 0 && r.listed() {
		return r.entry, false
	}
	if !known {
		r = &record{}
		s.records[e.VM] = r
	}
	newer := e.compareVersion(&r.entry) != 0
	if newer {
		r.demoteSources(&e)
	}
	if e.Incarnation != r.entry.Incarnation {
		r.bundleVersion = 0
	}
	changed := newer || !r.direct
	r.direct, r.everDirect, r.lastHeartbeat = true, true, now
	s.direct[e.VM] = r
	if changed {
		s.replace(r, e)
	}
	return r.entry, true
}

// ApplyHeartbeat applies a heartbeat. It returns false, and the current entry if
// there is one, if the node must announce itself again.
func (s *State) ApplyHeartbeat(now time.Time, vm string, beat HeartbeatState) (Entry, bool) {
	r, ok := s.direct[vm]
	if !ok {
		return Entry{}, false
	}
	if r.entry.Incarnation != beat.Incarnation || r.entry.Sequence != beat.Sequence {
		return r.entry, false
	}
	r.lastHeartbeat = now
	r.entry.Load = beat.Load
	r.bundleVersion = beat.BundleVersion
	return r.entry, true
}

// HeartbeatState is the content of a heartbeat.
type HeartbeatState struct {
	Incarnation uint64
	Sequence    uint64
	// Load is the number of running requests at the backend server.
	Load int
	// BundleVersion is the node's active version.
	BundleVersion uint64
}

// StreamClosed records that a node's stream has ended. The node then has
// CloseGrace to reconnect.
func (s *State) StreamClosed(now time.Time, vm string) {
	r, ok := s.direct[vm]
	if !ok {
		return
	}
	latest := now.Add(s.config.CloseGrace - s.config.Expiry)
	if r.lastHeartbeat.After(latest) {
		r.lastHeartbeat = latest
	}
}

// Merge applies an entry that a relay lists.
func (s *State) Merge(source Source, e Entry) {
	r, known := s.records[e.VM]
	if !known {
		r = &record{}
		s.records[e.VM] = r
	}
	wasListed := r.listed()
	r.removeSource(source)
	order := 1
	if known && (r.listed() || e.Incarnation == r.entry.Incarnation) {
		order = e.compareVersion(&r.entry)
	}
	switch {
	case order < 0 && e.Incarnation == r.entry.Incarnation && wasListed:
		// The relay lags: it lists the VM, and the node itself has replaced what it lists.
		r.sources = append(r.sources, source)
	case order < 0 && e.Incarnation == r.entry.Incarnation:
		// Nothing lists what the node itself has replaced.
	case order < 0:
		r.alternatives = append(r.alternatives, alternative{source, e})
	case order == 0 && !r.listed():
		r.sources = append(r.sources, source)
		s.replace(r, e)
	case order == 0:
		r.sources = append(r.sources, source)
	default:
		r.demoteSources(&e)
		r.sources = append(r.sources, source)
		s.replace(r, e)
	}
}

// replace stores a newer entry. It keeps the backend server's start time unless the
// backend server has restarted, because ages received over the network vary.
func (s *State) replace(r *record, e Entry) {
	const jitter = time.Second
	if r.listed() && r.entry.Service == e.Service && e.Since.Sub(r.entry.Since).Abs() < jitter {
		e.Since = r.entry.Since
	}
	s.index(r, e.Service)
	r.entry = e
	delete(s.gone, e.VM)
	s.log.add(r)
}

// index moves a record to the index of another service.
func (s *State) index(r *record, service string) {
	former := r.entry.Service
	if former != service && r.version > 0 && !slices.Contains(r.formerServices, former) {
		r.formerServices = append(r.formerServices, former)
	}
	s.removeIndex(r)
	if s.services[service] == nil {
		s.services[service] = make(map[*record]struct{})
	}
	s.services[service][r] = struct{}{}
}

func (s *State) removeIndex(r *record) {
	records := s.services[r.entry.Service]
	delete(records, r)
	if len(records) == 0 {
		delete(s.services, r.entry.Service)
	}
}

// Unlist records that a relay no longer lists a VM.
func (s *State) Unlist(now time.Time, source Source, vm string) {
	r, ok := s.records[vm]
	if ok && r.listed() && r.removeSource(source) {
		s.handleLostSource(now, r)
	}
}

// Retain records that a relay lists no VMs other than the given ones.
func (s *State) Retain(now time.Time, source Source, vms map[string]struct{}) {
	for vm, r := range s.records {
		if _, ok := vms[vm]; !ok && len(r.sources)+len(r.alternatives) > 0 {
			s.Unlist(now, source, vm)
		}
	}
}

// handleLostSource updates a record after it has lost a source. If it has none
// left, the best alternative replaces the entry, or the record becomes a tombstone.
func (s *State) handleLostSource(now time.Time, r *record) {
	if r.listed() {
		return
	}
	if best, ok := r.takeBestAlternative(); ok {
		r.sources = append(r.sources, best.source)
		s.replace(r, best.entry)
		return
	}
	r.goneAt = now
	s.gone[r.entry.VM] = r
	s.log.add(r)
}

// Tick expires unresponsive nodes and drops old tombstones.
func (s *State) Tick(now time.Time) {
	if !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > s.config.MaxPause {
		s.compensatePause(now)
	}
	s.tickedAt = now
	unresponsive := s.unresponsive(now)
	if s.mayExpire(now, len(unresponsive)) {
		for _, r := range unresponsive {
			s.expire(now, r)
		}
	}
	s.dropOldTombstones(now)
}

// compensatePause adds the local pause to all last heartbeats, so that it does not
// count towards expiry.
func (s *State) compensatePause(now time.Time) {
	pause := now.Sub(s.tickedAt)
	for _, r := range s.direct {
		r.lastHeartbeat = r.lastHeartbeat.Add(pause)
	}
}

func (s *State) unresponsive(now time.Time) []*record {
	var found []*record
	for _, r := range s.direct {
		if now.Sub(r.lastHeartbeat) >= s.config.Expiry {
			found = append(found, r)
		}
	}
	return found
}

// mayExpire delays expiry by HoldFor while most nodes are unresponsive.
func (s *State) mayExpire(now time.Time, unresponsive int) bool {
	const fewest = 4
	if unresponsive < fewest || 2*unresponsive <= len(s.direct) {
		s.massTimeoutSince = time.Time{}
		return true
	}
	if s.massTimeoutSince.IsZero() {
		s.massTimeoutSince = now
	}
	return now.Sub(s.massTimeoutSince) >= s.config.HoldFor
}

// expire ends the listing of a node by its own heartbeats.
func (s *State) expire(now time.Time, r *record) {
	delete(s.direct, r.entry.VM)
	r.direct = false
	if r.listed() {
		s.log.add(r)
		return
	}
	s.handleLostSource(now, r)
}

// dropOldTombstones drops the tombstones that are at least TombstoneTTL old.
func (s *State) dropOldTombstones(now time.Time) {
	for vm, r := range s.gone {
		if now.Sub(r.goneAt) >= s.config.TombstoneTTL {
			delete(s.gone, vm)
			delete(s.records, vm)
			s.removeIndex(r)
			s.log.remove(r)
		}
	}
}

// BundleVersions returns the active versions that the nodes report in their
// heartbeats to this one, by VM.
func (s *State) BundleVersions() map[string]uint64 {
	versions := make(map[string]uint64, len(s.direct))
	for vm, r := range s.direct {
		versions[vm] = r.bundleVersion
	}
	return versions
}
