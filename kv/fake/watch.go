package fake

import (
	"context"
	"slices"
	"strings"
	"time"

	"auburngap/kv"
)

// Watch implements kv.Client. It returns the latest state of each key that changed
// after the revision, ordered by revision. A waiting watch counts as one call. From a
// revision above the service's own it fails with kv.ErrCompacted.
func (s *Service) Watch(ctx context.Context, prefix string, after kv.Revision) ([]kv.Entry, kv.Revision, error) {
	era := s.Era()
	if err := s.enter(ctx, KindWatch); err != nil {
		return nil, 0, err
	}
	longest := time.NewTimer(s.config.LongestWait)
	defer longest.Stop()
	for {
		result := s.snapshotAfter(prefix, after)
		if result.era != era {
			return nil, 0, kv.ErrUnavailable.New("service came back from a copy")
		}
		if result.err != nil || len(result.entries) > 0 {
			return result.entries, result.revision, result.err
		}
		lapse := time.NewTimer(result.untilExpiry)
		select {
		case <-ctx.Done():
			lapse.Stop()
			return nil, 0, kv.ErrUnavailable.Wrap(ctx.Err(), "watch of %s ended", prefix)
		case <-longest.C:
			lapse.Stop()
			return nil, result.revision, nil
		case <-result.changed:
			lapse.Stop()
		case <-lapse.C:
		}
	}
}

type snapshot struct {
	entries     []kv.Entry
	revision    kv.Revision
	changed     <-chan struct{}
	untilExpiry time.Duration
	era         kv.Era
	err         error
}

func (s *Service) snapshotAfter(prefix string, after kv.Revision) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return snapshot{era: s.era, err: kv.ErrUnavailable.New("service is down")}
	}
	s.expire()
	if after < s.compactedBefore {
		return snapshot{era: s.era, err: kv.ErrCompacted.New("changes before revision %v are forgotten", s.compactedBefore)}
	}
	if after > s.revision {
		return snapshot{era: s.era, err: kv.ErrCompacted.New("revision %v is above %v, the service's own", after, s.revision)}
	}
	return snapshot{
		entries:     s.changedAfter(prefix, after),
		revision:    s.revision,
		changed:     s.changed,
		untilExpiry: s.untilExpiry(s.config.LongestWait),
		era:         s.era,
	}
}

func (s *Service) changedAfter(prefix string, after kv.Revision) []kv.Entry {
	var changed []kv.Entry
	for key, entry := range s.entries {
		if entry.Revision > after && strings.HasPrefix(key, prefix) {
			changed = append(changed, clone(entry))
		}
	}
	slices.SortFunc(changed, func(a, b kv.Entry) int {
		return int(a.Revision) - int(b.Revision)
	})
	return changed
}

// Compact forgets the changes so far. Watches from earlier revisions then fail with
// kv.ErrCompacted.
func (s *Service) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedBefore = s.revision
	s.wakeWatches()
}
