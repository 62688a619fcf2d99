package roster

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// readersPerZone is how many nodes of a zone read from the service directly.
	readersPerZone = 2
	// minSourceBackoff is the backoff after a source's first failure. It doubles with each
	// further failure, up to maxSourceBackoff.
	minSourceBackoff = 300 * time.Millisecond
	maxSourceBackoff = 1200 * time.Millisecond
	// randomNodePause is the time between two queries of random nodes, so that a node that
	// is cut off does not query all others at once.
	randomNodePause = 240 * time.Millisecond
)

// Source is where a node reads its view from: the key-value service, or another
// node.
type Source struct {
	// Node is the address of the other node; invalid if the source is the service.
	Node netip.AddrPort
}

// IsService reports whether the source is the key-value service.
func (s Source) IsService() bool { return !s.Node.IsValid() }

// String returns the name of the source for logs.
func (s Source) String() string {
	if s.IsService() {
		return "key-value service"
	}
	return s.Node.String()
}

// SourceSelector chooses the sources that a node reads from. It is not safe for concurrent
// use.
type SourceSelector struct {
	vm, zone string
	backoffs map[Source]backoff
	// overdueAt holds the sources of the reads in progress, and when each read is overdue.
	// A read that is overdue does not keep other reads from starting.
	overdueAt map[Source]time.Duration
	// rotation changes which reader of the zone is tried first, so that a reader whose
	// view is out of date does not delay the nodes that read from it.
	rotation int
	// randomNodeAt is the time of the next query of a random node.
	randomNodeAt time.Duration
}

// backoff is the time for which a source is not read after a failure.
type backoff struct {
	until, duration time.Duration
}

// NewSourceSelector returns the SourceSelector of the node on vm in zone.
func NewSourceSelector(vm, zone string) *SourceSelector {
	return &SourceSelector{
		vm:        vm,
		zone:      zone,
		backoffs:  make(map[Source]backoff),
		overdueAt: make(map[Source]time.Duration),
	}
}

// Next returns the source to start a read of; false if a read is in progress that is not
// overdue, or if all sources have failed. It is the service for the zone's readers and for
// a node that knows no reader, and a reader of the zone for other nodes. If those have
// failed or are overdue it is the service, then any node. A node whose view is suspect
// reads from the service at once, whatever other reads are in progress.
func (s *SourceSelector) Next(now time.Duration, members []Member, isSuspect bool, random *rand.Rand) (Source, bool) {
	if isSuspect && s.usable(now, Source{}) {
		return Source{}, true
	}
	if s.isReading(now) {
		return Source{}, false
	}
	readers := s.readers(members)
	if len(readers) == 0 || s.isReader(readers) {
		if s.usable(now, Source{}) {
			return Source{}, true
		}
	}
	s.rotation++
	for i := range readers {
		reader := readers[(s.rotation+i)%len(readers)]
		if source := (Source{Node: reader.Address}); reader.VM != s.vm && s.usable(now, source) {
			return source, true
		}
	}
	if s.usable(now, Source{}) {
		return Source{}, true
	}
	if now < s.randomNodeAt {
		return Source{}, false
	}
	source, ok := s.any(now, members, random)
	if ok {
		s.randomNodeAt = now + randomNodePause
	}
	return source, ok
}

// isReading reports whether a read is in progress that is not overdue.
func (s *SourceSelector) isReading(now time.Duration) bool {
	for _, overdueAt := range s.overdueAt {
		if now < overdueAt {
			return true
		}
	}
	return false
}

// NextAt returns the earliest time after now at which Next may return another result
// without a further read having started or ended: a read is overdue, a backoff has ended,
// or a random node may be queried. It is not later than latest.
func (s *SourceSelector) NextAt(now, latest time.Duration) time.Duration {
	next := latest
	consider := func(at time.Duration) {
		if at > now {
			next = min(next, at)
		}
	}
	for _, overdueAt := range s.overdueAt {
		consider(overdueAt)
	}
	for _, backoff := range s.backoffs {
		consider(backoff.until)
	}
	consider(s.randomNodeAt)
	return next
}

// any returns a random usable node of any zone; false if there is none.
func (s *SourceSelector) any(now time.Duration, members []Member, random *rand.Rand) (Source, bool) {
	for _, i := range random.Perm(len(members)) {
		source := Source{Node: members[i].Address}
		if members[i].VM != s.vm && !members[i].Leaving && s.usable(now, source) {
			return source, true
		}
	}
	return Source{}, false
}

// readers returns the nodes of the zone that read from the service. The members
// must be in the order of their VMs, so that all nodes choose the same readers.
func (s *SourceSelector) readers(members []Member) []Member {
	var readers []Member
	for _, member := range members {
		if member.Zone == s.zone && !member.Leaving && len(readers) < readersPerZone {
			readers = append(readers, member)
		}
	}
	return readers
}

// isReader reports whether this node is among the readers.
func (s *SourceSelector) isReader(readers []Member) bool {
	for _, reader := range readers {
		if reader.VM == s.vm {
			return true
		}
	}
	return false
}

// usable reports whether a read of a source may start.
func (s *SourceSelector) usable(now time.Duration, source Source) bool {
	_, reading := s.overdueAt[source]
	return !reading && now >= s.backoffs[source].until
}

// Started records that a read of a source is in progress that is overdue at a time, or
// moves that time.
func (s *SourceSelector) Started(source Source, overdueAt time.Duration) {
	s.overdueAt[source] = overdueAt
}

// Ended records that no read of a source is in progress.
func (s *SourceSelector) Ended(source Source) {
	delete(s.overdueAt, source)
}

// Failed starts or extends the backoff of a source.
func (s *SourceSelector) Failed(now time.Duration, source Source) {
	duration := min(max(2*s.backoffs[source].duration, minSourceBackoff), maxSourceBackoff)
	s.backoffs[source] = backoff{until: now + duration, duration: duration}
}

// Succeeded resets the backoff of a source.
func (s *SourceSelector) Succeeded(source Source) {
	delete(s.backoffs, source)
}
