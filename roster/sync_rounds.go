package roster

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"auburngap/rendezvous"
)

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
