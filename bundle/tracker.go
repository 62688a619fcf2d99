package bundle

import "slices"

// maxRecentChanges is the number of changes that a tracker keeps for peers that are
// behind.
const maxRecentChanges = 64

// Tracker verifies the versions that one node receives and decides which one is active.
// Its versions only ever increase. It is not safe for concurrent use.
type Tracker struct {
	latest *Version
	// pending are the verified versions that are not active yet, oldest first.
	pending []*Version
	active  *Index
	// recent are the last changes that led to the latest version, each based on the one
	// before.
	recent []change
	// trustChanges are the full records of the versions that changed the trusted
	// operators.
	trustChanges []Record
}

// change is a record with a delta from the previously verified version.
type change struct {
	base   uint64
	record Record
}

// NewTracker returns a tracker that accepts a first version signed by the given operators.
func NewTracker(roots Trust) *Tracker {
	return &Tracker{latest: initialVersion(roots)}
}

// OfferResult is the result of offering a record.
type OfferResult struct {
	// Accepted means that the record's version is now the latest verified one.
	Accepted bool
	// NeedVersion, if it is not zero, is a version that must be offered first, because it
	// contains the operators who signed the record.
	NeedVersion uint64
}

// Offer verifies a record from the platform or a peer. It ignores versions that are not
// above the latest one. It returns ErrForged if valid sign-offs are missing, ErrCorrupt if
// the parts of the record are inconsistent, and ErrBaseMismatch if its delta applies to
// another version; the caller should then offer the previous record first, or a full one.
func (t *Tracker) Offer(record Record) (OfferResult, error) {
	header := record.Header
	if header.Version <= t.LatestNumber() {
		return OfferResult{}, nil
	}
	if header.TrustVersion > t.LatestNumber() && header.TrustVersion < header.Version {
		return OfferResult{NeedVersion: header.TrustVersion}, nil
	}
	next, err := t.latest.successor(record)
	if err != nil {
		return OfferResult{}, err
	}
	t.addRecent(next)
	t.latest = next
	if header.TrustChanged {
		t.trustChanges = append(t.trustChanges, next.FullRecord())
	}
	t.pending = append(t.pending, next)
	return OfferResult{Accepted: true}, nil
}

// addRecent stores the change for RecordsSince. It stores the delta to the previous
// version even if the record came with every section, to keep the change small.
func (t *Tracker) addRecent(next *Version) {
	if t.LatestNumber() == 0 {
		return
	}
	record := next.Record
	record.Delta = NewDelta(t.latest.Sections, next.Sections)
	t.recent = append(t.recent, change{base: t.LatestNumber(), record: record})
	if len(t.recent) > maxRecentChanges {
		t.recent = slices.Delete(t.recent, 0, len(t.recent)-maxRecentChanges)
	}
}

// LatestNumber returns the number of the latest version that the node has verified, or
// zero.
func (t *Tracker) LatestNumber() uint64 {
	return t.latest.Number()
}

// Latest returns the latest version that the node has verified, or nil.
func (t *Tracker) Latest() *Version {
	if t.LatestNumber() == 0 {
		return nil
	}
	return t.latest
}

// Activate activates the newest pending version up to the given one, which the zone's
// relays hold (a majority of them). It returns the new active index, or false if nothing
// has changed.
func (t *Tracker) Activate(version uint64) (*Index, bool) {
	var next *Version
	for len(t.pending) > 0 && t.pending[0].Number() <= version {
		next = t.pending[0]
		t.pending = t.pending[1:]
	}
	if next == nil {
		return nil, false
	}
	t.active = t.active.Next(next.Bundle)
	return t.active, true
}

// Active returns the index of the active version, or nil if there is none yet.
func (t *Tracker) Active() *Index {
	return t.active
}

// RecordsSince returns the records that bring another node from its version to the latest
// one: the changes since then if they are still kept, otherwise the full proof.
func (t *Tracker) RecordsSince(version uint64) []Record {
	if version >= t.LatestNumber() {
		return nil
	}
	start := slices.IndexFunc(t.recent, func(c change) bool { return c.base == version })
	if start < 0 {
		return t.Proof()
	}
	var records []Record
	for _, c := range t.recent[start:] {
		records = append(records, c.record)
	}
	return records
}

// Proof returns the records that prove the latest version to a node with the same root
// trust: the full records of all versions that changed the operators, and of the latest.
func (t *Tracker) Proof() []Record {
	proof := slices.Clone(t.trustChanges)
	if t.latest.Record.Header.TrustChanged || t.LatestNumber() == 0 {
		return proof
	}
	return append(proof, t.latest.FullRecord())
}

// FullRecord returns the version's record with every section in its delta.
func (v *Version) FullRecord() Record {
	record := v.Record
	record.Delta = NewDelta(Sections{}, v.Sections)
	return record
}
