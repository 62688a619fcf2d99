package node

import (
	"context"
	"time"

	"auburngap/commitment"
	"auburngap/request"
)

const (
	// lookupTimeout bounds the query to the owner of a key after a refusal.
	lookupTimeout = 300 * time.Millisecond
	// maxLookups bounds the concurrent queries, so that a flood of
	// refused requests stays cheap.
	maxLookups = 16
)

// confirmer ensures that a refused commitment is reported as "not run" only if the
// owner of its key confirms it, since an earlier request with the key may have run.
type confirmer struct {
	client  *commitment.Client
	next    request.Handler
	lookups chan struct{}
}

func newConfirmer(client *commitment.Client, next request.Handler) *confirmer {
	return &confirmer{client: client, next: next, lookups: make(chan struct{}, maxLookups)}
}

// Serve implements request.Handler.
func (c *confirmer) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	answer, err := c.next.Serve(ctx, call)
	if err == nil || !call.Commitment {
		return answer, err
	}
	refusal := request.AsRefusal(err)
	if refusal.Outcome != request.NotRun {
		return nil, refusal
	}
	return c.confirm(ctx, call, refusal)
}

// confirm answers a refused request by what the owner of its key knows.
func (c *confirmer) confirm(ctx context.Context, call *request.Call, refusal *request.Refusal) (*request.Answer, error) {
	keyed, invalid := newCommitment(call)
	if invalid != nil {
		return nil, refusal
	}
	decision := c.lookUp(ctx, keyed)
	switch decision.Verdict {
	case commitment.NotRun, commitment.BadKey:
		return nil, refusal
	case commitment.Unavailable:
		refusal.Outcome = request.Unknown
		return nil, refusal
	case commitment.Replay:
		return replay(decision)
	}
	known := decision.Refusal()
	known.Report = refusal.Report
	return nil, known
}

func (c *confirmer) lookUp(ctx context.Context, asked commitment.Request) commitment.Decision {
	select {
	case c.lookups <- struct{}{}:
		defer func() { <-c.lookups }()
	default:
		return commitment.Decision{Verdict: commitment.Unavailable}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	return c.client.Lookup(ctx, asked)
}
