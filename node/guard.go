package node

import (
	"cmp"
	"context"
	"encoding/binary"
	"sync"
	"time"

	"auburngap/admission"
	"auburngap/bundle"
	"auburngap/request"
)

// guard runs the admission limiter beside this VM's backend server.
type guard struct {
	bundle func() *bundle.Index
	// config is the configuration of every limiter, except for its slots and margin.
	config admission.Config

	mu      sync.Mutex
	limiter *admission.Limiter
	service string
	slots   int
	expiry  *time.Timer
}

// guardedCall is a call that is queued or running at the guard.
type guardedCall struct {
	ticket admission.Ticket
	// wake receives CauseNone when a queued call starts, or the cause if it is dropped.
	wake chan request.Cause
	// started is when the call was handed to the backend server.
	started time.Time
}

func newGuard(index func() *bundle.Index, config admission.Config) *guard {
	g := &guard{bundle: index, config: config}
	g.expiry = time.AfterFunc(time.Hour, g.expire)
	g.expiry.Stop()
	return g
}

// hashOf returns a hash that is the same for a request ID at every hop.
func hashOf(id request.ID) uint32 {
	return binary.BigEndian.Uint32(id[12:])
}

// acquire returns once the call may start, or refuses it.
func (g *guard) acquire(ctx context.Context, call *request.Call, service string, slots int) (*guardedCall, *request.Refusal) {
	p := &guardedCall{wake: make(chan request.Cause, 1)}
	p.ticket = admission.Ticket{
		Priority:  call.Context.Priority,
		Workspace: call.Context.Workspace,
		Weight:    g.weight(call.Context.Workspace),
		Depth:     call.Context.Depth,
		Hash:      hashOf(call.Context.ID),
		Deadline:  call.Context.Deadline,
		Value:     p,
	}
	switch verdict := g.offer(p, service, slots); verdict.Action {
	case admission.Run:
		return p, nil
	case admission.Refuse:
		return nil, request.RefuseUnsent(call, verdict.Cause, time.Second)
	}
	// The refusal must reach the entry node before the call's deadline passes there.
	queueCtx, end := context.WithDeadline(ctx, call.Context.Deadline.Add(-refusalMargin))
	defer end()
	select {
	case cause := <-p.wake:
		if cause == request.CauseNone {
			return p, nil
		}
		return nil, request.RefuseUnsent(call, cause, time.Second)
	case <-queueCtx.Done():
		g.cancel(p)
		return nil, request.RefuseUnsent(call, causeOf(queueCtx), 0)
	}
}

// refusalMargin is how long before its deadline a queued call is refused.
const refusalMargin = 25 * time.Millisecond

// causeOf returns why a context has ended.
func causeOf(ctx context.Context) request.Cause {
	if ctx.Err() == context.DeadlineExceeded {
		return request.CauseDeadline
	}
	return request.CauseCancelled
}

func (g *guard) weight(workspace string) float64 {
	index := g.bundle()
	if index == nil {
		return 1
	}
	if w, ok := index.Workspace(workspace); ok {
		return w.Weight
	}
	return 1
}

// margin returns the margin by which the active bundle admits more than a service can
// serve.
func (g *guard) margin() float64 {
	if index := g.bundle(); index != nil {
		return index.Bundle.Policy.AdmissionMargin
	}
	return 0
}

func (g *guard) offer(p *guardedCall, service string, slots int) admission.Decision {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyAnnouncement(service, slots)
	decision, changes := g.limiter.Offer(&p.ticket, now)
	g.applyChanges(changes, now)
	return decision
}

// applyAnnouncement applies the announced service and slots of the backend server.
func (g *guard) applyAnnouncement(service string, slots int) {
	if g.limiter == nil || g.service != service {
		config := g.config
		config.Slots, config.Margin = slots, cmp.Or(g.margin(), config.Margin)
		g.limiter = admission.New(config)
		g.service = service
		g.slots = slots
	}
	if g.slots != slots {
		g.limiter.Announce(slots)
		g.slots = slots
	}
}

// release ends a call that ran.
func (g *guard) release(p *guardedCall, result admission.Result) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyChanges(g.limiter.Finish(&p.ticket, now, result), now)
}

// cancel ends a call whose caller no longer waits.
func (g *guard) cancel(p *guardedCall) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case cause := <-p.wake:
		if cause != request.CauseNone {
			return
		}
	default:
	}
	g.applyChanges(g.limiter.Cancel(&p.ticket, now), now)
}

// applyChanges wakes the calls that may start and those that were dropped.
func (g *guard) applyChanges(changes admission.Changes, now time.Time) {
	for _, ticket := range changes.Started {
		ticket.Value.(*guardedCall).wake <- request.CauseNone
	}
	for _, drop := range changes.Dropped {
		drop.Ticket.Value.(*guardedCall).wake <- drop.Cause
	}
	if next, ok := g.limiter.NextExpiry(); ok {
		g.expiry.Reset(max(next.Sub(now), 0))
	}
}

func (g *guard) expire() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyChanges(g.limiter.Expire(now), now)
}

// dropQueued drops the queued calls because the backend server accepts no more.
func (g *guard) dropQueued() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter != nil {
		g.applyChanges(g.limiter.Clear(now, request.CauseDraining), now)
	}
}

// load returns the load of this VM's backend server.
func (g *guard) load(draining bool) request.ServiceLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter == nil {
		return request.ServiceLoad{AdmitLevel: admission.FullLevel, Draining: draining}
	}
	return request.ServiceLoad{
		Service:    g.service,
		AdmitLevel: g.limiter.Level(time.Now()),
		InFlight:   g.limiter.Occupancy(),
		Limit:      g.limiter.Limit(),
		Draining:   draining,
	}
}
