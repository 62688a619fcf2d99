package roster

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strings"
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
	// replyWait is how long a node holds a query for a change.
	replyWait = 250 * time.Millisecond
	// queryTimeout bounds a query of another node.
	queryTimeout = 700 * time.Millisecond
	// oldAge is the age from which another node's view is refused as a source.
	oldAge = 3 * time.Second
	// failurePause is the pause after a failed read; it doubles with each further
	// one up to longestFailurePause.
	failurePause        = 30 * time.Millisecond
	longestFailurePause = 240 * time.Millisecond
)

// Asker sends a control message to another node.
type Asker func(ctx context.Context, address netip.AddrPort, kind peer.Kind, message, reply proto.Message) error

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Client kv.Client
	Ask    Asker
	VM     string
	Zone   string
	// Prefix covers the configuration's key and those of the members.
	Prefix string
	// ReadPatience is the time after which a read of the service is in doubt: a
	// watch's wait and the way.
	ReadPatience time.Duration
	// MemberPrefix begins the keys of members.
	MemberPrefix string
	// OnChange is told of every change, one at a time.
	OnChange func(View)
	// OnMalformed is told of entries that describe no node.
	OnMalformed func(error)
	Logger      *zap.Logger
}

// View is what a node knows of its site.
type View struct {
	Mirror  *Mirror
	Members []Member
}

// Follower keeps a node's view up to date.
type Follower struct {
	config FollowerConfig
	boot   clock.Boot
	// settling belongs to Run alone.
	settling settling

	mu      sync.Mutex
	mirror  *Mirror
	sources *Sources
	members []Member
	random  *rand.Rand
	// word is the time since boot at which the view was true at least.
	word time.Duration
	// due is when a read of the service that is under way is in doubt; zero for none.
	due time.Duration
	// failedAt is the time since boot of the last failed read of the service.
	failedAt time.Duration
	// lost is set while no source answers.
	lost bool
	// source is the last that answered.
	source Source
	// changed is closed at the next change.
	changed chan struct{}
	// malformed holds what was told of broken entries.
	malformed map[string]bool
}

// NewFollower returns a follower with an empty view.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{
		config:    config,
		mirror:    NewMirror(),
		sources:   NewSources(config.VM, config.Zone),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		changed:   make(chan struct{}),
		malformed: make(map[string]bool),
	}
}

// Word returns the time since boot at which the view was true at least; false
// before the first read.
func (f *Follower) Word() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.word, f.mirror.Revision() > 0
}

// Members returns the nodes that are listed.
func (f *Follower) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// Entry returns an entry by its key.
func (f *Follower) Entry(key string) (kv.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Entry(key)
}

// Run reads until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	wait := failurePause
	for ctx.Err() == nil {
		source, revision, ok := f.next()
		if ok && f.follow(ctx, source, revision) {
			wait = failurePause
			continue
		}
		clock.Sleep(ctx, wait)
		wait = min(2*wait, longestFailurePause)
	}
	return nil
}

// follow reads a source once and tells whether it is to be trusted. What one
// knows that is in doubt is true all the same, if not all.
func (f *Follower) follow(ctx context.Context, source Source, revision kv.Revision) bool {
	began := f.boot.Now()
	delta, age, err := f.read(ctx, source, revision)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		f.failed(source, err)
		if delta.Revision > revision {
			f.learn(delta, began-age)
		}
		return false
	}
	f.take(source, delta, began-age)
	if source.IsService() {
		clock.Sleep(ctx, f.settling.after(f.boot.Now()-began))
	}
	return true
}

// next returns the source to read and the revision that is known; false while
// each source has failed a moment ago.
func (f *Follower) next() (Source, kv.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh(false)
	now := f.boot.Now()
	source, ok := f.sources.Next(now, f.members, f.random)
	if ok && source.IsService() && f.due == 0 {
		f.due = now + f.config.ReadPatience
	}
	return source, f.mirror.Revision(), ok
}

// inDoubt tells whether the view may stand still: a read of the service has not
// come back in time, or has failed since the view was true.
func (f *Follower) inDoubt() bool {
	return f.due != 0 && f.boot.Now() > f.due || f.failedAt > f.word
}

// read returns what a source knows beyond a revision, and how old that may be.
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

// query asks another node. The error ErrOld comes with what it knows.
func (f *Follower) query(ctx context.Context, address netip.AddrPort, revision kv.Revision) (Delta, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	query := &peerpb.RosterQuery{Revision: uint64(revision), WaitMicros: replyWait.Microseconds()}
	var reply peerpb.RosterReply
	if err := f.config.Ask(ctx, address, peer.KindRoster, query, &reply); err != nil {
		return Delta{}, 0, err
	}
	age := time.Duration(reply.GetAgeMicros()) * time.Microsecond
	delta := deltaFromReply(&reply)
	if age > oldAge || reply.GetInDoubt() || reply.GetRevision() == 0 {
		return delta, age, ErrOld.New("the view of %s is %v old, in doubt: %t", address, age, reply.GetInDoubt())
	}
	return delta, age, nil
}

// take notes that a source answered and applies its delta, which was true at
// the time word.
func (f *Follower) take(source Source, delta Delta, word time.Duration) {
	f.mu.Lock()
	f.sources.Succeeded(source)
	f.due = 0
	if f.lost || f.mirror.Revision() == 0 || source.IsService() != f.source.IsService() {
		f.config.Logger.Info("roster: reading", zap.Stringer("from", source), zap.Bool("wasLost", f.lost), zap.Uint64("revision", uint64(delta.Revision)))
	}
	f.lost, f.source = false, source
	f.mu.Unlock()
	f.learn(delta, word)
}

// learn applies a delta that was true at the time word.
func (f *Follower) learn(delta Delta, word time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.mirror.Apply(f.boot.Now(), delta)
	f.word = max(f.word, word)
	if changed {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.refresh(changed)
}

// refresh makes the list of members anew where entries have changed or were given
// up, and tells of that.
func (f *Follower) refresh(changed bool) {
	if expired := f.mirror.Expire(f.boot.Now()); !expired && !changed {
		return
	}
	members, malformed := f.mirror.Members(func(key string) bool {
		return strings.HasPrefix(key, f.config.MemberPrefix)
	})
	f.members = members
	for _, err := range malformed {
		if !f.malformed[err.Error()] {
			f.malformed[err.Error()] = true
			f.config.OnMalformed(err)
		}
	}
	f.config.OnChange(View{Mirror: f.mirror, Members: f.members})
}

func (f *Follower) failed(source Source, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.boot.Now()
	f.sources.Failed(now, source)
	if source.IsService() {
		f.failedAt = now
	}
	if !f.lost {
		f.config.Logger.Warn("roster: no answer", zap.Stringer("from", source), zap.Duration("age", now-f.word), zap.String("error", err.Error()))
	}
	f.lost = true
}

// Answer serves a query of another node. It waits for a change, but not where
// its view is in doubt: the other node has to look elsewhere soon.
func (f *Follower) Answer(ctx context.Context, query *peerpb.RosterQuery) *peerpb.RosterReply {
	revision := kv.Revision(query.GetRevision())
	wait := min(time.Duration(query.GetWaitMicros())*time.Microsecond, replyWait)
	f.mu.Lock()
	changed, ready := f.changed, f.mirror.Revision() > revision || f.inDoubt()
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
	reply := replyFromDelta(f.mirror.Since(revision), f.boot.Now()-f.word)
	reply.InDoubt = f.inDoubt()
	return reply
}
