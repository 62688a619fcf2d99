package roster

import (
	"cmp"
	"slices"
	"time"

	"auburngap/kv"
)

// returnTime is how long a node whose entry lapsed is still listed: after an
// outage of the service the entries of live nodes are back within that time.
const returnTime = 2 * time.Second

// maxTombstones bounds the removals that are remembered for others.
const maxTombstones = 1024

// Delta is what a source knows beyond a revision.
type Delta struct {
	// Whole deltas list every entry; others only what has changed.
	Whole bool
	// Revision is the one up to which the changes are known.
	Revision kv.Revision
	// Entries have Deleted set where the key was removed.
	Entries []kv.Entry
}

// Mirror holds the entries that were read so far. It is not safe for
// concurrent use.
type Mirror struct {
	revision kv.Revision
	entries  map[string]kv.Entry
	// removed are the revisions of removals, oldest first.
	removed []kv.Entry
	// floor is the revision below which removals are not remembered.
	floor kv.Revision
	// decoded are the members that entries describe, by their keys.
	decoded map[string]decodedMember
	// lapsed holds the nodes whose entries lapsed, until they are given up.
	lapsed map[string]lapsedMember
}

type lapsedMember struct {
	entry kv.Entry
	until time.Duration
}

// decodedMember is what the entry of a revision describes.
type decodedMember struct {
	revision kv.Revision
	member   Member
	err      error
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{
		entries: make(map[string]kv.Entry),
		decoded: make(map[string]decodedMember),
		lapsed:  make(map[string]lapsedMember),
	}
}

// Revision is the one up to which the mirror knows all changes; zero is none.
func (m *Mirror) Revision() kv.Revision { return m.revision }

// Entry returns an entry by its key.
func (m *Mirror) Entry(key string) (kv.Entry, bool) {
	entry, ok := m.entries[key]
	return entry, ok
}

// Apply takes in a delta and tells whether anything has changed. An entry is
// never replaced by an older one, whatever the order of deltas.
func (m *Mirror) Apply(now time.Duration, delta Delta) bool {
	changed := false
	for _, entry := range delta.Entries {
		changed = m.applyEntry(now, entry) || changed
	}
	if delta.Whole {
		changed = m.retain(now, delta) || changed
	}
	m.revision = max(m.revision, delta.Revision)
	return changed
}

func (m *Mirror) applyEntry(now time.Duration, entry kv.Entry) bool {
	known, ok := m.entries[entry.Key]
	if ok && known.Revision >= entry.Revision {
		return false
	}
	if entry.Deleted {
		if ok {
			m.remove(now, known, entry.Revision)
		}
		return ok
	}
	if m.removedSince(entry) {
		return false
	}
	m.entries[entry.Key] = entry
	delete(m.lapsed, entry.Key)
	return true
}

// removedSince tells whether the key of an entry was removed after it was written.
func (m *Mirror) removedSince(entry kv.Entry) bool {
	return slices.ContainsFunc(m.removed, func(r kv.Entry) bool {
		return r.Key == entry.Key && r.Revision > entry.Revision
	})
}

// retain removes what a whole delta does not list and is not newer than it.
func (m *Mirror) retain(now time.Duration, delta Delta) bool {
	listed := make(map[string]bool, len(delta.Entries))
	for _, entry := range delta.Entries {
		listed[entry.Key] = true
	}
	changed := false
	for key, entry := range m.entries {
		if !listed[key] && entry.Revision <= delta.Revision {
			m.remove(now, entry, delta.Revision)
			changed = true
		}
	}
	return changed
}

func (m *Mirror) remove(now time.Duration, entry kv.Entry, revision kv.Revision) {
	delete(m.entries, entry.Key)
	m.lapsed[entry.Key] = lapsedMember{entry: entry, until: now + returnTime}
	m.removed = append(m.removed, kv.Entry{Key: entry.Key, Revision: revision, Deleted: true})
	if len(m.removed) > maxTombstones {
		m.floor = m.removed[0].Revision
		m.removed = slices.Delete(m.removed, 0, 1)
	}
}

// Since returns what the mirror knows beyond a revision.
func (m *Mirror) Since(revision kv.Revision) Delta {
	delta := Delta{Revision: m.revision, Whole: revision == 0 || revision < m.floor}
	for _, entry := range m.entries {
		if delta.Whole || entry.Revision > revision {
			delta.Entries = append(delta.Entries, entry)
		}
	}
	if !delta.Whole {
		for _, entry := range m.removed {
			if entry.Revision > revision {
				delta.Entries = append(delta.Entries, entry)
			}
		}
	}
	slices.SortFunc(delta.Entries, func(a, b kv.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return delta
}

// Expire gives up the nodes whose entries have lapsed for too long and tells
// whether there were any.
func (m *Mirror) Expire(now time.Duration) bool {
	before := len(m.lapsed)
	for key, lapsed := range m.lapsed {
		if now >= lapsed.until {
			delete(m.lapsed, key)
			delete(m.decoded, key)
		}
	}
	return len(m.lapsed) != before
}

// Members returns the nodes in the order of their VMs, among them those whose
// entries lapsed and were not given up yet, and the entries that describe no node.
func (m *Mirror) Members(isMember func(key string) bool) (members []Member, malformed []error) {
	add := func(entry kv.Entry) {
		if !isMember(entry.Key) {
			return
		}
		decoded := m.decode(entry)
		if decoded.err != nil {
			malformed = append(malformed, decoded.err)
			return
		}
		members = append(members, decoded.member)
	}
	for _, entry := range m.entries {
		add(entry)
	}
	for _, lapsed := range m.lapsed {
		add(lapsed.entry)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return members, malformed
}

// decode returns the member that an entry describes. Lists are made anew far more
// often than entries are written.
func (m *Mirror) decode(entry kv.Entry) decodedMember {
	if known, ok := m.decoded[entry.Key]; ok && known.revision == entry.Revision {
		return known
	}
	member, err := decodeMember(entry)
	m.decoded[entry.Key] = decodedMember{revision: entry.Revision, member: member, err: err}
	return m.decoded[entry.Key]
}
