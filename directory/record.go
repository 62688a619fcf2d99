package directory

import (
	"slices"
	"time"
)

// record is an entry with its support. One that is no longer listed stays for
// a while as a tombstone.
type record struct {
	entry Entry
	// sources are the relays that list the entry as it stands.
	sources []Source
	// rivals are what other relays list of the same VM: older, but not
	// necessarily wrong, as a restarted node's clock may have been set back.
	rivals []rival
	// heardAt is the time of the last heartbeat, while the node is in heard.
	heardAt time.Time
	heard   bool
	// everHeard and formerServices tell which subscribers may have the record.
	everHeard      bool
	formerServices []string
	version        uint64
	// goneAt is when the entry lost its last support.
	goneAt time.Time
	// bundleVersion is what the node says to have in force.
	bundleVersion uint64
}

type rival struct {
	source Source
	entry  Entry
}

func (r *record) listed() bool { return r.heard || len(r.sources) > 0 }

// drop removes a relay's support and tells whether it had any.
func (r *record) drop(source Source) bool {
	before := len(r.sources) + len(r.rivals)
	r.sources = slices.DeleteFunc(r.sources, func(other Source) bool { return other == source })
	r.rivals = slices.DeleteFunc(r.rivals, func(other rival) bool { return other.source == source })
	return len(r.sources)+len(r.rivals) < before
}

// contest makes rivals of the sources, as an entry of another incarnation is
// about to stand. What other relays list of its own incarnation is void.
func (r *record) contest(newer *Entry) {
	if newer.Incarnation != r.entry.Incarnation {
		for _, source := range r.sources {
			r.rivals = append(r.rivals, rival{source, r.entry})
		}
	}
	r.sources = r.sources[:0]
	r.rivals = slices.DeleteFunc(r.rivals, func(other rival) bool {
		return other.entry.Incarnation == newer.Incarnation
	})
}

// takeRival removes the newest rival; false where there is none.
func (r *record) takeRival() (rival, bool) {
	if len(r.rivals) == 0 {
		return rival{}, false
	}
	best := slices.MaxFunc(r.rivals, func(a, b rival) int { return a.entry.compareAge(&b.entry) })
	r.rivals = slices.DeleteFunc(r.rivals, func(other rival) bool { return other.source == best.source })
	return best, true
}
