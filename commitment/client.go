package commitment

import (
	"context"
	"sync"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
	"auburngap/request"
)

const (
	// retryInterval is the pause between attempts to reach the owner of a key's
	// shard.
	retryInterval = 50 * time.Millisecond
	// notRunTimeout is how long Begin keeps asking about a key that may not run at
	// the moment.
	notRunTimeout = time.Second
	// notRunMaxAge is the oldest "not run" decision that is used. The owner that
	// gave it may have been replaced since, and the successor may have permitted a
	// run.
	notRunMaxAge = time.Second
	// finishTimeout is how long Finish keeps sending the outcome of a dispatch.
	finishTimeout = 10 * time.Second
)

// Peers sends messages to the owners of shards in all availability zones.
type Peers interface {
	// Begin asks the owner of the shard that is named in the message. An error
	// means that no answer was received.
	Begin(ctx context.Context, begin *peerpb.Begin) (*peerpb.BeginAnswer, error)
	// Finish sends an outcome to the owner of the shard that is named in the
	// message. An error means that no answer was received.
	Finish(ctx context.Context, finish *peerpb.Finish) (*peerpb.FinishAnswer, error)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Peers Peers
}

// Client asks the owners of shards for permissions, at the entry node of a
// request. It is safe for concurrent use.
type Client struct {
	config ClientConfig

	mu     sync.Mutex
	layout Layout
}

// NewClient returns a client that knows no shards until Apply is called.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config}
}

// Apply makes a bundle's layout the active one.
func (c *Client) Apply(index *bundle.Index) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layout = NewLayout(index)
}

// Layout returns the active layout.
func (c *Client) Layout() Layout {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.layout
}

// Begin asks the owner of the key's shard whether the request may run. It retries
// until a decision is made or the context ends. A permission that comes with Run
// must be used at most once and be followed by Finish.
func (c *Client) Begin(ctx context.Context, r Request) Decision {
	unanswered, startedAt := false, time.Now()
	for {
		decision, ok := c.beginOnce(ctx, r, false)
		unanswered = unanswered || !ok
		if isFinal(decision, time.Since(startedAt)) {
			return decision
		}
		select {
		case <-ctx.Done():
			if unanswered {
				go c.releaseUnanswered(r)
			}
			return decision
		case <-time.After(retryInterval):
		}
	}
}

// isFinal reports whether Begin returns the decision instead of asking again.
func isFinal(decision Decision, waited time.Duration) bool {
	switch decision.Verdict {
	case Unavailable:
		return false
	case NotRun:
		return waited >= notRunTimeout
	default:
		return true
	}
}

// beginOnce sends one Begin. It returns false if no answer was received; the owner
// may have permitted a dispatch nevertheless.
func (c *Client) beginOnce(ctx context.Context, r Request, lookupOnly bool) (Decision, bool) {
	layout := c.Layout()
	ownerShard, ok := layout.ShardID(r.Key)
	if !ok {
		return unavailable(), true
	}
	message := requestToProto(r, ownerShard, layout)
	message.Look = lookupOnly
	sentAt := time.Now()
	answer, err := c.config.Peers.Begin(ctx, message)
	if err != nil {
		return unavailable(), false
	}
	decision := decisionFromProto(answer)
	if decision.Verdict == NotRun && time.Since(sentAt) > notRunMaxAge {
		return unavailable(), true
	}
	return decision, true
}

// Lookup asks the owner of the key's shard once what it knows about the key,
// without asking for a permission. The verdict is never Run.
func (c *Client) Lookup(ctx context.Context, r Request) Decision {
	decision, _ := c.beginOnce(ctx, r, true)
	if decision.Verdict == Run {
		return unavailable()
	}
	return decision
}

// releaseUnanswered releases a permission whose answer was lost, so that the key
// does not stay in progress.
func (c *Client) releaseUnanswered(r Request) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if decision, ok := c.beginOnce(ctx, r, false); ok && decision.Verdict == Run {
		c.Finish(ctx, decision.Permission, request.NotRun, nil)
	}
}

// Finish sends the outcome of a dispatch to the owner. It retries until the owner
// has recorded the outcome or finishTimeout has passed, and reports whether it is
// recorded.
func (c *Client) Finish(ctx context.Context, p Permission, outcome request.Outcome, answer []byte) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	message := &peerpb.Finish{Permission: permissionToProto(p), Outcome: uint32(outcome), Answer: answer}
	for {
		confirmed, err := c.config.Peers.Finish(ctx, message)
		if err == nil && confirmed.GetRecorded() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryInterval):
		}
	}
}

// FinishUnknownAt records an unknown outcome of a dispatch at the deadline, unless
// the backend server's node has recorded an outcome before.
func (c *Client) FinishUnknownAt(p Permission, deadline time.Time) {
	time.AfterFunc(time.Until(deadline), func() {
		c.Finish(context.Background(), p, request.Unknown, nil)
	})
}
