package backend

import (
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"auburngap/httpconn"
	"auburngap/request"
)

var testDialect = &httpconn.Dialect{
	AttemptID: "X-Attempt",
	Timeout:   "X-Time",
	Workspace: "X-Workspace",
	Instance:  "X-Instance",
	Caller:    "X-Caller",
	NotRun:    "X-Not-Run",
}

// serveCountingConnections serves a handler. It returns a client and the number of
// connections that the client has made.
func serveCountingConnections(t *testing.T, handler fasthttp.RequestHandler, dialect *httpconn.Dialect) (*Client, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	connections := &atomic.Int64{}
	server := &fasthttp.Server{Handler: handler, ConnState: func(_ net.Conn, state fasthttp.ConnState) {
		if state == fasthttp.StateNew {
			connections.Add(1)
		}
	}}
	go func() { assert.Check(t, server.Serve(listener)) }()
	t.Cleanup(func() { assert.Check(t, server.Shutdown()) })
	client := NewClient(ClientConfig{
		Tokens:  NewTokens(),
		Dialect: dialect,
		Announced: func() (Announcement, bool) {
			address := netip.MustParseAddrPort(listener.Addr().String())
			return Announcement{Service: "tracking", Address: address, Slots: 10, Connections: 10}, true
		},
	})
	t.Cleanup(client.Close)
	return client, connections
}

// refuse refuses a request, as a server that sheds load does many times per second.
func refuse(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(testDialect.AttemptID, ctx.Request.Header.Peek(testDialect.AttemptID))
	ctx.Response.Header.Set(testDialect.NotRun, "1")
	ctx.SetStatusCode(http.StatusServiceUnavailable)
	ctx.SetBodyString("busy")
}

// TestRefusalsKeepTheConnection has a server refuse requests, as one that sheds
// load for seconds does. A new connection takes time and a slot of the server, so a
// refusal that was read to its end must not close the connection.
func TestRefusalsKeepTheConnection(t *testing.T) {
	const calls = 20
	cases := []struct {
		name        string
		handler     fasthttp.RequestHandler
		connections int64
	}{
		{"refused", refuse, 1},
		{"refused and closed", func(ctx *fasthttp.RequestCtx) {
			refuse(ctx)
			ctx.SetConnectionClose()
		}, calls},
		{"refused without the attempt ID", func(ctx *fasthttp.RequestCtx) {
			refuse(ctx)
			ctx.Response.Header.Del(testDialect.AttemptID)
		}, calls},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client, connections := serveCountingConnections(t, c.handler, testDialect)
			for i := range calls {
				attempt := strconv.Itoa(i)
				call := &request.Call{Service: "tracking", Method: "GET", URI: []byte("/"), Host: "h", AttemptID: attempt, Idempotent: true}
				call.Headers = []request.Header{{Name: []byte(testDialect.AttemptID), Value: []byte(attempt)}}
				call.Context.Deadline = time.Now().Add(time.Minute)
				_, err := client.Serve(t.Context(), call)
				refusal := request.AsRefusal(err)
				assert.Equal(t, refusal.Outcome, request.NotRun)
				assert.Assert(t, c.name == "refused without the attempt ID" || refusal.ByBackend)
			}
			assert.Equal(t, connections.Load(), c.connections)
		})
	}
}

// TestLateFailures has a chain of calls that all end at one deadline. A server that
// notices the deadline first answers with a failure, which must be reported as the
// passed deadline and not as a failure of the server.
func TestLateFailures(t *testing.T) {
	const timeout, late = 20 * time.Millisecond, 60 * time.Millisecond
	cases := []struct {
		name       string
		after      time.Duration
		status     int
		commitment bool
		dialect    *httpconn.Dialect
		cause      request.Cause
	}{
		{"failed in time", 0, http.StatusBadGateway, false, nil, request.CauseNone},
		{"failed late", late, http.StatusBadGateway, false, nil, request.CauseDeadline},
		{"answered late", late, http.StatusOK, false, nil, request.CauseNone},
		{"commitment failed late", late, http.StatusBadGateway, true, nil, request.CauseNone},
		{"server with a dialect reports the timeout itself", late, http.StatusGatewayTimeout, false, testDialect, request.CauseNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client, _ := serveCountingConnections(t, func(ctx *fasthttp.RequestCtx) {
				time.Sleep(c.after)
				ctx.Response.Header.SetBytesV(testDialect.AttemptID, ctx.Request.Header.Peek(testDialect.AttemptID))
				ctx.SetStatusCode(c.status)
			}, c.dialect)
			call := &request.Call{Service: "tracking", Method: "GET", URI: []byte("/"), Host: "h", AttemptID: "a1", Commitment: c.commitment}
			call.Headers = []request.Header{{Name: []byte(testDialect.AttemptID), Value: []byte("a1")}}
			call.Context.Deadline = time.Now().Add(timeout)
			answer, err := client.Serve(t.Context(), call)
			if c.cause != request.CauseNone {
				refusal := request.AsRefusal(err)
				assert.Equal(t, refusal.Cause, c.cause)
				assert.Equal(t, refusal.Outcome, request.Unknown)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, answer.Status, c.status)
			assert.NilError(t, answer.Body.Close())
		})
	}
}
