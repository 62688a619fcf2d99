package bundle

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"auburngap/kv"
)

// FollowerConfig is the configuration of a Follower.
type FollowerConfig struct {
	Client kv.Client
	// Roots are the operators in the node's settings, who sign the first version.
	Roots Trust
	// OnActivate is called with the index of each version that becomes active. Calls are
	// sequential and in ascending order of versions. It must not call Offer. It may be
	// nil.
	OnActivate func(*Index)
	// OnReject is called with offers that are forged or invalid. It may be nil.
	OnReject func(version uint64, err error)
}

// Follower keeps the bundles of one node: it reads the platform's store if the node is a
// relay, verifies what peers forward, and holds the index of the active version. Peers
// forward versions as proofs, which can be verified with the root trust alone. A Follower
// may be used concurrently.
type Follower struct {
	config FollowerConfig
	store  *Store
	index  atomic.Pointer[Index]

	offerMu   sync.Mutex // held during OnActivate, so that its calls are in order of versions
	trackerMu sync.Mutex
	tracker   *Tracker // of the versions offered to this node, up to the active one

	platformMu      sync.Mutex
	platformTracker *Tracker // of the versions in the platform's store
	platformProof   []byte   // of the latest version of platformTracker
}

// NewFollower returns a follower without any version.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{
		config:          config,
		store:           NewStore(StoreConfig{Client: config.Client, MaxAttempts: 1}),
		tracker:         NewTracker(config.Roots),
		platformTracker: NewTracker(config.Roots),
	}
}

// Index returns the index of the active version, or nil if there is none yet.
func (f *Follower) Index() *Index {
	return f.index.Load()
}

// ActiveVersion returns the number of the active version, or zero if there is none.
func (f *Follower) ActiveVersion() uint64 {
	if index := f.Index(); index != nil {
		return index.Bundle.Version
	}
	return 0
}

// Offer activates a version that the zone's relays hold (a majority of them). It ignores
// versions that are not above the active one, and refuses forged ones.
func (f *Follower) Offer(version uint64, proof []byte) {
	f.offerMu.Lock()
	defer f.offerMu.Unlock()
	if version <= f.ActiveVersion() {
		return
	}
	index, err := f.verifyAndActivate(version, proof)
	if err != nil {
		if f.config.OnReject != nil {
			f.config.OnReject(version, err)
		}
		return
	}
	if index != nil && f.config.OnActivate != nil {
		f.config.OnActivate(index)
	}
}

func (f *Follower) verifyAndActivate(version uint64, proof []byte) (*Index, error) {
	f.trackerMu.Lock()
	defer f.trackerMu.Unlock()
	if err := f.tracker.offerProof(version, proof); err != nil {
		return nil, err
	}
	index, changed := f.tracker.Activate(version)
	if !changed {
		return nil, nil
	}
	f.index.Store(index)
	return index, nil
}

// Verify reports whether a proof is a valid proof of a version; it returns nil if so. It
// changes no state. Versions not above the latest verified one pass, as they cannot change
// anything.
func (f *Follower) Verify(version uint64, proof []byte) error {
	f.trackerMu.Lock()
	trial := *f.tracker
	f.trackerMu.Unlock()
	trial.pending, trial.recent, trial.trustChanges = nil, nil, nil
	return trial.offerProof(version, proof)
}

// ProofSince returns the proof that brings a node from the given version to the latest one
// here, and its version: only the changes if they are still kept, otherwise the full
// proof. It returns zero if there is nothing newer.
func (f *Follower) ProofSince(version uint64) (uint64, []byte, error) {
	f.trackerMu.Lock()
	records := f.tracker.RecordsSince(version)
	f.trackerMu.Unlock()
	if len(records) == 0 {
		return 0, nil, nil
	}
	proof, err := encode(records)
	return records[len(records)-1].Header.Version, proof, err
}

// offerProof offers the records of a proof in their order.
func (t *Tracker) offerProof(version uint64, proof []byte) error {
	records, err := decodeStored[[]Record](proof)
	if err != nil {
		return err
	}
	if version == 0 || len(records) == 0 || records[len(records)-1].Header.Version != version {
		return ErrCorrupt.New("the data is not a proof of version %d", version)
	}
	for _, record := range records {
		result, err := t.Offer(record)
		if err != nil {
			return err
		}
		if result.NeedVersion != 0 {
			return ErrForged.New("the proof lacks the record of version %d", result.NeedVersion)
		}
	}
	return nil
}

// Head returns the newest version in the platform's store and its proof; zero if there is
// none. It makes a single call if nothing has changed.
func (f *Follower) Head(ctx context.Context) (uint64, []byte, error) {
	f.platformMu.Lock()
	defer f.platformMu.Unlock()
	before := f.platformTracker.LatestNumber()
	if err := f.store.CatchUp(ctx, f.platformTracker); err != nil {
		return 0, nil, err
	}
	if f.platformTracker.LatestNumber() > before {
		proof, err := encode(f.platformTracker.Proof())
		if err != nil {
			return 0, nil, err
		}
		f.platformProof = proof
	}
	return f.platformTracker.LatestNumber(), f.platformProof, nil
}

// Next waits for a version above the given one in the platform's store. It returns zero if
// the watch ends without one.
func (f *Follower) Next(ctx context.Context, above uint64) (uint64, []byte, error) {
	after := kv.Absent
	for {
		changes, revision, err := f.config.Client.Watch(ctx, KeyHead, after)
		compacted := errorx.IsOfType(err, kv.ErrCompacted)
		if compacted {
			changes, revision, err = f.config.Client.List(ctx, KeyHead)
		}
		if err != nil {
			return 0, nil, err
		}
		if len(changes) == 0 && !compacted {
			return 0, nil, nil
		}
		after = revision
		if version, proof, err := f.Head(ctx); err != nil || version > above {
			return version, proof, err
		}
	}
}
