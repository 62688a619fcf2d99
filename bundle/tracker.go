package bundle

import "slices"

// recentRecords is how many records a tracker keeps for others that lag.
const recentRecords = 64

// Tracker decides which version is held and which is in force at one node. It
// only ever moves upwards. It is not safe for concurrent use.
type Tracker struct {
	held *Version
	// pending are versions held and not yet in force, the oldest first.
	pending []*Version
	inForce *Index
	// recent are the last changes of held, each from the one before.
	recent []change
	// links are whole records of the versions that changed who signs.
	links []Record
}

// change is a record whose delta leads from the version held before it.
type change struct {
	from   uint64
	record Record
}

// NewTracker returns a tracker that trusts the operators of the settings for
// the first version.
func NewTracker(roots Trust) *Tracker {
	return &Tracker{held: rootVersion(roots)}
}

// Verdict is what became of a record that was offered.
type Verdict struct {
	// Accepted tells that the record's version is held now.
	Accepted bool
	// NeedVersion, where it is not zero, must be offered first: it named the
	// operators who signed the record.
	NeedVersion uint64
}

// Offer takes a record from the platform or a peer. A version not above the
// one held is passed over without an error. It returns ErrForged where the
// sign-offs do not suffice, ErrCorrupt where the parts do not fit, and ErrBase
// where a delta is for another version: then ask for the record before, or a
// whole one.
func (t *Tracker) Offer(record Record) (Verdict, error) {
	header := record.Header
	if header.Version <= t.Held() {
		return Verdict{}, nil
	}
	if header.TrustVersion > t.Held() && header.TrustVersion < header.Version {
		return Verdict{NeedVersion: header.TrustVersion}, nil
	}
	next, err := t.held.successor(record)
	if err != nil {
		return Verdict{}, err
	}
	t.keep(next)
	t.held = next
	if header.TrustChanged {
		t.links = append(t.links, next.Whole())
	}
	t.pending = append(t.pending, next)
	return Verdict{Accepted: true}, nil
}

// keep stores the change for Since. The record may have come whole: what is
// kept is small whatever way it came.
func (t *Tracker) keep(next *Version) {
	if t.Held() == 0 {
		return
	}
	record := next.Record
	record.Delta = DeltaOf(t.held.Sections, next.Sections)
	t.recent = append(t.recent, change{from: t.Held(), record: record})
	if len(t.recent) > recentRecords {
		t.recent = slices.Delete(t.recent, 0, len(t.recent)-recentRecords)
	}
}

// Held returns the highest version that the node has verified; zero for none.
func (t *Tracker) Held() uint64 {
	return t.held.Number()
}

// HeldVersion returns the highest version verified, or nil.
func (t *Tracker) HeldVersion() *Version {
	if t.Held() == 0 {
		return nil
	}
	return t.held
}

// RelaysHold tells that the zone's relays hold a version: it and the versions
// below it may come into force. It returns the index that has come into force
// by this, if one has.
func (t *Tracker) RelaysHold(version uint64) (*Index, bool) {
	var next *Version
	for len(t.pending) > 0 && t.pending[0].Number() <= version {
		next = t.pending[0]
		t.pending = t.pending[1:]
	}
	if next == nil {
		return nil, false
	}
	t.inForce = t.inForce.Next(next.Bundle)
	return t.inForce, true
}

// InForce returns the index in force, or nil before there is one.
func (t *Tracker) InForce() *Index {
	return t.inForce
}

// Since returns the records that bring another node from its version to the
// one held: the changes in between where they are kept, else the whole proof.
func (t *Tracker) Since(version uint64) []Record {
	if version >= t.Held() {
		return nil
	}
	start := slices.IndexFunc(t.recent, func(c change) bool { return c.from == version })
	if start < 0 {
		return t.Proof()
	}
	var records []Record
	for _, c := range t.recent[start:] {
		records = append(records, c.record)
	}
	return records
}

// Proof returns the records that lead one who trusts the same roots to the
// version held: a whole record of each change of operators, and of the version.
func (t *Tracker) Proof() []Record {
	proof := slices.Clone(t.links)
	if t.held.Record.Header.TrustChanged || t.Held() == 0 {
		return proof
	}
	return append(proof, t.held.Whole())
}

// Whole returns the version's record with every section in it.
func (v *Version) Whole() Record {
	record := v.Record
	record.Delta = DeltaOf(Sections{}, v.Sections)
	return record
}
