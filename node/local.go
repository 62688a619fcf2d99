package node

import (
	"context"

	"auburngap/request"
)

// localHandler takes calls for the backend server of this VM.
type localHandler struct {
	next      request.Handler
	announced *announcements
}

// Serve implements request.Handler.
func (h *localHandler) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	announced, ok := h.announced.Current()
	if !ok || announced.Service != call.Service {
		return nil, request.Refuse(request.CauseNoBackend, request.NotRun, 0)
	}
	if announced.Draining {
		return nil, request.Refuse(request.CauseDraining, request.NotRun, 0)
	}
	return h.next.Serve(ctx, call)
}
