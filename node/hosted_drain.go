package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburngap/clock"
)

const (
	// drainServeTime is how long a stopping node still accepts calls for its backend
	// server, which no other node reaches meanwhile. The last calls have the rest of
	// the drain to end.
	drainServeTime = 2 * time.Second
	// minDrainTime is how long a stopping node still accepts requests, so that
	// callers learn that it stops from answers that close their connections.
	minDrainTime = 2800 * time.Millisecond
	// drainPoll is the time between two checks for calls that still run.
	drainPoll = 20 * time.Millisecond
)

// drainPhase is the phase of a stopping node.
type drainPhase int

const (
	// drainServing means that the node accepts calls for its backend server, but asks
	// callers to use other nodes.
	drainServing drainPhase = iota
	// drainLeaving means that the node accepts no calls for its backend server.
	drainLeaving
	// drainClosing means that the node accepts no requests either, and waits for those in
	// flight.
	drainClosing
)

// drainPhaseAt returns the phase of a node that began to stop elapsed ago.
func drainPhaseAt(elapsed time.Duration) drainPhase {
	switch {
	case elapsed < drainServeTime:
		return drainServing
	case elapsed < minDrainTime:
		return drainLeaving
	}
	return drainClosing
}

// drain stops accepting work in phases, waits for running calls, and closes idle
// connections.
func (h *Hosted) drain() {
	began := time.Now()
	h.logger.Info("node: draining", zap.Int64("requests", h.inFlight.Load()))
	ctx, cancel := context.WithTimeout(context.Background(), h.limits.Load().DrainTime)
	defer cancel()
	h.stopping.Store(true)
	h.callers.Drain()
	for clock.Sleep(ctx, drainPoll) {
		phase := drainPhaseAt(time.Since(began))
		if phase >= drainLeaving && !h.local.leaving.Swap(true) {
			h.local.guard.dropQueued()
			h.announced.signal()
		}
		if phase < drainClosing {
			continue
		}
		// A request that arrives from here on might not end in time.
		h.closing.Store(true)
		if h.inFlight.Load() == 0 && h.peers.Running() == 0 {
			break
		}
	}
	closing, cancelClosing := context.WithTimeout(context.Background(), drainPoll)
	defer cancelClosing()
	if err := h.callers.Shutdown(closing); err != nil {
		h.logger.Warn("node: requests were cut", zap.Int64("requests", h.inFlight.Load()), zap.String("error", err.Error()))
	}
	h.pool.Close()
	h.backendClient.Close()
	if err := h.metrics.Close(); err != nil {
		h.logger.Warn("node: metrics did not close", zap.String("error", err.Error()))
	}
	h.logger.Info("node: drained", zap.Duration("after", time.Since(began)))
}
