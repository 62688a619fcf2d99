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
type Mirror struct {
	// memberPrefix begins the keys of the nodes' entries.
	memberPrefix string
	revision     kv.Revision
	entries      map[string]kv.Entry
	// tombstones holds the latest removals, also of keys that the mirror never held, in the
	// order in which they were learned of.
	tombstones []kv.Entry
	// tombstoneFloor is the revision up to which removals may be missing: dropped, or before
	// a whole delta, which names none.
	tombstoneFloor kv.Revision
	// decoded caches the members that entries describe, by key.
	decoded map[string]decodedMember
	// lapsed holds the removed entries of nodes that are still listed, by key.
	lapsed map[string]lapsedMember
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
// memberPrefix.
func NewMirror(memberPrefix string) *Mirror {
	return &Mirror{
		memberPrefix: memberPrefix,
		entries:      make(map[string]kv.Entry),
		decoded:      make(map[string]decodedMember),
		lapsed:       make(map[string]lapsedMember),
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

// Apply applies a delta and reports whether anything has changed. An entry is
// never replaced by an older one, whatever the order of deltas.
func (m *Mirror) Apply(now time.Duration, delta Delta) bool {
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

// applyEntry applies an entry of a delta of the given revision.
func (m *Mirror) applyEntry(now time.Duration, entry kv.Entry, revision kv.Revision) bool {
	known, ok := m.entries[entry.Key]
	if ok && known.Revision >= entry.Revision {
		return false
	}
	if entry.Deleted && !ok {
		m.addTombstone(entry.Key, entry.Revision) // a node that queries this one may have it
		return false
	}
	if entry.Deleted {
		m.remove(now, known, entry.Revision)
		return true
	}
	if !ok && m.isRemovedAfter(entry, revision) {
		return false
	}
	m.entries[entry.Key] = m.trimmed(entry)
	delete(m.lapsed, entry.Key)
	return true
}

// olderEntries returns those of the entries that differ from the known ones of their keys
// and are not applied, because they are older.
func (m *Mirror) olderEntries(entries []kv.Entry) []kv.Entry {
	var older []kv.Entry
	for _, entry := range entries {
		known, ok := m.entries[entry.Key]
		if ok && known.Revision >= entry.Revision && !bytes.Equal(known.Value, m.trimmed(entry).Value) {
			older = append(older, entry)
		}
	}
	return older
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

// isRemovedAfter reports whether the key of an entry, which the mirror does not hold, was
// removed after the entry was written. The entry is one of a delta of the given revision: if
// the mirror knows all changes beyond both revisions, it would hold the entry otherwise.
func (m *Mirror) isRemovedAfter(entry kv.Entry, revision kv.Revision) bool {
	if revision < m.revision && entry.Revision <= m.revision {
		return true
	}
	return slices.ContainsFunc(m.tombstones, func(r kv.Entry) bool {
		return r.Key == entry.Key && r.Revision > entry.Revision
	})
}

// removeUnlisted removes the entries that a whole delta does not list, except those
// that are newer than the delta, and reports whether there were any.
func (m *Mirror) removeUnlisted(now time.Duration, delta Delta) bool {
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
	m.lapsed[entry.Key] = lapsedMember{entry: entry, until: now + lapsedMemberTTL}
	m.addTombstone(entry.Key, revision)
}

func (m *Mirror) addTombstone(key string, revision kv.Revision) {
	isKnown := func(r kv.Entry) bool { return r.Key == key && r.Revision >= revision }
	if slices.ContainsFunc(m.tombstones, isKnown) {
		return
	}
	m.tombstones = append(m.tombstones, kv.Entry{Key: key, Revision: revision, Deleted: true})
	if len(m.tombstones) > maxTombstones {
		m.tombstoneFloor = max(m.tombstoneFloor, m.tombstones[0].Revision)
		m.tombstones = slices.Delete(m.tombstones, 0, 1)
	}
}

// Since returns the changes after a revision, or all entries if the removals since
// then are no longer known.
func (m *Mirror) Since(revision kv.Revision) Delta {
	delta := Delta{Revision: m.revision, Whole: revision == 0 || revision < m.tombstoneFloor}
	for _, entry := range m.entries {
		if delta.Whole || entry.Revision > revision {
			delta.Entries = append(delta.Entries, entry)
		}
	}
	if !delta.Whole {
		for _, entry := range m.tombstones {
			if entry.Revision > revision {
				delta.Entries = append(delta.Entries, entry)
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
		decoded := m.decode(entry)
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

// decode returns the member that an entry describes. The result is cached, because
// lists of members are built far more often than entries are written.
func (m *Mirror) decode(entry kv.Entry) decodedMember {
	if known, ok := m.decoded[entry.Key]; ok && known.revision == entry.Revision {
		return known
	}
	member, err := decodeMember(m.memberPrefix, entry)
	m.decoded[entry.Key] = decodedMember{revision: entry.Revision, member: member, err: err}
	return m.decoded[entry.Key]
}
