package roster

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"auburngap/clock"
	"auburngap/kv"
	"auburngap/peer"
)

// QueryFunc sends a control message to the node at address and stores the answer in reply.
type QueryFunc func(ctx context.Context, address netip.AddrPort, kind peer.Kind, message, reply proto.Message) error

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Client kv.Client
	Query  QueryFunc
	VM     string
	Zone   string
	// FirstStart is set if no node of the site has run before, so that none knows more than
	// the service.
	FirstStart bool
	// Prefix is a common prefix of the configuration's key and of the keys of members.
	Prefix string
	// SuspectReadAfter is how long a read of the service may take until it is overdue: the
	// longest wait of a watch and the time of a round trip. The view is suspect if it has
	// not been confirmed for that time.
	SuspectReadAfter time.Duration
	// MemberPrefix is the prefix of the keys of members.
	MemberPrefix string
	// CompareOthers compares entries that are not those of nodes, such as the configuration's;
	// nil means that nothing tells their order.
	CompareOthers CompareFunc
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
	// Departed holds the runs of this VM's backend server that leave or have left.
	Departed []Departure
	// Settled is set once other nodes were asked what the service may lack.
	Settled bool
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
	// trustedAt is confirmedAt as of the last time that the view was settled, and isTrusted
	// is set once it was.
	trustedAt time.Duration
	isTrusted bool
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
	// queriedEra is the latest era that another node has named in a query since the last read
	// of the service.
	queriedEra kv.Era
	// departures holds the runs of backend servers that leave or have left.
	departures departureTable
	// hasEntered is set, and enteredEra is the era of the view, from the first list on.
	hasEntered bool
	enteredEra kv.Era
	// settled is set once other nodes were asked in enteredEra, and synced once one has
	// answered that could tell, or none is left that might.
	settled, synced bool
	// eraEntered receives a value when a sync has to start.
	eraEntered chan struct{}
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
		mirror:    NewMirror(config.MemberPrefix, config.CompareOthers),
		sources:   NewSourceSelector(config.VM, config.Zone),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		readEnded: make(chan struct{}, 1),
		changed:   make(chan struct{}),
		malformed: make(map[string]bool),

		eraEntered: make(chan struct{}, 1),
	}
}

// ConfirmedAt returns the latest time since boot at which the view is known to have been
// up to date; false before the first successful read. A list of a new era, such as the first
// one, confirms nothing until other nodes were asked: it may be from before what they know.
func (f *Follower) ConfirmedAt() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.trustedAt, f.isTrusted
}

// trust updates the time up to which the view is trusted. The caller must hold the lock.
func (f *Follower) trust() {
	if f.settled {
		f.trustedAt, f.isTrusted = f.confirmedAt, true
	}
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

// apply applies a delta that a source knows and that was up to date at confirmedAt. One that
// the view does not accept confirms nothing.
func (f *Follower) apply(source Source, delta Delta, confirmedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mirror.Accepts(delta) {
		return
	}
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
	hasRefreshed := f.refreshMembers(changed)
	hasEntered := f.enterEra()
	f.trust()
	if hasEntered || hasRefreshed {
		f.notify()
	}
}

// refreshMembers rebuilds the list of members if entries have changed or lapsed members have
// expired, and reports whether that is so. The caller must hold the lock.
func (f *Follower) refreshMembers(changed bool) bool {
	if expired := f.mirror.Expire(f.config.Now()); !expired && !changed {
		return false
	}
	members, malformed := f.mirror.Members()
	f.members = members
	f.reportMalformed(malformed)
	f.addMemberDepartures()
	return true
}

// notify calls OnChange, once there is a view. The caller must hold the lock.
func (f *Follower) notify() {
	if f.mirror.Revision() == 0 {
		return
	}
	f.config.OnChange(View{
		Mirror:         f.mirror,
		Members:        f.members,
		Departed:       f.departures.of(f.config.VM),
		Settled:        f.settled,
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
