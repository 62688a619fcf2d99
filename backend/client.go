package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"auburngap/httpconn"
	"auburngap/request"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Tokens *Tokens
	// Announced returns the last announcement, or false if there is none.
	Announced func() (Announcement, bool)
	// Dialect replaces this project's own headers; nil keeps them.
	Dialect *httpconn.Dialect
	// Lineage records the running calls; nil if backend servers send tokens.
	Lineage *Lineage
	// IdleTimeout is how long a connection may be idle and still be reused; zero
	// means 30 s.
	IdleTimeout time.Duration
	// UnsafeIdleTimeout is the same for calls that must not be retried; with zero,
	// each of them gets a new connection.
	UnsafeIdleTimeout time.Duration
	// OnBroken is called with each answer that is not as HTTP requires, or not whole, and
	// why. It may be nil.
	OnBroken func(call *request.Call, reason error)
}

// Client sends calls to the backend server of this VM.
type Client struct {
	config      ClientConfig
	connections connections
}

// NewClient returns a client without connections.
func NewClient(config ClientConfig) *Client {
	if config.IdleTimeout == 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	return &Client{config: config, connections: connections{idleTimeout: config.IdleTimeout}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.connections.close()
}

// Serve implements request.Handler.
func (c *Client) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	announced, ok := c.config.Announced()
	if !ok || announced.Service != call.Service {
		return nil, request.Refuse(request.CauseNoBackend, request.NotRun, 0)
	}
	conn, err := c.connections.get(ctx, announced.Address, c.idleTimeout(call), call.AttemptID)
	if err != nil {
		return nil, refusalOf(ctx, request.CauseNoBackend, request.NotRun)
	}
	token, live, end := c.config.Tokens.Add(ctx, call)
	if c.config.Lineage != nil {
		endRun, endToken := c.config.Lineage.begin(live), end
		end = func() { endRun(); endToken() }
	}
	e := &exchange{
		client:         c,
		conn:           conn,
		address:        announced.Address,
		maxConnections: announced.Connections,
		liveCall:       live,
		end:            end,
	}
	e.instance = announced.Instance
	e.stop = context.AfterFunc(ctx, e.cancel)
	answer, err := e.run(call, token)
	switch {
	case err == nil && c.config.Dialect != nil:
		answer, err = e.checkAnswer(call, answer)
	case err == nil && failedAfterDeadline(call, answer):
		err = errFailedAfterDeadline
	}
	if err != nil {
		e.finish(e.ended && errors.Is(err, errNotExecuted) && e.namesAttempt(call) && conn.addRefused(call))
		return nil, e.refusalFor(ctx, err)
	}
	return answer, nil
}

// failedAfterDeadline reports whether an answer says only that the call's deadline
// has passed. The calls that a backend server makes end at the same deadline, and its
// failure answer may arrive before this node acts on the deadline. The outcome of a
// commitment is worth more than that, so a commitment's answer is kept.
func failedAfterDeadline(call *request.Call, answer *request.Answer) bool {
	failed := answer.Status >= http.StatusInternalServerError
	return failed && !call.Commitment && !time.Now().Before(call.Context.Deadline)
}

// idleTimeout returns how long the connection for a call may have been idle. The
// server may close an idle connection while a call is being sent on it, and some
// calls must not be retried.
func (c *Client) idleTimeout(call *request.Call) time.Duration {
	switch {
	case call.Commitment:
		return 0
	case c.config.Dialect != nil && !call.Idempotent:
		return c.config.UnsafeIdleTimeout
	}
	return c.config.IdleTimeout
}
