package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// drainNotice is how long a draining node still serves, so that other nodes
// and callers with open connections learn of the drain first.
const drainNotice = 1500 * time.Millisecond

// drain leaves the directory, then waits for running calls: first those of callers,
// then those of other nodes, then those of the backend server.
func (n *Node) drain() {
	n.logger.Info("node: draining")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.config.Settings.DrainTimeout))
	defer cancel()
	n.local.leaving.Store(true)
	n.membership.publish()
	n.callers.Drain()
	time.Sleep(drainNotice)
	n.shutdown(ctx, "callers", n.callers.Shutdown)
	if err := n.peers.Drain(ctx); err != nil {
		n.logger.Warn("node: calls of other nodes were cut", zap.Error(err))
	}
	n.shutdown(ctx, "shards", n.shards.Shutdown)
	n.shutdown(ctx, "backend server", n.backends.Shutdown)
	n.shutdown(ctx, "control", n.control.Shutdown)
	n.pool.Close()
	n.backendClient.Close()
	if err := n.metrics.Close(); err != nil {
		n.logger.Warn("node: metrics did not close", zap.Error(err))
	}
	n.logger.Info("node: drained")
}

func (n *Node) shutdown(ctx context.Context, what string, shutdown func(context.Context) error) {
	if err := shutdown(ctx); err != nil {
		n.logger.Warn("node: shutdown incomplete", zap.String("of", what), zap.Error(err))
	}
}
