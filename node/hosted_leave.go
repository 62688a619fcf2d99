package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburngap/clock"
)

const (
	// leavePublishTimeout bounds how long a report that the backend server leaves waits for
	// the key-value service. The server waits a second for the acknowledgement.
	leavePublishTimeout = 500 * time.Millisecond
	// leaveSpreadAfter is how long the service has until other nodes are told.
	leaveSpreadAfter = 100 * time.Millisecond
	// leaveSpreadInterval is the time after which they are told again, as they may restart.
	leaveSpreadInterval = time.Second
)

// AwaitLeavePublished returns once the key-value service has what HandleLeave or a draining
// HandleReport has recorded, so that a later process on this VM learns of it, or after
// leavePublishTimeout. The caller then acknowledges the report in either case: the server
// leaves all the same. While the service does not take it, other nodes are told, whom a
// later process asks before it uses a server.
func (h *Hosted) AwaitLeavePublished() {
	ctx, cancel := context.WithTimeout(context.Background(), leavePublishTimeout)
	defer cancel()
	if h.isPublishedWithin(ctx, leaveSpreadAfter) {
		return
	}
	h.startSpreading()
	if !h.waitUntilPublished(ctx) {
		h.logger.Warn("backend: leaving acknowledged before it was published", zap.Int64("nodesTold", h.nodesTold.Load()))
	}
}

// startSpreading makes spreadDeparturesUntil tell other nodes.
func (h *Hosted) startSpreading() {
	select {
	case h.leaveUnpublished <- struct{}{}:
	default:
	}
}

// isPublishedWithin reports whether the service has the present state within a time.
func (h *Hosted) isPublishedWithin(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return h.waitUntilPublished(ctx)
}

// spreadDeparturesUntil tells other nodes that the backend server leaves, again and again
// until the key-value service has it, whenever that takes too long.
func (h *Hosted) spreadDeparturesUntil(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.leaveUnpublished:
		}
		h.nodesTold.Store(0)
		for ctx.Err() == nil {
			h.nodesTold.Store(int64(h.follower.SpreadDepartures(ctx)))
			startedAt := h.boot.Now()
			if h.isPublishedWithin(ctx, leaveSpreadInterval) {
				break
			}
			clock.Sleep(ctx, leaveSpreadInterval-(h.boot.Now()-startedAt))
		}
	}
}
