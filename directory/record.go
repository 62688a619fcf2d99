package directory

import (
	"slices"
	"time"
)

// record is an entry with the sources that list it. A record that is no longer
// listed is kept for a while as a tombstone.
type record struct {
	entry Entry
	// sources are the relays that list the current entry, or an earlier one of the same
	// incarnation.
	sources []Source
	// alternatives are older entries that other relays list for the same VM.
	// They are not necessarily wrong, as a restarted node's clock may have been
	// set back.
	alternatives []alternative
	// lastHeartbeat is the time of the last heartbeat. It is adjusted when the
	// node's stream closes or this host was paused. It counts only while direct
	// is set.
	lastHeartbeat time.Time
	direct        bool
	// everDirect and formerServices determine which subscribers may have the record.
	everDirect     bool
	formerServices []string
	version        uint64
	// goneAt is when the entry lost its last source.
	goneAt time.Time
	// bundleVersion is the active version that the node reports.
	bundleVersion uint64
}

type alternative struct {
	source Source
	entry  Entry
}

func (r *record) listed() bool { return r.direct || len(r.sources) > 0 }

// removeSource removes a relay as a source and reports whether it was one.
func (r *record) removeSource(source Source) bool {
	before := len(r.sources) + len(r.alternatives)
	r.sources = slices.DeleteFunc(r.sources, func(other Source) bool { return other == source })
	r.alternatives = slices.DeleteFunc(r.alternatives, func(other alternative) bool { return other.source == source })
	return len(r.sources)+len(r.alternatives) < before
}

// demoteSources removes the sources of the current entry before a newer entry
// replaces it. If the newer one has another incarnation, the sources become
// alternatives. Alternatives of the newer entry's own incarnation are dropped,
// as they are outdated.
func (r *record) demoteSources(newer *Entry) {
	if newer.Incarnation != r.entry.Incarnation {
		for _, source := range r.sources {
			r.alternatives = append(r.alternatives, alternative{source, r.entry})
		}
	}
	r.sources = r.sources[:0]
	r.alternatives = slices.DeleteFunc(r.alternatives, func(other alternative) bool {
		return other.entry.Incarnation == newer.Incarnation
	})
}

// takeBestAlternative removes and returns the newest alternative, or false if
// there is none.
func (r *record) takeBestAlternative() (alternative, bool) {
	if len(r.alternatives) == 0 {
		return alternative{}, false
	}
	best := slices.MaxFunc(r.alternatives, func(a, b alternative) int { return a.entry.compareVersion(&b.entry) })
	r.alternatives = slices.DeleteFunc(r.alternatives, func(other alternative) bool { return other.source == best.source })
	return best, true
}
