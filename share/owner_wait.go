package share

import (
	"context"
	"time"
)

const (
	// borrowTimeout is how long a draw waits for tokens to accrue or to come from
	// other zones. It must be shorter than answerTimeout.
	borrowTimeout = 60 * time.Millisecond
	// minWait is the minimum time before a waiting draw looks at its lender again.
	minWait = time.Millisecond
)

// waitForTokens unlocks and waits until the lender has enough tokens for this
// draw and those before it, or until borrowTimeout. Meanwhile lenders of other
// zones are asked and tokens accrue.
func (o *Owner) waitForTokens(ctx context.Context, s *ownedShard, draw Draw) {
	w := s.queue(draw.Workspace).join(draw.Need)
	defer s.leave(draw.Workspace, w)
	end := o.config.Clock() + borrowTimeout
	for ctx.Err() == nil {
		done := o.nextCheck(s, draw.Workspace, w, end)
		if done == nil {
			return
		}
		o.await(ctx, done)
	}
}

// nextCheck returns a channel that closes when the draw should look at its lender
// again, nil if it should stop waiting.
func (o *Owner) nextCheck(s *ownedShard, workspace string, w *waiter, end time.Duration) chan struct{} {
	now := o.config.Clock()
	queue := s.queue(workspace)
	due := queue.needUpTo(w)
	if s.lender.Available(workspace, now) >= due-wholeTolerance {
		return nil
	}
	if done := o.startBorrowing(s, workspace, queue.totalNeed(), now); done != nil {
		return done
	}
	wait := max(minWait, s.lender.AccrualWait(workspace, due, now))
	if wait > end-now {
		return nil
	}
	return after(wait)
}

// after returns a channel that closes after the given time.
func after(wait time.Duration) chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(wait, func() { close(done) })
	return done
}

// await unlocks the owner and waits until done closes or the context ends.
func (o *Owner) await(ctx context.Context, done chan struct{}) {
	o.mu.Unlock()
	defer o.mu.Lock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *ownedShard) queue(workspace string) *queue {
	return getOrCreate(s.queues, workspace)
}

func (s *ownedShard) leave(workspace string, w *waiter) {
	q := s.queue(workspace)
	q.leave(w)
	if len(q.waiters) == 0 {
		delete(s.queues, workspace)
	}
}
