package bundle

import (
	"context"

	"github.com/joomcode/errorx"

	"auburngap/kv"
)

// CatchUp brings a tracker to the newest version in the platform's store. It reads only
// the records that the tracker lacks: one for each version, or, if the tracker is far
// behind, the last full record and those after it.
func (s *Store) CatchUp(ctx context.Context, tracker *Tracker) error {
	head, _, err := s.head(ctx)
	if err != nil {
		return err
	}
	for tracker.LatestNumber() < head.Version {
		if err := s.offerVersion(ctx, tracker, nextToRead(tracker.LatestNumber(), head.Version)); err != nil {
			return err
		}
	}
	return nil
}

// nextToRead returns the version to read next on the way from latest to head.
func nextToRead(latest, head uint64) uint64 {
	lastFull := (head-1)/fullRecordInterval*fullRecordInterval + 1
	return max(latest+1, lastFull)
}

func (s *Store) offerVersion(ctx context.Context, tracker *Tracker, version uint64) error {
	record, err := s.Record(ctx, version)
	if errorx.IsOfType(err, kv.ErrNotFound) {
		return ErrCorrupt.New("the platform has no record of version %d", version)
	}
	if err != nil {
		return err
	}
	result, err := tracker.Offer(record)
	if errorx.IsOfType(err, ErrBaseMismatch) {
		return s.offerFull(ctx, tracker, version)
	}
	if err != nil || result.NeedVersion == 0 {
		return err
	}
	if err := s.offerFull(ctx, tracker, result.NeedVersion); err != nil {
		return err
	}
	return s.offerVersion(ctx, tracker, version)
}

// offerFull offers the full record of a version that need not follow the one held.
func (s *Store) offerFull(ctx context.Context, tracker *Tracker, version uint64) error {
	loaded, err := s.Load(ctx, version)
	if err != nil {
		return err
	}
	result, err := tracker.Offer(loaded.FullRecord())
	if err != nil || result.NeedVersion == 0 {
		return err
	}
	if err := s.offerFull(ctx, tracker, result.NeedVersion); err != nil {
		return err
	}
	_, err = tracker.Offer(loaded.FullRecord())
	return err
}
