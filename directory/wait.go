package directory

import (
	"context"
	"math/rand/v2"
	"time"
)

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	interruptibleSleep(ctx, wait, nil)
}

// interruptibleSleep is like sleep, but also returns when interrupt is signaled.
func interruptibleSleep(ctx context.Context, wait time.Duration, interrupt <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-interrupt:
	case <-timer.C:
	}
}

// jitter returns a random duration below limit.
func jitter(limit time.Duration) time.Duration {
	return rand.N(max(1, limit))
}

// backoff is the wait between failed attempts. It doubles each time, and each
// wait is drawn between half of it and all of it.
type backoff struct {
	first, longest, next time.Duration
}

func (b *backoff) reset() { b.next = b.first }

func (b *backoff) wait(ctx context.Context) {
	b.next = max(b.next, b.first)
	sleep(ctx, b.next/2+jitter(b.next/2))
	b.next = min(2*b.next, b.longest)
}

func (d *Directory) newBackoff() *backoff {
	return &backoff{first: d.config.Timing.Retry, longest: d.config.Timing.MaxRetry}
}
