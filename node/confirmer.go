package node

import (
	"context"
	"time"

	"auburngap/commitment"
	"auburngap/request"
)

const (
	// lookTimeout bounds the question to the owner of a key's shard after a refusal.
	lookTimeout = 300 * time.Millisecond
	// maxLooks bounds these questions at the same time, so that a flood of
	// refused requests stays cheap.
	maxLooks = 16
)

// confirmer sees that a refused commitment is called "not run" only where the
// owner of its key's shard says so: an earlier request with the key may have run.
type confirmer struct {
	client *commitment.Client
	next   request.Handler
	looks  chan struct{}
}

func newConfirmer(client *commitment.Client, next request.Handler) *confirmer {
	return &confirmer{client: client, next: next, looks: make(chan struct{}, maxLooks)}
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

// confirm answers a refused request by what the owner of its key's shard knows.
func (c *confirmer) confirm(ctx context.Context, call *request.Call, refusal *request.Refusal) (*request.Answer, error) {
	asked, invalid := newCommitment(call)
	if invalid != nil {
		return nil, refusal
	}
	ruling := c.look(ctx, asked)
	switch ruling.Verdict {
	case commitment.NotRun, commitment.BadKey:
		return nil, refusal
	case commitment.Unavailable:
		refusal.Outcome = request.Unknown
		return nil, refusal
	case commitment.Replay:
		return replay(ruling)
	}
	known := ruling.Refusal()
	known.Report = refusal.Report
	return nil, known
}

func (c *confirmer) look(ctx context.Context, asked commitment.Request) commitment.Decision {
	select {
	case c.looks <- struct{}{}:
		defer func() { <-c.looks }()
	default:
		return commitment.Decision{Verdict: commitment.Unavailable}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookTimeout)
	defer cancel()
	return c.client.Lookup(ctx, asked)
}
