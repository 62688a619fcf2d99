package roster

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/clock"
	"auburngap/kv"
	"auburngap/peer"
	"auburngap/peer/peerpb"
)

const (
	// queryTimeout is the timeout of a query to another node.
	queryTimeout = 700 * time.Millisecond
	// queryOverdueAfter is the time after which a query no longer keeps the node from
	// reading from another source.
	queryOverdueAfter = maxReplyDelay + 100*time.Millisecond
	// maxSourceAge is the age above which another node's view is rejected as a source.
	maxSourceAge = 3 * time.Second
	// maxIdleTime is the maximum time between two looks at whether a read has to start.
	maxIdleTime = time.Second
)

// Run reads from the chosen sources until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	var reads sync.WaitGroup
	defer reads.Wait()
	reads.Go(func() { f.syncUntil(ctx) })
	for ctx.Err() == nil {
		next, wait := f.nextRead()
		if next != nil {
			reads.Go(func() { f.readOnce(ctx, next) })
			continue
		}
		f.awaitRead(ctx, wait)
	}
	return nil
}

// awaitRead waits until a read ends, for a time or until ctx is done.
func (f *Follower) awaitRead(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.readEnded:
	case <-timer.C:
	}
}

// sourceRead is a read of a source.
type sourceRead struct {
	source Source
	// revision is that of the local view when the read began.
	revision  kv.Revision
	startedAt time.Duration
}

// nextRead returns the read to start, or how long there is none.
func (f *Follower) nextRead() (next *sourceRead, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refreshMembers(false) {
		f.notify()
	}
	now := f.config.Now()
	source, ok := f.sources.Next(now, f.members, f.isSuspect(), f.random)
	if !ok {
		latest := now + maxIdleTime
		if until := f.untilSuspect(now); until > 0 {
			latest = now + min(maxIdleTime, until)
		}
		return nil, f.sources.NextAt(now, latest) - now
	}
	overdueAt := now + queryOverdueAfter
	if source.IsService() {
		overdueAt = now + f.config.SuspectReadAfter
	}
	f.sources.Started(source, overdueAt)
	if f.waitingSince == 0 {
		f.waitingSince = now
	}
	return &sourceRead{source: source, revision: f.mirror.Revision(), startedAt: now}, 0
}

// readOnce does a read and, after a read of the service, pauses. The changes that a
// suspect source knows are applied too: they are correct, but may be incomplete.
func (f *Follower) readOnce(ctx context.Context, read *sourceRead) {
	defer f.endRead(read.source)
	delta, age, err := f.read(ctx, read.source, read.revision)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.handleFailure(read, err)
		if delta.Revision > read.revision {
			f.apply(read.source, delta, read.startedAt-age)
		}
		return
	}
	f.handleSuccess(read, delta, read.startedAt-age)
	if read.source.IsService() {
		clock.Sleep(ctx, f.startPause(read))
	}
}

// startPause returns the pause after a read of the service. Other reads do not start
// meanwhile.
func (f *Follower) startPause(read *sourceRead) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	pause := f.readPacer.pauseAfter(now - read.startedAt)
	f.sources.Started(read.source, now+pause+queryOverdueAfter)
	return pause
}

func (f *Follower) endRead(source Source) {
	f.mu.Lock()
	f.sources.Ended(source)
	f.mu.Unlock()
	select {
	case f.readEnded <- struct{}{}:
	default:
	}
}

// read returns the changes that a source knows after a revision, and the age of
// the source's view.
func (f *Follower) read(ctx context.Context, source Source, revision kv.Revision) (Delta, time.Duration, error) {
	if !source.IsService() {
		return f.query(ctx, source.Node, revision)
	}
	delta, err := f.readService(ctx, revision)
	if err != nil {
		return Delta{}, 0, err
	}
	if delta.Revision < revision {
		return Delta{}, 0, ErrStale.New("the service is at revision %v, before %v", delta.Revision, revision)
	}
	return delta, 0, nil
}

// readService returns the changes after a revision, or all entries if the service does not
// know the changes.
func (f *Follower) readService(ctx context.Context, revision kv.Revision) (Delta, error) {
	if revision > 0 {
		entries, at, err := f.config.Client.Watch(ctx, f.config.Prefix, revision)
		if !errorx.IsOfType(err, kv.ErrCompacted) {
			return Delta{Revision: at, Entries: entries}, err
		}
	}
	entries, at, err := f.config.Client.List(ctx, f.config.Prefix)
	return Delta{Whole: true, Revision: at, Entries: entries}, err
}

// query reads from another node. ErrStale is returned together with the changes that
// the node knows.
func (f *Follower) query(ctx context.Context, address netip.AddrPort, revision kv.Revision) (Delta, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	query := &peerpb.RosterQuery{Revision: uint64(revision), WaitMicros: maxReplyDelay.Microseconds()}
	var reply peerpb.RosterReply
	if err := f.config.Query(ctx, address, peer.KindRoster, query, &reply); err != nil {
		return Delta{}, 0, err
	}
	age := time.Duration(reply.GetAgeMicros()) * time.Microsecond
	delta := deltaFromReply(&reply)
	if delta.Revision.Era() < revision.Era() {
		return Delta{}, 0, ErrStale.New("the view of %s is of era %d, before %d", address, delta.Revision.Era(), revision.Era())
	}
	if age > maxSourceAge || reply.GetInDoubt() || reply.GetRevision() == 0 {
		return delta, age, ErrStale.New("the view of %s is %v old, in doubt: %t", address, age, reply.GetInDoubt())
	}
	return delta, age, nil
}

// handleSuccess records a successful read of a source and applies its delta, which was
// up to date at confirmedAt.
func (f *Follower) handleSuccess(read *sourceRead, delta Delta, confirmedAt time.Duration) {
	source := read.source
	f.mu.Lock()
	f.sources.Succeeded(source)
	if f.failing || f.mirror.Revision() == 0 || source.IsService() != f.source.IsService() {
		f.config.Logger.Info("roster: reading", zap.Stringer("from", source), zap.Bool("wasLost", f.failing), zap.Uint64("revision", delta.Revision.Number()), zap.Uint32("era", uint32(delta.Revision.Era())))
	}
	f.logContradictions(read, delta)
	f.failing, f.source = false, source
	if source.IsService() {
		f.queriedEra = delta.Revision.Era()
	}
	f.mu.Unlock()
	f.apply(source, delta, confirmedAt)
}

// logContradictions logs what a source says that contradicts what is known: that the service
// is in a new era, and entries of the service that are older than the known ones. The caller
// must hold the lock.
func (f *Follower) logContradictions(read *sourceRead, delta Delta) {
	known := f.mirror.Revision()
	if known > 0 && delta.Revision.Era() > known.Era() {
		f.config.Logger.Warn("roster: new era of the service", zap.Stringer("from", read.source),
			zap.Stringer("revision", delta.Revision), zap.Stringer("known", known))
	}
	if !read.source.IsService() {
		return
	}
	if ignored := f.mirror.olderEntries(delta.Entries); len(ignored) > 0 {
		known, _ := f.mirror.Entry(ignored[0].Key)
		f.config.Logger.Warn("roster: entries not taken", zap.Int("count", len(ignored)), zap.String("first", ignored[0].Key),
			zap.Stringer("revision", ignored[0].Revision), zap.Stringer("known", known.Revision))
	}
}

func (f *Follower) handleFailure(read *sourceRead, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	f.sources.Failed(now, read.source)
	if read.source.IsService() {
		f.serviceFailedAt = max(f.serviceFailedAt, read.startedAt)
	}
	if !f.failing {
		f.config.Logger.Warn("roster: no answer", zap.Stringer("from", read.source), zap.Duration("age", now-f.confirmedAt), zap.String("error", err.Error()))
	}
	f.failing = true
}
