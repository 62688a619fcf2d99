package directory

import (
	"slices"
	"sort"

	"auburngap/route"
)

// changeLog orders records by the version of their last change.
type changeLog struct {
	version uint64
	// floor is the highest version for which a change has been dropped. A
	// subscriber below it needs a full listing.
	floor   uint64
	changes []change
	// live counts the changes that are still the latest of their record.
	live int
}

type change struct {
	version uint64
	record  *record
}

// add appends a change of the record.
func (l *changeLog) add(r *record) {
	if r.version == 0 {
		l.live++
	}
	l.version++
	r.version = l.version
	l.changes = append(l.changes, change{l.version, r})
	if len(l.changes) > 2*l.live+64 {
		l.compact()
	}
}

// remove drops a tombstone. Subscribers that have not seen it need a full listing.
func (l *changeLog) remove(r *record) {
	l.floor = max(l.floor, r.version)
	r.version = 0
	l.live--
}

// compact drops changes that a later change of the same record has replaced.
func (l *changeLog) compact() {
	kept := l.changes[:0]
	for _, c := range l.changes {
		if c.record.version == c.version {
			kept = append(kept, c)
		}
	}
	clear(l.changes[len(kept):])
	l.changes = kept
}

// since calls yield with each record that changed after version, oldest first.
func (l *changeLog) since(version uint64, yield func(*record)) {
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].version > version })
	for _, c := range l.changes[first:] {
		if c.record.version == c.version {
			yield(c.record)
		}
	}
}

// Filter selects the entries that a subscriber gets. The zero value selects all.
type Filter struct {
	// Services selects the entries of these services; nil selects all services.
	Services map[string]struct{}
	// Zone selects the entries of one availability zone; empty selects all zones.
	Zone string
	// DirectOnly selects only entries whose nodes send their heartbeats here.
	// Otherwise two relays of a zone could keep a dead entry listed because each
	// receives it from the other.
	DirectOnly bool
	// ExcludeVM excludes one VM. A relay does not list itself to relays that
	// receive its heartbeats.
	ExcludeVM string
}

// covers reports whether the subscriber may have been sent the record.
func (f *Filter) covers(r *record) bool {
	if f.Zone != "" && f.Zone != r.entry.Zone || f.DirectOnly && !r.everDirect || f.ExcludeVM == r.entry.VM {
		return false
	}
	return f.wants(r.entry.Service) || slices.ContainsFunc(r.formerServices, f.wants)
}

func (f *Filter) wants(service string) bool {
	if f.Services == nil {
		return true
	}
	_, ok := f.Services[service]
	return ok
}

func (f *Filter) lists(r *record) bool {
	if !f.wants(r.entry.Service) {
		return false
	}
	if f.DirectOnly {
		return r.direct
	}
	return r.listed()
}

// Delta holds the changes that a subscriber has not received yet.
type Delta struct {
	Listed []Entry
	// Gone names VMs that are no longer listed. The subscriber may never have
	// received some of them.
	Gone []string
	// Reset means that Listed is a full listing, because the subscriber's
	// version is too old for a delta.
	Reset bool
	// Version is the subscriber's version after it has applied the delta.
	Version uint64
}

// ChangesSince returns the changes after a version that an earlier call
// returned, or a full listing for version 0.
func (s *State) ChangesSince(version uint64, filter Filter) Delta {
	delta := Delta{Version: s.log.version}
	if version == 0 || version < s.log.floor {
		delta.Reset = true
		delta.Listed = s.listAll(filter)
		return delta
	}
	s.log.since(version, func(r *record) {
		switch {
		case !filter.covers(r):
		case filter.lists(r):
			delta.Listed = append(delta.Listed, r.entry)
		default:
			delta.Gone = append(delta.Gone, r.entry.VM)
		}
	})
	return delta
}

// listAll returns every entry that the filter selects.
func (s *State) listAll(filter Filter) []Entry {
	var listed []Entry
	add := func(r *record) {
		if filter.covers(r) && filter.lists(r) {
			listed = append(listed, r.entry)
		}
	}
	if filter.Services == nil {
		for _, r := range s.records {
			add(r)
		}
		return listed
	}
	for service := range filter.Services {
		for r := range s.services[service] {
			add(r)
		}
	}
	return listed
}

// ChangedServices returns the services whose entries changed after a version,
// and the current version.
func (s *State) ChangedServices(version uint64) (map[string]struct{}, uint64) {
	changed := make(map[string]struct{})
	s.log.since(version, func(r *record) {
		changed[r.entry.Service] = struct{}{}
		for _, former := range r.formerServices {
			changed[former] = struct{}{}
		}
	})
	return changed, s.log.version
}

// Targets returns the listed backend servers of a service, in no particular order.
func (s *State) Targets(service string) []route.Target {
	targets := make([]route.Target, 0, len(s.services[service]))
	for r := range s.services[service] {
		if r.listed() {
			targets = append(targets, r.entry.target())
		}
	}
	return targets
}

// CountDirect returns the number of nodes that send their heartbeats here.
func (s *State) CountDirect() int { return len(s.direct) }

// CountZone returns the number of listed entries of an availability zone.
func (s *State) CountZone(zone string) int {
	count := 0
	for _, r := range s.records {
		if r.listed() && r.entry.Zone == zone {
			count++
		}
	}
	return count
}
