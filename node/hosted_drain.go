package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburngap/clock"
	"auburngap/request"
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
	// lastAnswerTime bounds how long a stopping node writes the last answers, after the
	// requests have ended.
	lastAnswerTime = 250 * time.Millisecond
	// drainRetryAfter is the delay after which a caller that a stopping node refuses
	// should retry. Other nodes can serve it at once.
	drainRetryAfter = 50 * time.Millisecond
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

// drainState is the state of a stopping node.
type drainState struct {
	began time.Time
	// end is when the requests that still run are given up.
	end time.Time
}

// phaseAt returns the phase at a time.
func (d drainState) phaseAt(now time.Time) drainPhase {
	switch elapsed := now.Sub(d.began); {
	case !now.Before(d.end):
		return drainClosing
	case elapsed < drainServeTime:
		return drainServing
	case elapsed < minDrainTime:
		return drainLeaving
	}
	return drainClosing
}

// accepts reports whether a request that arrives now can end before the drain does. That
// an idempotent request is given up is unlikely if it has its objective left, and its
// caller can retry it; any other request is accepted only if its deadline comes first.
func (d drainState) accepts(call *request.Call, now time.Time) bool {
	if d.phaseAt(now) == drainClosing {
		return false
	}
	latest := call.Context.Deadline
	if call.Idempotent && call.Objective > 0 && now.Add(call.Objective).Before(latest) {
		latest = now.Add(call.Objective)
	}
	return !latest.After(d.end)
}

// refuseLate refuses the requests that a stopping node might not answer in time, before
// anything is sent.
func (h *Hosted) refuseLate(next request.Handler) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, call *request.Call) (*request.Answer, error) {
		if drain := h.draining.Load(); drain != nil && !drain.accepts(call, time.Now()) {
			return nil, request.RefuseUnsent(call, request.CauseDraining, drainRetryAfter)
		}
		return next.Serve(ctx, call)
	})
}

// drain stops accepting work in phases, waits for running calls, and closes idle
// connections.
func (h *Hosted) drain() {
	began := time.Now()
	h.logger.Info("node: draining", zap.Int64("requests", h.inFlight.Load()))
	state := drainState{began: began, end: began.Add(h.limits.Load().DrainTime)}
	h.draining.Store(&state)
	h.callers.Drain()
	if cut := h.waitForCalls(state); cut > 0 {
		h.logger.Warn("node: requests were cut", zap.Int64("requests", cut))
	}
	h.close()
	h.logger.Info("node: drained", zap.Duration("after", time.Since(began)))
}

// waitForCalls returns once the node accepts no more requests and none runs, or when the
// drain has to end. It returns the number of those that still run.
func (h *Hosted) waitForCalls(state drainState) int64 {
	ctx, cancel := context.WithDeadline(context.Background(), state.end)
	defer cancel()
	for clock.Sleep(ctx, drainPoll) {
		phase := state.phaseAt(time.Now())
		if phase >= drainLeaving && !h.local.leaving.Swap(true) {
			h.local.guard.dropQueued()
			h.announced.signal()
		}
		if phase != drainClosing {
			continue
		}
		h.callers.StopPipelining()
		if h.running() == 0 {
			return 0
		}
	}
	return h.running()
}

// running returns the number of callers' connections that wait for an answer, and of
// calls that run.
func (h *Hosted) running() int64 {
	return max(h.inFlight.Load(), h.callers.Busy()) + int64(h.peers.Running())
}

// close ends the requests that still run, so that each is answered, and closes all
// connections.
func (h *Hosted) close() {
	h.callers.End()
	answering, cancel := context.WithTimeout(context.Background(), lastAnswerTime)
	defer cancel()
	for h.callers.Busy() > 0 && clock.Sleep(answering, drainPoll) {
	}
	if connections := h.callers.Busy(); connections > 0 {
		h.logger.Warn("node: callers have not closed their connections", zap.Int64("connections", connections))
	}
	closing, cancelClosing := context.WithTimeout(context.Background(), drainPoll)
	defer cancelClosing()
	// Connections that are still open then have no request, and end with the process.
	_ = h.callers.Shutdown(closing)
	h.pool.Close()
	h.backendClient.Close()
	if err := h.metrics.Close(); err != nil {
		h.logger.Warn("node: metrics did not close", zap.String("error", err.Error()))
	}
}
