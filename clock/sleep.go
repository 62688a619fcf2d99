package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns true. It returns false early if the context is
// cancelled first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
