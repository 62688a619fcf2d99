package roster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburngap/kv"
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

// enterEra starts a sync if the view has reached another era, and reports whether it has.
// The caller must hold the lock.
//
// A list of the key-value service is complete within its era only: the service may have come
// back from an older copy, or lack what was acknowledged while it was away. So after its
// first list of each era, a node asks others. Its view is settled once one has replied that
// can tell, or once none is left to ask.
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
