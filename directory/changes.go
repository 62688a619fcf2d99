package directory

import (
	"slices"
	"sort"

	"auburngap/route"
)

// changeLog orders records by the version of their last change.
type changeLog struct {
	version uint64
	// floor is the highest version whose change can no longer be told.
	floor   uint64
	changes []change
	// live counts the changes that are still the last of their record.
	live int
}

type change struct {
	version uint64
	record  *record
}

// add notes a change of the record.
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

// forget drops a tombstone; subscribers that have not seen it need a whole listing.
func (l *changeLog) forget(r *record) {
	l.floor = max(l.floor, r.version)
	r.version = 0
	l.live--
}

// compact drops changes that a later one of the same record has replaced.
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

// Filter tells which entries a subscriber gets; its zero value lets all pass.
type Filter struct {
	// Services lets the entries of some services pass; nil all.
	Services map[string]struct{}
	// Zone lets the entries of one availability zone pass; empty all.
	Zone string
	// HeardOnly lets only the entries pass whose nodes are heard here, so that
	// relays of one zone never support an entry by each other's word.
	HeardOnly bool
	// Without keeps one VM back: a relay does not vouch for itself to relays
	// that hear it.
	Without string
}

// concerns tells whether the subscriber may have been told of the record.
func (f *Filter) concerns(r *record) bool {
	if f.Zone != "" && f.Zone != r.entry.Zone || f.HeardOnly && !r.everHeard || f.Without == r.entry.VM {
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
	if f.HeardOnly {
		return r.heard
	}
	return r.listed()
}

// Delta is what a subscriber has to learn.
type Delta struct {
	Listed []Entry
	// Gone names VMs that are no longer listed; of some the subscriber may
	// never have heard.
	Gone []string
	// Reset means that Listed is everything: the subscriber's version is too old.
	Reset bool
	// Version is what the subscriber has after the delta.
	Version uint64
}

// Since returns what has changed after a version that Since returned before,
// or everything for version 0.
func (s *State) Since(version uint64, filter Filter) Delta {
	delta := Delta{Version: s.log.version}
	if version == 0 || version < s.log.floor {
		delta.Reset = true
		delta.Listed = s.list(filter)
		return delta
	}
	s.log.since(version, func(r *record) {
		switch {
		case !filter.concerns(r):
		case filter.lists(r):
			delta.Listed = append(delta.Listed, r.entry)
		default:
			delta.Gone = append(delta.Gone, r.entry.VM)
		}
	})
	return delta
}

// list returns every entry that a subscriber gets.
func (s *State) list(filter Filter) []Entry {
	var listed []Entry
	take := func(r *record) {
		if filter.concerns(r) && filter.lists(r) {
			listed = append(listed, r.entry)
		}
	}
	if filter.Services == nil {
		for _, r := range s.records {
			take(r)
		}
		return listed
	}
	for service := range filter.Services {
		for r := range s.services[service] {
			take(r)
		}
	}
	return listed
}

// ChangedServices returns the services whose entries changed after a version,
// and the version that they have now.
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

// Targets returns the listed backend servers of a service, in no order.
func (s *State) Targets(service string) []route.Target {
	targets := make([]route.Target, 0, len(s.services[service]))
	for r := range s.services[service] {
		if r.listed() {
			targets = append(targets, r.entry.target())
		}
	}
	return targets
}

// Heard returns the number of nodes that are heard here.
func (s *State) Heard() int { return len(s.heard) }

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
