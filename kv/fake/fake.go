// Package fake is a small fake of the platform's key-value service for tests and
// the demo: in-process as a kv.Client, or over HTTP.
//
// # Usage
//
//	service := fake.New(fake.Config{Now: time.Now})
//	service.SetFaults(fake.Faults{Down: true})
//	entry, err := service.Get(ctx, "bundle/head") // kv.ErrUnavailable
//	calls := service.Counts()
//
//	saved := service.Copy()
//	service.Restore(saved)                        // what was written since is gone
//
//	err := fake.Serve(ctx, service, listener)     // the same over HTTP
//	admin := fake.Admin{Address: address}         // faults and counts over HTTP
//
// It keeps everything in memory and is not replicated. Leases expire by Config.Now,
// also while the service is down.
package fake

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"auburngap/kv"
)

// Config is the configuration of a Service.
type Config struct {
	// Now is the clock of the leases; nil means time.Now. After moving a manual
	// clock, call Expire to wake the watches.
	Now func() time.Time
	// LongestWait is the longest time that a watch waits; zero means
	// kv.DefaultLongestWait.
	LongestWait time.Duration
}

// Service is the key-value service. It is safe for concurrent use.
type Service struct {
	config Config

	mu        sync.Mutex
	revision  kv.Revision
	entries   map[string]kv.Entry // with a tombstone for each deleted key
	leases    map[kv.LeaseID]lease
	lastLease kv.LeaseID
	changed   chan struct{} // closed and replaced at each change
	faults    Faults
	counts    Counts
	// compactedBefore is the revision before which changes are forgotten.
	compactedBefore kv.Revision
	// era is the number of times that the service came back from a copy.
	era kv.Era

	peak               Peak
	currentSecond      int64  // the clock's current Unix second
	countsBeforeSecond Counts // the counts when currentSecond began
}

var _ kv.Client = (*Service)(nil)

// New returns an empty service.
func New(config Config) *Service {
	if config.Now == nil {
		config.Now = time.Now
	}
	config.LongestWait = cmp.Or(config.LongestWait, kv.DefaultLongestWait)
	return &Service{
		config:  config,
		entries: make(map[string]kv.Entry),
		leases:  make(map[kv.LeaseID]lease),
		changed: make(chan struct{}),
	}
}

// Era implements kv.Client.
func (s *Service) Era() kv.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Get implements kv.Client.
func (s *Service) Get(ctx context.Context, key string) (kv.Entry, error) {
	var found kv.Entry
	err := s.call(ctx, KindGet, key, func() error {
		entry, ok := s.entries[key]
		if !ok || entry.Deleted {
			return kv.ErrNotFound.New("no key %s", key)
		}
		found = clone(entry)
		return nil
	})
	return found, err
}

// List implements kv.Client.
func (s *Service) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	var found []kv.Entry
	var revision kv.Revision
	err := s.call(ctx, KindList, prefix, func() error {
		found = s.existingEntries(prefix)
		revision = s.revision
		return nil
	})
	return found, revision, err
}

// Put implements kv.Client.
func (s *Service) Put(ctx context.Context, put kv.PutRequest) (kv.Entry, error) {
	var written kv.Entry
	err := s.call(ctx, KindPut, put.Key, func() error {
		if err := s.checkPut(put); err != nil {
			return err
		}
		written = s.write(kv.Entry{
			Key:     put.Key,
			Value:   slices.Clone(put.Value),
			Lease:   put.Lease,
			Deleted: put.Delete,
		})
		return nil
	})
	if err != nil {
		return kv.Entry{}, err
	}
	return written, nil
}

func (s *Service) checkPut(put kv.PutRequest) error {
	switch {
	case put.Key == "":
		return kv.ErrInvalid.New("put without a key")
	case len(put.Value) > kv.MaxValueBytes:
		return kv.ErrInvalid.New("value of %s has %d bytes, more than the maximum of %d", put.Key, len(put.Value), kv.MaxValueBytes)
	case put.Delete && put.IfRevision == kv.Absent:
		return kv.ErrInvalid.New("delete of %s without the revision of the key", put.Key)
	}
	if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
		return kv.ErrNotFound.New("no lease %d", put.Lease)
	}
	revision := kv.Absent
	if entry, ok := s.entries[put.Key]; ok && !entry.Deleted {
		revision = entry.Revision
	}
	if revision != put.IfRevision {
		return kv.ErrConflict.New("key %s has revision %v, not %v", put.Key, revision, put.IfRevision)
	}
	return nil
}

// write stores an entry under the next revision and wakes the watches.
func (s *Service) write(entry kv.Entry) kv.Entry {
	s.revision++
	entry.Revision = s.revision
	if entry.Deleted {
		entry.Value, entry.Lease = nil, 0
	}
	s.entries[entry.Key] = entry
	s.wakeWatches()
	return clone(entry)
}

func (s *Service) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// existingEntries returns the entries under a prefix, ordered by key.
func (s *Service) existingEntries(prefix string) []kv.Entry {
	var found []kv.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) && !entry.Deleted {
			found = append(found, clone(entry))
		}
	}
	slices.SortFunc(found, func(a, b kv.Entry) int {
		return strings.Compare(a.Key, b.Key)
	})
	return found
}

func clone(entry kv.Entry) kv.Entry {
	entry.Value = slices.Clone(entry.Value)
	return entry
}
