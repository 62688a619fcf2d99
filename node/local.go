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

// localHandler serves calls for the backend server of this VM.
type localHandler struct {
	next      request.Handler
	announced *announcements
	guard     *guard
	fenceMu   sync.Mutex
	fence     *commitment.Fence
	// leaving is set when the node drains.
	leaving atomic.Bool
	// ready is closed once the node can serve requests end to end.
	ready <-chan struct{}
}

// Serve implements request.Handler.
func (h *localHandler) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	announced, ok := h.announced.Current()
	if !ok || announced.Service != call.Service || !h.isReady() {
		return nil, request.RefuseUnsent(call, request.CauseNoBackend, 0)
	}
	if announced.Draining || h.leaving.Load() {
		return nil, h.withLoad(request.RefuseUnsent(call, request.CauseDraining, 0), call)
	}
	admitted, refusal := h.guard.acquire(ctx, call, announced.Service, announced.Slots)
	if refusal != nil {
		return nil, h.withLoad(refusal, call)
	}
	if refusal := h.admitCommitment(call); refusal != nil {
		h.guard.release(admitted, admission.Result{Kind: admission.Failed})
		return nil, h.withLoad(refusal, call)
	}
	admitted.started = time.Now()
	answer, err := h.next.Serve(ctx, call)
	if err != nil {
		refusal := request.AsRefusal(err)
		h.guard.release(admitted, admission.Result{Kind: admission.Failed})
		return nil, h.withLoad(refusal, call)
	}
	return h.releaseOnClose(answer, admitted), nil
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

// isReady reports whether the calls that the backend server makes can be served.
func (h *localHandler) isReady() bool {
	select {
	case <-h.ready:
		return true
	default:
		return false
	}
}

// withLoad adds this service's load to a refusal.
func (h *localHandler) withLoad(refusal *request.Refusal, call *request.Call) *request.Refusal {
	load := h.guard.load(refusal.Cause == request.CauseDraining)
	load.Service = call.Service
	refusal.Report.Loads = request.MergeLoads(refusal.Report.Loads, []request.ServiceLoad{load})
	return refusal
}

// releaseOnClose releases the call at the guard when the answer's body is closed.
func (h *localHandler) releaseOnClose(answer *request.Answer, p *guardedCall) *request.Answer {
	report := answer.Report
	answer.Report = func() request.Report {
		r := report()
		r.Loads = request.MergeLoads(r.Loads, []request.ServiceLoad{h.guard.load(h.leaving.Load())})
		return r
	}
	answer.Body = &observedBody{ReadCloser: answer.Body, onClose: func() {
		h.guard.release(p, resultOf(answer.Status, p, report().DownstreamTime))
	}}
	return answer
}

// observedBody calls a function once, after the body was closed.
type observedBody struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (c *observedBody) Close() error {
	err := c.ReadCloser.Close()
	if c.onClose != nil {
		c.onClose()
		c.onClose = nil
	}
	return err
}

// resultOf returns what an answer shows about the backend server, for the guard.
func resultOf(status int, p *guardedCall, downstream time.Duration) admission.Result {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return admission.Result{Kind: admission.Refused}
	case status >= http.StatusInternalServerError:
		return admission.Result{Kind: admission.Failed}
	}
	latency := max(time.Since(p.started)-downstream, time.Microsecond)
	return admission.Result{Kind: admission.Succeeded, Own: latency}
}
