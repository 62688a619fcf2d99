package roster

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"time"

	"auburngap/kv"
)

// lapsedMemberTTL is how long a node stays listed after its entry was removed: after an
// outage of the service, live nodes publish their entries again within that time.
const lapsedMemberTTL = 2 * time.Second

// maxTombstones bounds the number of removals kept for the queries of other nodes.
const maxTombstones = 1024

// Delta holds the changes that a source knows after a revision.
type Delta struct {
	// Whole is set when the delta lists every entry, not only the changed ones.
	Whole bool
	// Revision is the revision up to which the source knows all changes.
	Revision kv.Revision
	// Entries are the changed entries. Removed keys have Deleted set.
	Entries []kv.Entry
}

// Mirror is a local copy of the entries in the key-value service. It is not safe
// for concurrent use.
//
// Within an era of the service, an entry with a higher revision replaces one with a lower.
// Revisions of two eras tell nothing of each other: the first list of an era may have an
// older entry of a key than an earlier era had. There, what its writer wrote later stays.
type Mirror struct {
	// memberPrefix begins the keys of the nodes' entries.
	memberPrefix string
	// compareOthers compares entries that are not those of nodes.
	compareOthers CompareFunc
	revision      kv.Revision
	entries       map[string]kv.Entry
	// tombstones holds the latest removals, also of keys that the mirror never held, in the
	// order in which they were learned of.
	tombstones []tombstone
	// tombstoneFloor is the revision up to which removals may be missing: dropped, or before
	// a whole delta, which names none.
	tombstoneFloor kv.Revision
	// decoded caches the members that entries describe, by key.
	decoded map[string]decodedMember
	// lapsed holds the removed entries of nodes that are still listed, by key.
	lapsed map[string]lapsedMember
}

// tombstone records that a key was removed.
type tombstone struct {
	key string
	// revision is that of the removal, or of the list that lacked the entry.
	revision kv.Revision
	// removed is the entry that was removed; its key is empty if the mirror never held it.
	removed kv.Entry
}

type lapsedMember struct {
	entry kv.Entry
	until time.Duration
}

// decodedMember is the result of decoding an entry at a revision.
type decodedMember struct {
	revision kv.Revision
	member   Member
	err      error
}

// NewMirror returns an empty mirror. The keys of the nodes' entries begin with
// memberPrefix. Other entries are compared by compareOthers; nil means that nothing tells
// their order.
func NewMirror(memberPrefix string, compareOthers CompareFunc) *Mirror {
	return &Mirror{
		memberPrefix:  memberPrefix,
		compareOthers: compareOthers,
		entries:       make(map[string]kv.Entry),
		decoded:       make(map[string]decodedMember),
		lapsed:        make(map[string]lapsedMember),
	}
}

// Revision returns the revision up to which the mirror knows all changes; zero
// before the first delta.
func (m *Mirror) Revision() kv.Revision { return m.revision }

// Entry returns the entry of a key.
func (m *Mirror) Entry(key string) (kv.Entry, bool) {
	entry, ok := m.entries[key]
	return entry, ok
}

// Accepts reports whether a delta adds to what the mirror knows. One of an earlier era does
// not, nor does a part of a later one.
func (m *Mirror) Accepts(delta Delta) bool {
	era, known := delta.Revision.Era(), m.revision.Era()
	return era == known || era > known && delta.Whole
}

// Apply applies a delta that the mirror accepts and reports whether anything has changed.
// An entry is never replaced by an older one, whatever the order of deltas.
func (m *Mirror) Apply(now time.Duration, delta Delta) bool {
	if !m.Accepts(delta) {
		return false
	}
	changed := false
	for _, entry := range delta.Entries {
		changed = m.applyEntry(now, entry, delta.Revision) || changed
	}
	if delta.Whole {
		changed = m.removeUnlisted(now, delta) || changed
		m.tombstoneFloor = max(m.tombstoneFloor, delta.Revision)
	}
	m.revision = max(m.revision, delta.Revision)
	return changed
}

// applyEntry applies an entry of a delta of a revision and reports whether anything has
// changed.
func (m *Mirror) applyEntry(now time.Duration, entry kv.Entry, revision kv.Revision) bool {
	entry = m.trimmed(entry)
	known, ok := m.entries[entry.Key]
	switch {
	case ok && !m.supersedes(entry, known):
		return false
	case ok && entry.Deleted:
		m.remove(now, known, entry.Revision)
		return true
	case entry.Deleted:
		// A node that reads from this one may hold the entry.
		m.addTombstone(tombstone{key: entry.Key, revision: entry.Revision})
		return false
	case !ok && m.isRemoved(entry, revision):
		return false
	}
	m.entries[entry.Key] = entry
	delete(m.lapsed, entry.Key)
	return true
}

// Others returns the entries that are not those of nodes.
func (m *Mirror) Others() []kv.Entry {
	var others []kv.Entry
	for key, entry := range m.entries {
		if !m.isMember(key) {
			others = append(others, entry)
		}
	}
	return others
}

// Recover takes over those entries of another node that are not those of nodes and that
// their writer wrote later than the known ones, whatever their revisions: the service may
// have lost them. It reports whether there were any.
func (m *Mirror) Recover(entries []kv.Entry) bool {
	changed := false
	for _, entry := range entries {
		if m.isMember(entry.Key) || entry.Deleted {
			continue
		}
		known, ok := m.entries[entry.Key]
		if order, comparable := m.compare(entry, known); ok && (!comparable || order <= 0) {
			continue
		}
		m.entries[entry.Key] = entry
		changed = true
	}
	return changed
}

func (m *Mirror) isMember(key string) bool { return strings.HasPrefix(key, m.memberPrefix) }

// trimmed returns an entry as the mirror keeps it. Of a value that is too long to describe
// a valid node, the first bytes still tell that.
func (m *Mirror) trimmed(entry kv.Entry) kv.Entry {
	if m.isMember(entry.Key) && len(entry.Value) > maxMemberBytes {
		entry.Value = bytes.Clone(entry.Value[:maxMemberBytes+1])
	}
	return entry
}

// removeUnlisted removes the entries that a whole delta does not list, except those
// that are newer than the delta, and reports whether there were any. An entry other than a
// node's stays if the service has lost it: nothing but its writer removes it.
func (m *Mirror) removeUnlisted(now time.Duration, delta Delta) bool {
	listed := make(map[string]bool, len(delta.Entries))
	for _, entry := range delta.Entries {
		listed[entry.Key] = true
	}
	changed := false
	for key, entry := range m.entries {
		isLost := entry.Revision.Era() < delta.Revision.Era() && !m.isMember(key)
		if !listed[key] && entry.Revision <= delta.Revision && !isLost {
			m.remove(now, entry, delta.Revision)
			changed = true
		}
	}
	return changed
}

func (m *Mirror) remove(now time.Duration, entry kv.Entry, revision kv.Revision) {
	delete(m.entries, entry.Key)
	m.lapsed[entry.Key] = lapsedMember{entry: entry, until: now + lapsedMemberTTL}
	m.addTombstone(tombstone{key: entry.Key, revision: revision, removed: entry})
}

func (m *Mirror) addTombstone(added tombstone) {
	isKnown := func(t tombstone) bool { return t.key == added.key && t.revision >= added.revision }
	if slices.ContainsFunc(m.tombstones, isKnown) {
		return
	}
	m.tombstones = append(m.tombstones, added)
	if len(m.tombstones) > maxTombstones {
		m.tombstoneFloor = max(m.tombstoneFloor, m.tombstones[0].revision)
		m.tombstones = slices.Delete(m.tombstones, 0, 1)
	}
}

// Since returns the changes after a revision, or all entries if the revision is of an
// earlier era or not all removals since then are known. Entries of earlier eras that are not
// those of nodes are always among the changes: a list of the present era may have older ones.
func (m *Mirror) Since(revision kv.Revision) Delta {
	isEarlier := revision.Era() < m.revision.Era()
	delta := Delta{Revision: m.revision, Whole: revision == 0 || isEarlier || revision < m.tombstoneFloor}
	for _, entry := range m.entries {
		isKept := entry.Revision.Era() < m.revision.Era() && !m.isMember(entry.Key)
		if delta.Whole || isKept || entry.Revision > revision {
			delta.Entries = append(delta.Entries, entry)
		}
	}
	if !delta.Whole {
		for _, t := range m.tombstones {
			if t.revision > revision {
				delta.Entries = append(delta.Entries, kv.Entry{Key: t.key, Revision: t.revision, Deleted: true})
			}
		}
	}
	slices.SortFunc(delta.Entries, func(a, b kv.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return delta
}

// Expire stops listing the nodes whose entries were removed too long ago and reports
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

// malformedEntry is an entry that describes no valid node.
type malformedEntry struct {
	key string
	err error
}

// Members returns the nodes in the order of their VMs, and the entries that describe no
// valid node. Nodes whose entries were removed are included until they expire.
func (m *Mirror) Members() (members []Member, malformed []malformedEntry) {
	add := func(entry kv.Entry) {
		if !m.isMember(entry.Key) {
			return
		}
		decoded := m.memberOf(entry)
		if decoded.err != nil {
			malformed = append(malformed, malformedEntry{entry.Key, decoded.err})
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

// memberOf returns the member that an entry of the mirror describes. The result is cached,
// because lists of members are built far more often than entries are written.
func (m *Mirror) memberOf(entry kv.Entry) decodedMember {
	if known, ok := m.decoded[entry.Key]; ok && known.revision == entry.Revision {
		return known
	}
	m.decoded[entry.Key] = m.decode(entry)
	return m.decoded[entry.Key]
}

func (m *Mirror) decode(entry kv.Entry) decodedMember {
	member, err := decodeMember(m.memberPrefix, entry)
	return decodedMember{revision: entry.Revision, member: member, err: err}
}
