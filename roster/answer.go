package roster

import (
	"context"
	"time"

	"auburngap/kv"
	"auburngap/peer/peerpb"
)

// maxReplyDelay is how long a node waits for a change of its view before it answers
// a query.
const maxReplyDelay = 250 * time.Millisecond

// isSuspect reports whether the view may be out of date: it has not been confirmed for
// too long, a read of the service has failed since it was last confirmed, or the service is
// in a later era.
func (f *Follower) isSuspect() bool {
	return f.untilSuspect(f.config.Now()) <= 0 || f.serviceFailedAt > f.confirmedAt ||
		max(f.config.Client.Era(), f.queriedEra) > f.mirror.Revision().Era()
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

// Answer serves a query of another node. It waits for a change, but not longer than until
// its view is suspect: then the querying node should use another source soon.
func (f *Follower) Answer(ctx context.Context, query *peerpb.RosterQuery) *peerpb.RosterReply {
	revision := kv.Revision(query.GetRevision())
	wait := min(time.Duration(query.GetWaitMicros())*time.Microsecond, maxReplyDelay)
	f.mu.Lock()
	f.queriedEra = max(f.queriedEra, revision.Era())
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
