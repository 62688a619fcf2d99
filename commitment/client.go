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
	// beginRetry is the pause between attempts to reach a key's home.
	beginRetry = 50 * time.Millisecond
	// notRunPatience is how long a key that may not run just now is tried again.
	notRunPatience = time.Second
	// notRunLife is how old a ruling may be that says "not run": a successor of
	// the owner that gave it may have permitted a run later on.
	notRunLife = time.Second
	// finishPatience is how long the end of a dispatch is sent again.
	finishPatience = 10 * time.Second
)

// Peers reaches the owners of home shards in all availability zones.
type Peers interface {
	// Begin sends to the owner of the shard that the message names; an error
	// means that no answer came.
	Begin(ctx context.Context, begin *peerpb.Begin) (*peerpb.BeginAnswer, error)
	// Finish does likewise.
	Finish(ctx context.Context, finish *peerpb.Finish) (*peerpb.FinishAnswer, error)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Peers Peers
}

// Client asks for permissions at the entry node of a request. It is safe for
// concurrent use.
type Client struct {
	config ClientConfig

	mu     sync.Mutex
	layout Layout
}

// NewClient returns a client that finds no home until Apply.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config}
}

// Apply puts a bundle into force.
func (c *Client) Apply(index *bundle.Index) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layout = NewLayout(index)
}

// Layout returns the layout in force.
func (c *Client) Layout() Layout {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.layout
}

// Begin asks the key's home whether the request may run, again and again while
// there is no owner, until the context ends. A ruling with Run must be used
// once at most and be followed by Finish.
func (c *Client) Begin(ctx context.Context, r Request) Ruling {
	ambiguous, began := false, time.Now()
	for {
		ruling, ok := c.try(ctx, r, false)
		ambiguous = ambiguous || !ok
		if final(ruling, time.Since(began)) {
			return ruling
		}
		select {
		case <-ctx.Done():
			if ambiguous {
				go c.abandon(r)
			}
			return ruling
		case <-time.After(beginRetry):
		}
	}
}

// final tells whether asking again is of no use.
func final(ruling Ruling, waited time.Duration) bool {
	switch ruling.Verdict {
	case Unavailable:
		return false
	case NotRun:
		return waited >= notRunPatience
	default:
		return true
	}
}

// try sends one Begin; false means that no answer came, and the owner may have
// permitted a dispatch all the same.
func (c *Client) try(ctx context.Context, r Request, look bool) (Ruling, bool) {
	layout := c.Layout()
	home, ok := layout.Home(r.Key)
	if !ok {
		return unavailable(), true
	}
	message := requestToProto(r, home, layout)
	message.Look = look
	asked := time.Now()
	answer, err := c.config.Peers.Begin(ctx, message)
	if err != nil {
		return unavailable(), false
	}
	ruling := rulingFromProto(answer)
	if ruling.Verdict == NotRun && time.Since(asked) > notRunLife {
		return unavailable(), true
	}
	return ruling, true
}

// Look asks the key's home once what is known of the key, and permits nothing.
// The verdict is never Run.
func (c *Client) Look(ctx context.Context, r Request) Ruling {
	ruling, _ := c.try(ctx, r, true)
	if ruling.Verdict == Run {
		return unavailable()
	}
	return ruling
}

// abandon gives back a permission whose answer was lost, so that the key does
// not stay in progress.
func (c *Client) abandon(r Request) {
	ctx, cancel := context.WithTimeout(context.Background(), finishPatience)
	defer cancel()
	if ruling, ok := c.try(ctx, r, false); ok && ruling.Verdict == Run {
		c.Finish(ctx, ruling.Permission, request.NotRun, nil)
	}
}

// Finish tells the owner how a dispatch ended, again and again until that is
// recorded or given up. It returns whether it is recorded.
func (c *Client) Finish(ctx context.Context, p Permission, outcome request.Outcome, answer []byte) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishPatience)
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
		case <-time.After(beginRetry):
		}
	}
}

// GiveUp records at the deadline that a dispatch has no known outcome, unless
// the node beside the backend server has recorded one by then.
func (c *Client) GiveUp(p Permission, deadline time.Time) {
	time.AfterFunc(time.Until(deadline), func() {
		c.Finish(context.Background(), p, request.Unknown, nil)
	})
}
