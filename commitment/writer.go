package commitment

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/kv"
	"auburngap/peer/peerpb"
)

// writer writes the journal of one shard, many keys per write. Its fields are
// guarded by the owner's mutex.
type writer struct {
	owner   *Owner
	shard   *ownedShard
	store   Store
	journal *Journal

	// loaded is true once the predecessor's journal has been restored,
	// revisionKnown while the revision of the stored journal is known. fenced is
	// true once a later owner has written the journal.
	loaded        bool
	revisionKnown bool
	fenced        bool
	revision      kv.Revision

	waiters []*waiter
	// running is true while a goroutine writes, pending if another write is due.
	running, pending bool
}

// waiter is a permission that waits until its key is in the journal.
type waiter struct {
	permission Permission
	done       chan struct{}
	ok         bool
}

func newWriter(o *Owner, s *ownedShard, store Store, now time.Time) *writer {
	return &writer{owner: o, shard: s, store: store, journal: NewJournal(o.config.Journal, o.config.Limits, now)}
}

// awaitWrite unlocks the owner's mutex and waits until the permission is in the
// journal. It returns false if the permission may not be in the journal.
func (w *writer) awaitWrite(ctx context.Context, p Permission) bool {
	waiting := &waiter{permission: p, done: make(chan struct{})}
	w.waiters = append(w.waiters, waiting)
	w.schedule()
	w.owner.mu.Unlock()
	defer w.owner.mu.Lock()
	select {
	case <-waiting.done:
		return waiting.ok
	case <-ctx.Done():
		return false
	}
}

// schedule marks a write as due and starts the writing goroutine if necessary.
func (w *writer) schedule() {
	w.pending = true
	if w.running || w.fenced {
		return
	}
	w.running = true
	go w.run()
}

// run writes until no write is due, at most once per WriteInterval.
func (w *writer) run() {
	for {
		if !w.writeOnce() {
			return
		}
		time.Sleep(w.journal.config.WriteInterval)
	}
}

// writeOnce does one write and reports whether another one is due.
func (w *writer) writeOnce() bool {
	err := w.syncRevision()
	if err == nil {
		err = w.writeState()
	}
	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()
	w.running = w.handleResult(err) && w.pending && w.isOwned()
	return w.running
}

// handleResult handles the result of a write and reports whether writing can
// continue. After a conflict another process has written the journal, so it is
// read again. After any other error the write is retried later.
func (w *writer) handleResult(err error) bool {
	switch {
	case err == nil:
		return true
	case errorx.IsOfType(err, kv.ErrConflict):
		w.revisionKnown = false
		w.pending = true
		return true
	default:
		w.handleFailure(err)
		return false
	}
}

// handleFailure refuses the waiting permissions and schedules a retry.
func (w *writer) handleFailure(err error) {
	w.revisionKnown = false
	w.journal.Failed(w.owner.config.Now())
	w.finishWaiters(w.waiters, false)
	w.waiters = nil
	w.owner.config.Log.Warn("commitment: journal not written", zap.Error(err),
		zap.String("zone", w.shardID().Zone), zap.Int("shard", w.shardID().Shard))
	time.AfterFunc(w.journal.config.Backoff, w.retryWrite)
}

func (w *writer) retryWrite() {
	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()
	if w.isOwned() {
		w.schedule()
	}
}

func (w *writer) shardID() ShardID { return w.shard.ledger.config.ShardID }

// isOwned reports whether the ownership that the writer writes for has not ended.
func (w *writer) isOwned() bool { return w.owner.shards[w.shardID().Shard] == w.shard }

func (w *writer) finishWaiters(waiters []*waiter, ok bool) {
	for _, waiting := range waiters {
		waiting.ok = ok
		if ok {
			w.shard.ledger.markRecorded(waiting.permission, true)
		}
		close(waiting.done)
	}
}

// syncRevision reads the stored journal if its revision is not known. The first
// time, it also restores the predecessor's journal.
func (w *writer) syncRevision() error {
	if w.revisionKnown {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.journal.config.WriteTimeout)
	defer cancel()
	state, revision, err := w.store.Load(ctx)
	if err != nil {
		return err
	}
	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()
	if state.GetEpoch() > w.shard.epoch {
		w.fenced = true
		return errFenced.New("a later owner has written the journal")
	}
	w.revision = revision
	w.revisionKnown = true
	if w.loaded {
		return nil
	}
	return w.takeOver(state)
}

// errFenced means that a later owner has acquired the shard.
var errFenced = errs.NewType("fenced")

// takeOver writes the predecessor's journal again with the local epoch, after
// which no predecessor can write any more, and restores it.
func (w *writer) takeOver(state *peerpb.JournalState) error {
	w.owner.mu.Unlock()
	state.Epoch = w.shard.epoch
	ctx, cancel := context.WithTimeout(context.Background(), w.journal.config.WriteTimeout)
	revision, err := w.store.Save(ctx, state, w.revision)
	cancel()
	w.owner.mu.Lock()
	if err != nil {
		return err
	}
	w.revision = revision
	w.loaded = true
	w.journal.Loaded(w.shard.ledger.RestoreJournal(state))
	return nil
}

// errLapsed means that the shard's lease is not live.
var errLapsed = errs.NewType("lapsed")

// writeState writes all records and hands out the permissions that wait for the
// write. The coverage is decided while the lease is live: a successor refuses all
// keys that a predecessor may have covered until then, and no others.
func (w *writer) writeState() error {
	w.owner.mu.Lock()
	// Read before the lease is checked, so that a pause after the check cannot
	// make it later.
	now := w.owner.config.Now()
	if w.owner.liveShard(w.shardID().Shard) != w.shard {
		w.owner.mu.Unlock()
		return errLapsed.New("the lease of the shard is not live")
	}
	waiters := w.waiters
	w.waiters = nil
	w.pending = false
	state, coverage := w.nextState(waiters, now)
	w.owner.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), w.journal.config.WriteTimeout)
	revision, err := w.store.Save(ctx, state, w.revision)
	cancel()
	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()
	w.finishWaiters(waiters, err == nil)
	if err != nil {
		return err
	}
	w.revision = revision
	w.journal.Written(coverage)
	return nil
}

// nextState returns the content and the coverage of the next write.
func (w *writer) nextState(waiters []*waiter, now time.Time) (*peerpb.JournalState, Coverage) {
	newest := time.Time{}
	for _, waiting := range waiters {
		newest = later(newest, waiting.permission.Key.CreatedAt())
	}
	coverage := w.journal.Next(w.shard.ledger.CompleteFrom(), newest, now)
	return w.shard.ledger.JournalState(coverage, w.journal.config.MaxBytes)
}
