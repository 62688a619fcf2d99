package fake

import (
	"maps"
	"time"

	"auburngap/kv"
)

// Copy holds the data of a service as of one moment. It can be restored any number of
// times, also in another service.
type Copy struct {
	revision        kv.Revision
	entries         map[string]kv.Entry
	leases          map[kv.LeaseID]copiedLease
	lastLease       kv.LeaseID
	compactedBefore kv.Revision
}

// copiedLease is a lease and the time to live that it had left.
type copiedLease struct {
	ttl, left time.Duration
}

// Copy returns a copy of the data as of now.
func (s *Service) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	now := s.config.Now()
	leases := make(map[kv.LeaseID]copiedLease, len(s.leases))
	for id, held := range s.leases {
		leases[id] = copiedLease{ttl: held.ttl, left: held.expires.Sub(now)}
	}
	return Copy{
		revision:        s.revision,
		entries:         maps.Clone(s.entries), // values in the store are never changed in place
		leases:          leases,
		lastLease:       s.lastLease,
		compactedBefore: s.compactedBefore,
	}
}

// Restore replaces the data by that of a copy and raises the era by one, also while the
// service is down. Leases go on with the time to live that they had left, waiting watches
// fail with kv.ErrUnavailable, and the revisions and lease IDs after those of the copy are
// given out again. Faults and counts stay.
func (s *Service) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	s.era++
	s.revision, s.lastLease, s.compactedBefore = s.inEra(c.revision), c.lastLease, s.inEra(c.compactedBefore)
	s.entries = make(map[string]kv.Entry, len(c.entries))
	for key, entry := range c.entries {
		entry.Revision = s.inEra(entry.Revision)
		s.entries[key] = entry
	}
	s.leases = make(map[kv.LeaseID]lease, len(c.leases))
	for id, copied := range c.leases {
		s.leases[id] = lease{ttl: copied.ttl, expires: now.Add(copied.left)}
	}
	s.wakeWatches()
}

// inEra returns the revision of the service's era that has the number of another one.
func (s *Service) inEra(revision kv.Revision) kv.Revision {
	return kv.RevisionIn(s.era, revision.Number())
}
