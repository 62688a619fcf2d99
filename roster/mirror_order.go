package roster

import (
	"bytes"
	"slices"

	"auburngap/kv"
)

// CompareFunc compares two entries of a key as their writer ordered them: the result is
// negative if the writer wrote a before b, positive if after it, and zero if both are the
// same or nothing tells.
type CompareFunc func(a, b kv.Entry) int

// supersedes reports whether an entry that was read replaces the known one of its key.
func (m *Mirror) supersedes(entry, known kv.Entry) bool {
	era := entry.Revision.Era()
	if era == known.Revision.Era() || entry.Deleted {
		return entry.Revision > known.Revision
	}
	if m.isMember(entry.Key) && era < known.Revision.Era() {
		return false
	}
	if m.isMember(entry.Key) && m.isWrittenSince(entry) {
		return true
	}
	if order, ok := m.compare(entry, known); ok && order != 0 {
		return order > 0
	}
	return entry.Revision > known.Revision
}

// isWrittenSince reports whether an entry was written in the era of the mirror after it had
// read a list of that era.
func (m *Mirror) isWrittenSince(entry kv.Entry) bool {
	return entry.Revision.Era() == m.revision.Era() && entry.Revision > m.revision
}

// compare compares two entries of a key as their writer ordered them; false if nothing tells.
func (m *Mirror) compare(a, b kv.Entry) (int, bool) {
	if !m.isMember(a.Key) {
		if m.compareOthers == nil {
			return 0, false
		}
		return m.compareOthers(a, b), true
	}
	first, second := m.decode(a), m.decode(b)
	if first.err != nil || second.err != nil {
		return 0, false
	}
	return compareMembers(first.member, second.member), true
}

// olderEntries returns those of the entries that differ from the known ones of their keys
// and do not replace them.
func (m *Mirror) olderEntries(entries []kv.Entry) []kv.Entry {
	var older []kv.Entry
	for _, entry := range entries {
		entry = m.trimmed(entry)
		known, ok := m.entries[entry.Key]
		if ok && !m.supersedes(entry, known) && !bytes.Equal(known.Value, entry.Value) {
			older = append(older, entry)
		}
	}
	return older
}

// isRemoved reports whether the key of an entry of a delta, which the mirror does not hold,
// was removed after the entry was written. In a delta that is older than the mirror, that is
// so for each entry that the mirror would hold otherwise. In a list of a later era than the
// removal, the entry may be an older one that was restored.
func (m *Mirror) isRemoved(entry kv.Entry, revision kv.Revision) bool {
	isOlder := revision < m.revision || entry.Revision.Era() < m.revision.Era()
	if isOlder && entry.Revision <= m.revision && m.isMember(entry.Key) {
		return true
	}
	return slices.ContainsFunc(m.tombstones, func(t tombstone) bool {
		switch {
		case t.key != entry.Key:
			return false
		case t.revision.Era() >= entry.Revision.Era():
			return t.revision > entry.Revision
		case t.removed.Key == "" || !m.isMember(entry.Key) || m.isWrittenSince(entry):
			return false
		}
		order, ok := m.compare(entry, t.removed)
		return ok && order <= 0
	})
}
