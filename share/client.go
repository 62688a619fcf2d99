package share

import (
	"context"
	"sync"
	"time"

	"auburngap/bundle"
	"auburngap/request"
)

// reportInterval is the delay before spent tokens are reported to their owners.
const reportInterval = 5 * time.Millisecond

// ClientConfig configures a Client.
type ClientConfig struct {
	// Zone is the node's availability zone.
	Zone  string
	Peers Peers
	Clock Clock
	// OnViolation is called with the name of an invariant that does not hold.
	OnViolation func(invariant string)
}

// Ticket identifies the token that a request has spent.
type Ticket struct {
	workspace string
	spend     Spend
}

// Client spends tokens for the requests that enter at one node. It is safe for
// concurrent use.
type Client struct {
	config ClientConfig

	mu     sync.Mutex
	cache  *TokenCache
	index  *bundle.Index
	rounds map[string]*round
	// reportScheduled is true while a report is scheduled.
	reportScheduled bool
}

// round is a series of draws for one workspace, with the requests that wait for it.
type round struct {
	done    chan struct{}
	waiting int
}

// NewClient returns a client that refuses all requests until Apply is called.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config,
		cache:  NewTokenCache(TokenCacheConfig{Zone: config.Zone, OnViolation: config.OnViolation}),
		rounds: make(map[string]*round),
	}
}

// Apply applies a bundle.
func (c *Client) Apply(index *bundle.Index) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = index
	c.cache.Apply(index)
}

// Take spends a token for one request of a workspace. If the node has no token,
// Take waits as long as the context allows while owners grant tokens. A refused
// request has not run.
func (c *Client) Take(ctx context.Context, workspace string) (Ticket, *request.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known(workspace) {
		return Ticket{}, refuse(0)
	}
	decision := c.cache.Take(workspace, c.config.Clock())
	// A newer request may take a token that was granted for one that waits, so Take
	// may wait for several rounds. It stops when an owner has no tokens.
	for decision.Verdict == Wait {
		if !c.await(ctx, workspace) {
			return Ticket{}, refuse(0)
		}
		decision = c.cache.Retake(workspace, c.config.Clock())
	}
	if decision.Verdict != Taken {
		return Ticket{}, refuse(decision.RetryAfter)
	}
	if decision.SendDraw {
		c.startRound(workspace)
	}
	return Ticket{workspace: workspace, spend: decision.Spend}, nil
}

func (c *Client) known(workspace string) bool {
	if c.index == nil {
		return false
	}
	_, ok := c.index.Workspace(workspace)
	return ok
}

func refuse(retryAfter time.Duration) *request.Refusal {
	return request.Refuse(request.CauseRate, request.NotRun, max(retryAfter, time.Millisecond))
}

// GiveBack returns the token of a request that ended without having run. It
// returns false if it is too late and the token stays spent.
func (c *Client) GiveBack(ticket Ticket) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known(ticket.workspace) {
		return false
	}
	return c.cache.GiveBack(ticket.workspace, ticket.spend, c.config.Clock())
}

// await unlocks the client and waits for the current round, or for a new one if
// there is none. It returns false if the context ended first.
func (c *Client) await(ctx context.Context, workspace string) bool {
	r := c.startRound(workspace)
	r.waiting++
	c.mu.Unlock()
	defer c.mu.Lock()
	select {
	case <-r.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// startRound starts a round of draws unless one is running.
func (c *Client) startRound(workspace string) *round {
	if r, ok := c.rounds[workspace]; ok {
		return r
	}
	r := &round{done: make(chan struct{})}
	c.rounds[workspace] = r
	go c.runRound(workspace, r)
	return r
}

// runRound asks the owner in the node's zone and, if it does not answer or cannot
// lend enough, the owners in other zones.
func (c *Client) runRound(workspace string, r *round) {
	for c.sendDraw(workspace, r) {
		c.pause(workspace)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.rounds, workspace)
	close(r.done)
}

// sendDraw sends one draw and reports whether another owner has to be asked.
func (c *Client) sendDraw(workspace string, r *round) bool {
	c.mu.Lock()
	draw := c.cache.Draw(workspace, r.waiting, c.config.Clock())
	index := c.index
	c.mu.Unlock()
	grant, ok := c.send(index, draw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		return c.cache.DrawFailed(workspace, draw.ID, c.config.Clock())
	}
	again := c.cache.HandleGrant(workspace, grant, c.config.Clock())
	c.scheduleReport()
	return again
}

// pause waits until owners that did not answer may be asked again.
func (c *Client) pause(workspace string) {
	c.mu.Lock()
	pause := c.cache.RetryDelay(workspace, c.config.Clock())
	c.mu.Unlock()
	time.Sleep(pause)
}

func (c *Client) send(index *bundle.Index, draw Draw) (Grant, bool) {
	return sendDraw(c.config.Peers, index, draw, answerTimeout)
}

// Close gives all tokens back. It is called in a graceful shutdown, after the
// last request.
func (c *Client) Close() {
	c.mu.Lock()
	draws := c.cache.Close(c.config.Clock())
	index := c.index
	c.mu.Unlock()
	for _, draw := range draws {
		c.send(index, draw)
	}
}

// scheduleReport schedules a report to the owners on spent and idle tokens.
func (c *Client) scheduleReport() {
	if c.reportScheduled || !c.cache.HasLoans() {
		return
	}
	c.reportScheduled = true
	time.AfterFunc(reportInterval, c.sendReports)
}

func (c *Client) sendReports() {
	c.mu.Lock()
	draws := c.cache.ReportDraws(c.config.Clock())
	index := c.index
	c.reportScheduled = false
	c.scheduleReport()
	c.mu.Unlock()
	for _, draw := range draws {
		go c.send(index, draw)
	}
}
