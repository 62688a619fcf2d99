package roster

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"auburngap/clock"
	"auburngap/kv"
	"auburngap/peer"
	"auburngap/peer/peerpb"
)

const (
	// maxReplyDelay is how long a node waits for a change of its view before it answers
	// a query.
	maxReplyDelay = 250 * time.Millisecond
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

// QueryFunc sends a control message to the node at address and stores the answer in reply.
type QueryFunc func(ctx context.Context, address netip.AddrPort, kind peer.Kind, message, reply proto.Message) error

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Client kv.Client
	Query  QueryFunc
	VM     string
	Zone   string
	// Prefix is a common prefix of the configuration's key and of the keys of members.
	Prefix string
	// SuspectReadAfter is how long a read of the service may take until it is overdue: the
	// longest wait of a watch and the time of a round trip. The view is suspect if it has
	// not been confirmed for that time.
	SuspectReadAfter time.Duration
	// MemberPrefix is the prefix of the keys of members.
	MemberPrefix string
	// OnChange is called with the view after each change. Calls do not overlap.
	OnChange func(View)
	// OnMalformed is called with the key of an entry that describes no valid node and the
	// error, once until the key is removed or its entry is valid.
	OnMalformed func(key string, err error)
	Logger      *zap.Logger
	// Now is the clock; nil means the time since boot.
	Now func() time.Duration
}

// View is what a node knows about its site.
type View struct {
	Mirror  *Mirror
	Members []Member
	// Source is where the latest changes were read.
	Source Source
	// UnconfirmedFor is how long the view had not been confirmed before that read; zero
	// for the first view.
	UnconfirmedFor time.Duration
}

// Follower keeps a node's view up to date. It reads from the key-value service or
// from another node, and from a further source while a read takes too long.
type Follower struct {
	config FollowerConfig
	// readEnded receives a value when a read has ended.
	readEnded chan struct{}

	mu sync.Mutex
	// readPacer paces the reads of the service.
	readPacer readPacer
	mirror    *Mirror
	sources   *SourceSelector
	members   []Member
	random    *rand.Rand
	// confirmedAt is the latest time since boot at which the view is known to have been
	// up to date.
	confirmedAt time.Duration
	// confirmedBy is the source that the view was last confirmed by.
	confirmedBy Source
	// waitingSince is the time since boot at which the first read began since the view was
	// last confirmed at a later time; zero if none has.
	waitingSince time.Duration
	// serviceFailedAt is the time since boot at which the last failed read of the service
	// began.
	serviceFailedAt time.Duration
	// failing is set from a failed read until the next successful one.
	failing bool
	// source is the source of the last successful read.
	source   Source
	lastRead lastRead
	// changed is closed at the next change.
	changed chan struct{}
	// malformed holds the keys that OnMalformed was called with.
	malformed map[string]bool
}

// lastRead describes the read whose changes were applied last.
type lastRead struct {
	source Source
	// unconfirmedFor is how long the view had not been confirmed before; zero for the
	// first read.
	unconfirmedFor time.Duration
}

// NewFollower returns a follower with an empty view.
func NewFollower(config FollowerConfig) *Follower {
	if config.Now == nil {
		config.Now = clock.Boot{}.Now
	}
	return &Follower{
		config:    config,
		mirror:    NewMirror(config.MemberPrefix),
		sources:   NewSourceSelector(config.VM, config.Zone),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		readEnded: make(chan struct{}, 1),
		changed:   make(chan struct{}),
		malformed: make(map[string]bool),
	}
}

// ConfirmedAt returns the latest time since boot at which the view is known to have been
// up to date; false before the first successful read.
func (f *Follower) ConfirmedAt() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt, f.mirror.Revision() > 0
}

// Members returns the listed nodes in the order of their VMs.
func (f *Follower) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// Entry returns the entry of a key.
func (f *Follower) Entry(key string) (kv.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Entry(key)
}

// Run reads from the chosen sources until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	var reads sync.WaitGroup
	defer reads.Wait()
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
	f.refreshMembers(false)
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
	f.handleSuccess(read.source, delta, read.startedAt-age)
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

// isSuspect reports whether the view may be out of date: it has not been confirmed for
// too long, or a read of the service has failed since it was last confirmed.
func (f *Follower) isSuspect() bool {
	return f.untilSuspect(f.config.Now()) <= 0 || f.serviceFailedAt > f.confirmedAt
}

// untilSuspect returns how long it takes until the view is suspect if it is not confirmed
// before; zero or less if that time has passed. It takes longer to be confirmed through
// another node.
func (f *Follower) untilSuspect(now time.Duration) time.Duration {
	if f.waitingSince == 0 {
		return f.config.SuspectReadAfter
	}
	until := f.waitingSince + f.config.SuspectReadAfter - now
	if !f.confirmedBy.IsService() {
		until += maxReplyDelay
	}
	return until
}

// read returns the changes that a source knows after a revision, and the age of
// the source's view.
func (f *Follower) read(ctx context.Context, source Source, revision kv.Revision) (Delta, time.Duration, error) {
	if !source.IsService() {
		return f.query(ctx, source.Node, revision)
	}
	if revision > 0 {
		entries, at, err := f.config.Client.Watch(ctx, f.config.Prefix, revision)
		if err == nil {
			return Delta{Revision: at, Entries: entries}, 0, nil
		}
		if !errorx.IsOfType(err, kv.ErrCompacted) {
			return Delta{}, 0, err
		}
	}
	entries, at, err := f.config.Client.List(ctx, f.config.Prefix)
	if err != nil {
		return Delta{}, 0, err
	}
	return Delta{Whole: true, Revision: at, Entries: entries}, 0, nil
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
	if age > maxSourceAge || reply.GetInDoubt() || reply.GetRevision() == 0 {
		return delta, age, ErrStale.New("the view of %s is %v old, in doubt: %t", address, age, reply.GetInDoubt())
	}
	return delta, age, nil
}

// handleSuccess records a successful read of a source and applies its delta, which was
// up to date at confirmedAt.
func (f *Follower) handleSuccess(source Source, delta Delta, confirmedAt time.Duration) {
	f.mu.Lock()
	f.sources.Succeeded(source)
	if f.failing || f.mirror.Revision() == 0 || source.IsService() != f.source.IsService() {
		f.config.Logger.Info("roster: reading", zap.Stringer("from", source), zap.Bool("wasLost", f.failing), zap.Uint64("revision", uint64(delta.Revision)))
	}
	f.failing, f.source = false, source
	f.mu.Unlock()
	f.apply(source, delta, confirmedAt)
}

// apply applies a delta that a source knows and that was up to date at confirmedAt.
func (f *Follower) apply(source Source, delta Delta, confirmedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRead = lastRead{source: source}
	if f.mirror.Revision() > 0 {
		f.lastRead.unconfirmedFor = f.config.Now() - f.confirmedAt
	}
	changed := f.mirror.Apply(f.config.Now(), delta)
	if confirmedAt > f.confirmedAt {
		f.confirmedAt, f.confirmedBy, f.waitingSince = confirmedAt, source, 0
	}
	if changed {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.refreshMembers(changed)
}

// refreshMembers rebuilds the list of members and calls OnChange if entries have
// changed or lapsed members have expired. The caller must hold the lock.
func (f *Follower) refreshMembers(changed bool) {
	if expired := f.mirror.Expire(f.config.Now()); !expired && !changed {
		return
	}
	members, malformed := f.mirror.Members()
	f.members = members
	f.reportMalformed(malformed)
	f.config.OnChange(View{
		Mirror:         f.mirror,
		Members:        f.members,
		Source:         f.lastRead.source,
		UnconfirmedFor: f.lastRead.unconfirmedFor,
	})
}

// reportMalformed calls OnMalformed for the entries that were not malformed before. The
// caller must hold the lock.
func (f *Follower) reportMalformed(entries []malformedEntry) {
	before := f.malformed
	f.malformed = make(map[string]bool, len(entries))
	for _, entry := range entries {
		f.malformed[entry.key] = true
		if !before[entry.key] {
			f.config.OnMalformed(entry.key, entry.err)
		}
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

// Answer serves a query of another node. It waits for a change, but not longer than until
// its view is suspect: then the querying node should use another source soon.
func (f *Follower) Answer(ctx context.Context, query *peerpb.RosterQuery) *peerpb.RosterReply {
	revision := kv.Revision(query.GetRevision())
	wait := min(time.Duration(query.GetWaitMicros())*time.Microsecond, maxReplyDelay)
	f.mu.Lock()
	changed, ready := f.changed, f.mirror.Revision() > revision || f.isSuspect()
	wait = min(wait, f.untilSuspect(f.config.Now()))
	f.mu.Unlock()
	if !ready {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := replyFromDelta(f.mirror.Since(revision), f.config.Now()-f.confirmedAt)
	reply.InDoubt = f.isSuspect()
	return reply
}
