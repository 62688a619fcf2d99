package node

import (
	"context"

	"auburngap/peer"
	"auburngap/request"
)

// router hands calls to the node of a backend server of their service.
type router struct {
	self       string
	local      request.Handler
	pool       *peer.Pool
	membership *membership
}

// Serve implements request.Handler.
func (r *router) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	for {
		answer, err := r.attempt(ctx, call)
		if err == nil {
			return answer, nil
		}
		refusal := request.AsRefusal(err)
		if !mayRetry(call, refusal) || ctx.Err() != nil {
			return nil, refusal
		}
		call.Context.RetryBudget = refusal.Report.UnspentRetries - 1
		call.Body = call.Replay()
	}
}

func (r *router) attempt(ctx context.Context, call *request.Call) (*request.Answer, error) {
	target, ok := r.membership.Pick(call.Service)
	if !ok {
		refusal := request.Refuse(request.CauseNoBackend, request.NotRun, 0)
		return nil, refusal
	}
	if target.VM == r.self {
		return r.local.Serve(ctx, call)
	}
	return r.pool.Call(ctx, target.Address, call)
}

// mayRetry tells whether a refused call may be sent again.
func mayRetry(call *request.Call, refusal *request.Refusal) bool {
	if call.Replay == nil || refusal.Report.UnspentRetries < 1 {
		return false
	}
	if refusal.Outcome == request.NotRun {
		return refusal.Cause == request.CauseNoBackend || refusal.Cause == request.CauseDraining
	}
	return call.Idempotent && refusal.Cause == request.CauseBackendFailed
}
