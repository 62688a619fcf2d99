package node

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"auburngap/admission"
	"auburngap/commitment"
	"auburngap/request"
)

// localHandler takes calls for the backend server of this VM.
type localHandler struct {
	next      request.Handler
	announced *announcements
	guard     *guard
	fenceMu   sync.Mutex
	fence     *commitment.Fence
	// leaving is set when the node drains.
	leaving atomic.Bool
	// ready is closed once the node can serve the whole path.
	ready <-chan struct{}
}

// Serve implements request.Handler.
func (h *localHandler) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	announced, ok := h.announced.Current()
	if !ok || announced.Service != call.Service || !h.isReady() {
		return nil, request.RefuseUnsent(call, request.CauseNoBackend, 0)
	}
	if announced.Draining || h.leaving.Load() {
		return nil, h.refuse(request.RefuseUnsent(call, request.CauseDraining, 0), call)
	}
	place, refusal := h.guard.enter(ctx, call, announced.Service, announced.Slots)
	if refusal != nil {
		return nil, h.refuse(refusal, call)
	}
	if refusal := h.admitCommitment(call); refusal != nil {
		h.guard.leave(place, admission.Result{Kind: admission.Failed})
		return nil, h.refuse(refusal, call)
	}
	place.started = time.Now()
	answer, err := h.next.Serve(ctx, call)
	if err != nil {
		refusal := request.AsRefusal(err)
		h.guard.leave(place, admission.Result{Kind: admission.Failed})
		return nil, h.refuse(refusal, call)
	}
	return h.guarded(answer, place), nil
}

// admitCommitment checks a commitment's permission just before it runs.
func (h *localHandler) admitCommitment(call *request.Call) *request.Refusal {
	if !call.Commitment {
		return nil
	}
	permission, err := commitment.PermissionFromProto(call.Permission)
	if err != nil {
		return request.RefuseUnsent(call, request.CauseIdempotencyKey, 0)
	}
	h.fenceMu.Lock()
	defer h.fenceMu.Unlock()
	switch h.fence.Admit(permission, time.Now()) {
	case commitment.Admitted:
		return nil
	case commitment.Stale:
		return request.RefuseUnsent(call, request.CauseShardUnavailable, 0)
	}
	return request.Refuse(request.CauseOutcomeUnknown, request.Unknown, 0)
}

// isReady tells whether the calls that the backend server makes can be served.
func (h *localHandler) isReady() bool {
	select {
	case <-h.ready:
		return true
	default:
		return false
	}
}

// refuse adds this service's load to a refusal.
func (h *localHandler) refuse(refusal *request.Refusal, call *request.Call) *request.Refusal {
	load := h.guard.load(refusal.Cause == request.CauseDraining)
	load.Service = call.Service
	refusal.Report.Loads = request.MergeLoads(refusal.Report.Loads, []request.ServiceLoad{load})
	return refusal
}

// guarded makes the end of the answer leave the guard.
func (h *localHandler) guarded(answer *request.Answer, p *place) *request.Answer {
	report := answer.Report
	answer.Report = func() request.Report {
		r := report()
		r.Loads = request.MergeLoads(r.Loads, []request.ServiceLoad{h.guard.load(h.leaving.Load())})
		return r
	}
	answer.Body = &onClose{ReadCloser: answer.Body, closed: func() {
		h.guard.leave(p, resultOf(answer.Status, p, report().DownstreamTime))
	}}
	return answer
}

// onClose runs a function once, after its body was closed.
type onClose struct {
	io.ReadCloser
	closed func()
}

// Close implements io.Closer.
func (c *onClose) Close() error {
	err := c.ReadCloser.Close()
	if c.closed != nil {
		c.closed()
		c.closed = nil
	}
	return err
}

// resultOf tells the guard what the answer shows of the backend server.
func resultOf(status int, p *place, below time.Duration) admission.Result {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return admission.Result{Kind: admission.Refused}
	case status >= http.StatusInternalServerError:
		return admission.Result{Kind: admission.Failed}
	}
	own := max(time.Since(p.started)-below, time.Microsecond)
	return admission.Result{Kind: admission.Succeeded, Own: own}
}
