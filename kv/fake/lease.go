package fake

import (
	"context"
	"slices"
	"strings"
	"time"

	"auburngap/kv"
)

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Grant implements kv.Client.
func (s *Service) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	var granted kv.LeaseID
	err := s.call(ctx, KindGrant, "", func() error {
		if ttl <= 0 {
			return kv.ErrInvalid.New("ttl %s is not positive", ttl)
		}
		s.lastLease++
		granted = s.lastLease
		s.leases[granted] = lease{ttl: ttl, expires: s.config.Now().Add(ttl)}
		s.wakeWatches() // waiting watches must include the new lease's expiry
		return nil
	})
	if err != nil {
		return 0, err
	}
	return granted, nil
}

// Renew implements kv.Client.
func (s *Service) Renew(ctx context.Context, id kv.LeaseID) error {
	return s.call(ctx, KindRenew, "", func() error {
		held, ok := s.leases[id]
		if !ok {
			return kv.ErrNotFound.New("no lease %d", id)
		}
		held.expires = s.config.Now().Add(held.ttl)
		s.leases[id] = held
		return nil
	})
}

// Revoke implements kv.Client.
func (s *Service) Revoke(ctx context.Context, id kv.LeaseID) error {
	return s.call(ctx, KindRevoke, "", func() error {
		if _, ok := s.leases[id]; !ok {
			return kv.ErrNotFound.New("no lease %d", id)
		}
		s.endLease(id)
		return nil
	})
}

// Expire ends the expired leases and wakes the watches. Every call does so first, so
// only a manual clock and a server without calls need it.
func (s *Service) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

// Lapse ends one lease at once, as if its holder had not renewed it.
func (s *Service) Lapse(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// LapsePrefix ends the leases of all entries under a prefix.
func (s *Service) LapsePrefix(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.existingEntries(prefix) {
		if entry.Lease != 0 {
			s.endLease(entry.Lease)
		}
	}
}

func (s *Service) expire() {
	now := s.config.Now()
	var expired []kv.LeaseID
	for id, held := range s.leases {
		if !now.Before(held.expires) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		s.endLease(id)
	}
}

// endLease deletes a lease and its entries, ordered by key.
func (s *Service) endLease(id kv.LeaseID) {
	delete(s.leases, id)
	var keys []string
	for key, entry := range s.entries {
		if entry.Lease == id && id != 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	for _, key := range keys {
		s.write(kv.Entry{Key: key, Deleted: true})
	}
}

// untilExpiry returns the time until the next lease ends, at most longest.
func (s *Service) untilExpiry(longest time.Duration) time.Duration {
	now := s.config.Now()
	next := longest
	for _, held := range s.leases {
		next = min(next, held.expires.Sub(now))
	}
	return max(next, time.Millisecond)
}
