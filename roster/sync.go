package roster

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/kv"
	"auburngap/peer"
	"auburngap/peer/peerpb"
	"auburngap/rendezvous"
)

const (
	// syncPeersPerRound is how many nodes are asked at once, half of them of the own zone
	// where it has as many.
	syncPeersPerRound = 4
	// maxSyncPeers is how many nodes are asked at most.
	maxSyncPeers = 16
	// syncQueryTimeout is the timeout of a query, and syncGrace how much longer the replies
	// of a round are awaited after one that settles the view.
	syncQueryTimeout = 300 * time.Millisecond
	syncGrace        = 100 * time.Millisecond
	// syncPause is the time between two rounds.
	syncPause = 100 * time.Millisecond
	// syncTimeout is how long a node asks until it believes its list without a reply. It goes
	// on asking, with syncRetryPause between two rounds.
	syncTimeout    = 3 * time.Second
	syncRetryPause = time.Second
)

// A list of the key-value service is not the whole truth for a node that knows nothing else:
// the service may have come back from an older copy, or may lack what was acknowledged while
// it was away. So after its first list of each era, a node asks other nodes. Its view is
// settled once one has replied that is settled itself, or once there is none left to ask.

// syncOutcome is what a query of another node has brought.
type syncOutcome int

const (
	// syncFailed means that there was no reply in time.
	syncFailed syncOutcome = iota
	// syncUnsettled means that the node knows no more than this one.
	syncUnsettled
	// syncSettled means that the node's view was settled.
	syncSettled
)

// enterEra starts a sync if the view has reached another era, and reports whether it has.
// The caller must hold the lock.
func (f *Follower) enterEra() bool {
	era := f.mirror.Revision().Era()
	if f.hasEntered && era == f.enteredEra {
		return false
	}
	isFirstStart := !f.hasEntered && f.config.FirstStart && !f.isListed()
	f.hasEntered, f.enteredEra = true, era
	f.synced = isFirstStart || len(f.rankedPeers()) == 0
	f.settled = f.synced
	if f.synced {
		return true
	}
	select {
	case f.eraEntered <- struct{}{}:
	default:
	}
	return true
}

// isListed reports whether a node of this VM has an entry: another process has run before.
// The caller must hold the lock.
func (f *Follower) isListed() bool {
	_, ok := f.mirror.Entry(f.config.MemberPrefix + f.config.VM)
	return ok
}

// syncUntil syncs the view in each era until ctx is done.
func (f *Follower) syncUntil(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.eraEntered:
		}
		for f.syncEra(ctx) {
		}
	}
}

// syncEra asks other nodes until the view is synced in the present era. It returns true if
// another era began meanwhile.
func (f *Follower) syncEra(ctx context.Context) bool {
	f.mu.Lock()
	era := f.enteredEra
	f.mu.Unlock()
	startedAt := f.config.Now()
	rounds := &syncRounds{follower: f, failures: make(map[string]int), unsettled: make(map[string]bool)}
	pause := syncPause
	for {
		round := rounds.ask(ctx)
		if round.isSettled {
			f.settle(era, startedAt, rounds, true)
			return false
		}
		if pause == syncPause && f.config.Now()-startedAt >= syncTimeout {
			f.settle(era, startedAt, rounds, false)
			pause = syncRetryPause
		}
		if !round.hasFailures {
			continue // the others have yet to be asked
		}
		select {
		case <-ctx.Done():
			return false
		case <-f.eraEntered:
			return true
		case <-time.After(pause):
		}
	}
}

// settle records that other nodes were asked in an era, and whether one has answered that
// could tell.
func (f *Follower) settle(era kv.Era, startedAt time.Duration, rounds *syncRounds, isAnswered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.enteredEra != era {
		return
	}
	f.settled, f.synced = true, isAnswered
	f.trust()
	log := f.config.Logger.Info
	if !isAnswered {
		log = f.config.Logger.Warn
	}
	failed, unsettled := rounds.counts()
	log("roster: other nodes asked", zap.Uint32("era", uint32(era)), zap.Bool("answered", isAnswered),
		zap.Int("failed", failed), zap.Int("unsettled", unsettled), zap.Duration("took", f.config.Now()-startedAt))
	f.notify()
}

// rankedPeers returns the other nodes in the order in which this node asks them, which
// alternates between its own zone and the others. Each process on a VM has the same order,
// so that a later one asks those that an earlier one told. The caller must hold the lock.
func (f *Follower) rankedPeers() []Member {
	ranker := rendezvous.New(f.config.VM)
	var ranked [2][]Member
	for _, member := range f.members {
		switch {
		case member.VM == f.config.VM || member.Leaving:
		case member.Zone == f.config.Zone:
			ranked[0] = append(ranked[0], member)
		default:
			ranked[1] = append(ranked[1], member)
		}
	}
	for _, members := range ranked {
		slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(ranker.Rank(a.VM), ranker.Rank(b.VM)) })
	}
	var peers []Member
	for i := range max(len(ranked[0]), len(ranked[1])) {
		for _, members := range ranked {
			if i < len(members) {
				peers = append(peers, members[i])
			}
		}
	}
	return peers[:min(len(peers), maxSyncPeers)]
}

// syncRounds asks other nodes in an era, some at a time.
type syncRounds struct {
	follower *Follower

	mu sync.Mutex
	// failures counts the failed queries of each VM.
	failures map[string]int
	// unsettled holds the VMs whose nodes know no more than this one.
	unsettled map[string]bool
}

// next returns the nodes to ask in this round: those with the fewest failures that may
// still settle the view.
func (r *syncRounds) next() []Member {
	r.follower.mu.Lock()
	peers := r.follower.rankedPeers()
	r.follower.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	peers = slices.DeleteFunc(peers, func(m Member) bool { return r.unsettled[m.VM] })
	slices.SortStableFunc(peers, func(a, b Member) int { return cmp.Compare(r.failures[a.VM], r.failures[b.VM]) })
	return peers[:min(len(peers), syncPeersPerRound)]
}

// counts returns how many nodes gave no reply, and how many know no more than this one.
func (r *syncRounds) counts() (failed, unsettled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.failures), len(r.unsettled)
}

// syncRound is the result of a round.
type syncRound struct {
	// isSettled is set if a reply settled the view, or if no node is left that may know more.
	isSettled bool
	// hasFailures is set if a node gave no reply.
	hasFailures bool
}

// ask asks some nodes at once.
func (r *syncRounds) ask(ctx context.Context) syncRound {
	peers := r.next()
	if len(peers) == 0 {
		return syncRound{isSettled: true}
	}
	outcomes := make(chan syncOutcome, len(peers))
	for _, member := range peers {
		go func() { outcomes <- r.askOne(ctx, member) }()
	}
	var round syncRound
	var grace <-chan time.Time
	for range peers {
		select {
		case outcome := <-outcomes:
			round.hasFailures = round.hasFailures || outcome == syncFailed
			if outcome == syncSettled && !round.isSettled {
				round.isSettled, grace = true, time.After(syncGrace)
			}
		case <-grace:
			return round
		}
	}
	return round
}

// askOne asks a node and applies its reply.
func (r *syncRounds) askOne(ctx context.Context, member Member) syncOutcome {
	outcome := r.follower.sync(ctx, member.Address)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case syncFailed:
		r.failures[member.VM]++
	case syncUnsettled:
		r.unsettled[member.VM] = true
	case syncSettled:
	}
	return outcome
}

// sync exchanges what this node and another one know.
func (f *Follower) sync(ctx context.Context, address netip.AddrPort) syncOutcome {
	ctx, cancel := context.WithTimeout(ctx, syncQueryTimeout)
	defer cancel()
	f.mu.Lock()
	query := &peerpb.SyncQuery{
		Revision:   uint64(f.mirror.Revision()),
		Departures: departuresToMessage(f.departures.of(f.config.VM)),
	}
	f.mu.Unlock()
	var reply peerpb.SyncReply
	if err := f.config.Query(ctx, address, peer.KindSync, query, &reply); err != nil {
		if errorx.IsOfType(err, peer.ErrBroken) && ctx.Err() == nil {
			return syncUnsettled // a node of an earlier version closes the stream
		}
		return syncFailed
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queriedEra = max(f.queriedEra, kv.Revision(reply.GetRevision()).Era())
	f.addDepartures(departuresFromMessage(reply.GetDepartures()))
	f.recover(address, entriesFromMessage(reply.GetEntries()))
	if f.isSettledBy(&reply) {
		return syncSettled
	}
	return syncUnsettled
}

// isSettledBy reports whether the view is settled by a reply. A node that was settled in the
// same era has told what it knew of earlier ones, and the list of the service has all since,
// however old that node's view is. Otherwise its view must have been up to date shortly
// before. The caller must hold the lock.
func (f *Follower) isSettledBy(reply *peerpb.SyncReply) bool {
	if !reply.GetUnsettled() && kv.Revision(reply.GetRevision()).Era() == f.enteredEra {
		return true
	}
	age := time.Duration(reply.GetConfirmedAgeMicros()) * time.Microsecond
	return age >= 0 && age <= maxSourceAge
}

// recover takes over what another node knows and the service has lost. The caller must hold
// the lock.
func (f *Follower) recover(address netip.AddrPort, entries []kv.Entry) {
	if !f.mirror.Recover(entries) {
		return
	}
	f.config.Logger.Warn("roster: newer entries of another node taken", zap.Stringer("from", address))
	f.lastRead.source = Source{Node: address}
	close(f.changed)
	f.changed = make(chan struct{})
	f.notify()
}

// AnswerSync serves a sync of the node of a VM.
func (f *Follower) AnswerSync(vm string, query *peerpb.SyncQuery) *peerpb.SyncReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queriedEra = max(f.queriedEra, kv.Revision(query.GetRevision()).Era())
	f.addDepartures(departuresFromMessage(query.GetDepartures()))
	age := time.Duration(-1) * time.Microsecond
	if f.isTrusted {
		age = f.config.Now() - f.trustedAt
	}
	return &peerpb.SyncReply{
		Revision:           uint64(f.mirror.Revision()),
		Unsettled:          !f.synced,
		Departures:         departuresToMessage(f.departures.latestFor(vm)),
		ConfirmedAgeMicros: age.Microseconds(),
		Entries:            entriesToMessage(f.unlistedAt(kv.Revision(query.GetRevision()))),
	}
}

// unlistedAt returns the entries that are not those of nodes and that a list of the service
// at a revision may lack. The caller must hold the lock.
func (f *Follower) unlistedAt(revision kv.Revision) []kv.Entry {
	return slices.DeleteFunc(f.mirror.Others(), func(e kv.Entry) bool {
		return e.Revision.Era() == revision.Era() && e.Revision <= revision
	})
}

// AddDeparture records that a run of this VM's backend server leaves.
func (f *Follower) AddDeparture(departure Departure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departures.add(departure)
}

// SpreadDepartures tells other nodes which runs of this VM's backend server have left, and
// returns how many know it.
func (f *Follower) SpreadDepartures(ctx context.Context) int {
	f.mu.Lock()
	peers := f.rankedPeers()
	f.mu.Unlock()
	peers = peers[:min(len(peers), syncPeersPerRound)]
	outcomes := make(chan syncOutcome, len(peers))
	for _, member := range peers {
		go func() { outcomes <- f.sync(ctx, member.Address) }()
	}
	told := 0
	for range peers {
		if <-outcomes != syncFailed {
			told++
		}
	}
	return told
}

// addDepartures records departures that other nodes know of, and calls OnChange if one is
// of this VM's backend server. The caller must hold the lock.
func (f *Follower) addDepartures(departures []Departure) {
	isOwn := false
	for _, departure := range departures {
		if f.departures.add(departure) && departure.VM == f.config.VM {
			isOwn = true
		}
	}
	if isOwn {
		f.notify()
	}
}

// addMemberDepartures records the backend servers that members publish as leaving. The
// caller must hold the lock.
func (f *Follower) addMemberDepartures() {
	for _, member := range f.members {
		if member.Backend != nil && member.Backend.Draining {
			f.departures.add(Departure{VM: member.VM, Instance: member.Backend.Instance, Started: member.Backend.Started})
		}
	}
}
