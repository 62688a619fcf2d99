package node

import (
	"context"
	"time"

	"auburngap/admission"
	"auburngap/bundle"
	"auburngap/request"
	"auburngap/share"
)

// entry handles the requests of callers whose keys were checked: it limits each
// workspace to its rate, sheds whole requests under overload and passes on the
// others.
type entry struct {
	bundle func() *bundle.Index
	rates  rateLimiter
	gate   *gate
	next   request.Handler
}

// rateLimiter limits workspaces to their rates.
type rateLimiter interface {
	// take takes a token for one request. The returned function returns the token
	// if the request has not run.
	take(ctx context.Context, workspace string) (returnToken func(), refusal *request.Refusal)
}

// shardRates limits rates with tokens that are lent by the owners of shards.
type shardRates struct {
	client *share.Client
}

func (l shardRates) take(ctx context.Context, workspace string) (func(), *request.Refusal) {
	ticket, refusal := l.client.Take(ctx, workspace)
	if refusal != nil {
		return nil, refusal
	}
	return func() { l.client.GiveBack(ticket) }, nil
}

// Serve implements request.Handler.
func (e *entry) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	if call.Context.Workspace == "" {
		return e.serve(ctx, call)
	}
	returnToken, refusal := e.rates.take(ctx, call.Context.Workspace)
	if refusal != nil {
		refusal.Report.UnspentRetries = call.Context.RetryBudget
		return nil, setRetryAfter(call, refusal)
	}
	answer, err := e.serve(ctx, call)
	if err != nil && request.AsRefusal(err).Outcome == request.NotRun {
		returnToken()
	}
	return answer, err
}

// serve sheds or passes on a request that is within its workspace's rate.
func (e *entry) serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	index := e.bundle()
	weight := 1.0
	if workspace, ok := index.Workspace(call.Context.Workspace); ok {
		weight = workspace.Weight
	}
	if !e.gate.admit(call, weight, index) {
		return nil, setRetryAfter(call, request.RefuseUnsent(call, request.CauseOverload, 0))
	}
	answer, err := e.next.Serve(ctx, call)
	if err != nil {
		return nil, setRetryAfter(call, request.AsRefusal(err))
	}
	return answer, nil
}

// setRetryAfter sets when the caller of a request that has not run should retry: soon
// enough to be served within its latency objective, if that is known.
func setRetryAfter(call *request.Call, refusal *request.Refusal) *request.Refusal {
	if refusal.Outcome != request.NotRun || !isRetryable(refusal.Cause) {
		return refusal
	}
	backoff := jitter(admission.RetryAfterBase(call.Objective))
	switch {
	case refusal.RetryAfter <= 0:
		refusal.RetryAfter = backoff
	case call.Objective > 0:
		refusal.RetryAfter = min(refusal.RetryAfter, backoff)
	}
	return refusal
}

// isRetryable reports whether a request may get a token or a server when it
// is retried.
func isRetryable(cause request.Cause) bool {
	switch cause {
	case request.CauseRate, request.CauseOverload, request.CauseNoBackend, request.CauseDraining, request.CauseDeadline:
		return true
	}
	return false
}

// jitter varies a retry delay so that callers that were refused at the same time do not
// retry at the same time.
func jitter(base time.Duration) time.Duration {
	return admission.RetryAfter(base, newRandom())
}
