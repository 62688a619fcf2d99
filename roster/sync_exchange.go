package roster

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/kv"
	"auburngap/peer"
	"auburngap/peer/peerpb"
)

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

// sync asks the node at an address and reports what that has brought.
func (f *Follower) sync(ctx context.Context, address netip.AddrPort) syncOutcome {
	ctx, cancel := context.WithTimeout(ctx, syncQueryTimeout)
	defer cancel()
	reply, err := f.exchange(ctx, address)
	switch {
	case err == nil && f.isSettledBy(reply):
		return syncSettled
	case err == nil:
		return syncUnsettled
	case errorx.IsOfType(err, peer.ErrBroken) && ctx.Err() == nil:
		return syncUnsettled // a node of an earlier version closes the stream
	}
	return syncFailed
}

// exchange tells the node at an address what this one knows, and takes over what that one
// knows.
func (f *Follower) exchange(ctx context.Context, address netip.AddrPort) (*peerpb.SyncReply, error) {
	f.mu.Lock()
	query := &peerpb.SyncQuery{
		Revision:   uint64(f.mirror.Revision()),
		Departures: departuresToMessage(f.departures.of(f.config.VM)),
	}
	f.mu.Unlock()
	var reply peerpb.SyncReply
	if err := f.config.Query(ctx, address, peer.KindSync, query, &reply); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queriedEra = max(f.queriedEra, kv.Revision(reply.GetRevision()).Era())
	f.addDepartures(departuresFromMessage(reply.GetDepartures()))
	f.recover(address, entriesFromMessage(reply.GetEntries()))
	return &reply, nil
}

// isSettledBy reports whether the view is settled by a reply. A node that was settled in the
// same era has told what it knew of earlier ones, and the list of the service has all since,
// however old that node's view is. Otherwise its view must have been up to date shortly
// before.
func (f *Follower) isSettledBy(reply *peerpb.SyncReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
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
