package kv

import "strconv"

// Era numbers the histories of the service: it rises each time that the service comes back
// from an older copy of its data, after which it gives out revisions and lease IDs again. It
// is zero for a service that never does.
type Era uint32

// Revision is a place in the history of the service: an era in the high bits, and the
// number of a change within the era in the low bits. So revisions are ordered by their eras
// first. A number alone is a revision of era 0.
type Revision uint64

// Absent as IfRevision requires that the key does not exist.
const Absent Revision = 0

const (
	// numberBits is the width of the number in a Revision, and EraBits that of the era.
	numberBits = 40
	EraBits    = 64 - numberBits
	// MaxNumber is the highest number of a change.
	MaxNumber = 1<<numberBits - 1
)

// RevisionIn returns the place of a change in an era. The number must not exceed MaxNumber,
// nor the era EraBits.
func RevisionIn(era Era, number uint64) Revision {
	return Revision(uint64(era)<<numberBits | number)
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the number of the change within its era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// String returns the number of the change, after its era if that is not 0.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(uint64(r.Era()), 10) + "/" + number
}
