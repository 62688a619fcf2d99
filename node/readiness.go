package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburngap/bundle"
	"auburngap/clock"
)

const (
	// readinessPoll is the time between two checks.
	readinessPoll = 20 * time.Millisecond
	// readinessTimeout is how long a node that has caught up with its zone waits to learn
	// the backend servers and shard owners before it serves without them.
	readinessTimeout = 3 * time.Second
)

// readiness determines when a node that has started can serve requests end to end: it
// has an active bundle, has caught up with its zone, and knows the backend
// servers that its service calls and the owners of its zone's shards.
type readiness struct {
	node *Node
	done chan struct{}
}

func newReadiness(n *Node) *readiness {
	return &readiness{node: n, done: make(chan struct{})}
}

// wait returns true once the node is ready, or false if the context ends first.
func (r *readiness) wait(ctx context.Context) bool {
	select {
	case <-r.node.directory.CaughtUp():
	case <-ctx.Done():
		return false
	}
	caughtUp := time.Now()
	for ctx.Err() == nil {
		index := r.node.bundles.Index()
		if index != nil && (r.knowsAll(index) || time.Since(caughtUp) > readinessTimeout) {
			r.node.logger.Info("node: ready", zap.Duration("after", time.Since(caughtUp)))
			close(r.done)
			return true
		}
		clock.Sleep(ctx, readinessPoll)
	}
	return false
}

func (r *readiness) knowsAll(index *bundle.Index) bool {
	zone, ok := index.Zone(r.node.identity.Zone)
	if ok && !r.node.shards.KnowsOwners(zone) {
		return false
	}
	announced, ok := r.node.announced.Current()
	if !ok {
		return false
	}
	service, ok := index.Service(announced.Service)
	if !ok {
		return true
	}
	for _, name := range service.Calls {
		if len(r.node.directory.Targets(name)) == 0 {
			return false
		}
	}
	return true
}
