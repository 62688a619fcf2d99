// Package caller serves callers over HTTP: it checks the key of each request against
// the active bundle, creates the request's context and passes the request on without
// the key.
//
// # Usage
//
//	server := caller.New(caller.Config{Bundle: holder.Index, Next: entry, Logger: logger})
//	go server.Serve(listener)
//	...
//	err := server.Shutdown(ctx)
//
// A refusal carries Auburngap-Outcome (notRun, unknown or answered) and
// Auburngap-Cause, and Retry-After if a retry can help.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"auburngap/bundle"
	"auburngap/httpconn"
	"auburngap/request"
)

// defaultTimeout is the timeout of requests on routes without one.
const defaultTimeout = 30 * time.Second

// Sample is the record of one request and its outcome.
type Sample struct {
	Context request.Context
	// AttemptID is the caller's own ID of the attempt, if it has one.
	AttemptID string
	Service   string
	Status    int
	Refusal   *request.Refusal
	Duration  time.Duration
}

// Config configures a Server.
type Config struct {
	// Bundle returns the active bundle, or nil before there is one.
	Bundle func() *bundle.Index
	// Ready reports whether the node can serve the whole path; nil means always.
	Ready func() bool
	// Stale reports whether a workspace's requests are refused because the last
	// confirmation of the active bundle is too old.
	Stale func(*bundle.Workspace) bool
	// Next handles the requests whose keys were checked.
	Next request.Handler
	// Record is called with every request; it may be nil.
	Record func(Sample)
	Logger *zap.Logger
	// IdleTimeout is the time after which a caller's idle connection is closed.
	IdleTimeout time.Duration
	// Dialect replaces this project's own headers; nil keeps them.
	Dialect *httpconn.Dialect
	// AttributeCall returns the handler of a request without a key, which the backend
	// server of this VM may have made; nil treats it as any other.
	AttributeCall func(*request.Call) request.Handler
	// Service is the service of this VM's backend server. It is sent on as
	// the caller of each request; empty means that none is sent.
	Service string
}

// Server serves callers.
type Server struct {
	config Config
	http   *fasthttp.Server
	// draining asks callers to use another connection for further requests.
	draining atomic.Bool
	// inTurn lets no request begin before its turn.
	inTurn atomic.Bool
	// busy counts the connections with a request whose answer is not written yet.
	busy atomic.Int64
	// running ends when running requests are given up.
	running context.Context
	giveUp  context.CancelFunc
}

// New returns a server.
func New(config Config) *Server {
	s := &Server{config: config}
	s.running, s.giveUp = context.WithCancel(context.Background())
	s.http = httpconn.NewServer(httpconn.ServerConfig{
		Handler:      s.handle,
		OnBadRequest: s.badRequest,
		Busy:         &s.busy,
		Logger:       config.Logger,
	})
	return s
}

// Serve serves callers until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	wrapped, err := s.listen(listener)
	if err != nil {
		return err
	}
	return s.http.Serve(wrapped)
}

// listen lets pipelined requests begin before their turn if the site has a dialect,
// because then only the routes determine what may be retried.
func (s *Server) listen(listener net.Listener) (net.Listener, error) {
	if s.config.Dialect == nil {
		return httpconn.ListenPolling(listener, s.config.IdleTimeout)
	}
	return httpconn.ListenPipelined(listener, httpconn.PipelineConfig{IdleTimeout: s.config.IdleTimeout, Begin: s.beginEarly})
}

// Drain closes each connection after its next answer, so that callers leave before
// Shutdown closes the idle connections. Pipelined requests that have begun before
// their turn are answered first.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// StopPipelining lets no further request begin before its turn, so that a draining
// connection ends even if its caller goes on sending.
func (s *Server) StopPipelining() {
	s.inTurn.Store(true)
}

// Busy returns the number of connections with a request whose answer is not written yet.
func (s *Server) Busy() int64 { return s.busy.Load() }

// End ends the running requests. Each is answered with what is known of it.
func (s *Server) End() { s.giveUp() }

// Shutdown stops accepting connections, waits for running requests and closes idle
// connections.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	cause := request.CauseBadRequest
	if _, ok := err.(*fasthttp.ErrSmallBuffer); ok {
		cause = request.CauseTooLarge
	}
	s.config.Dialect.Refuse(ctx, request.Refuse(cause, request.NotRun, 0))
	ctx.SetConnectionClose()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.answer(ctx)
	if s.isLeaving() && !hasStarted(ctx.Conn()) {
		ctx.SetConnectionClose()
	}
}

// isLeaving reports whether callers should use another node.
func (s *Server) isLeaving() bool {
	return s.draining.Load() || !s.isReady()
}

// isReady reports whether the node can serve the whole path.
func (s *Server) isReady() bool {
	return s.config.Bundle() != nil && (s.config.Ready == nil || s.config.Ready())
}

// hasStarted reports whether further requests of a connection run already.
func hasStarted(conn net.Conn) bool {
	c, ok := conn.(*httpconn.Conn)
	return ok && c.HasStarted()
}

// answer answers the request whose turn it is. It may have begun before its turn.
func (s *Server) answer(ctx *fasthttp.RequestCtx) {
	if conn, ok := ctx.Conn().(*httpconn.Conn); ok {
		if early := conn.TakeEarly(); early != nil {
			early.Deliver(conn, ctx)
			return
		}
	}
	s.serve(s.running, ctx)
}

// beginEarly runs a request before its turn on its connection if it may be retried:
// the caller sends it again if the connection ends first.
func (s *Server) beginEarly(head []byte) *httpconn.Early {
	var in fasthttp.Request
	index := s.config.Bundle()
	if err := in.Read(bufio.NewReader(bytes.NewReader(head))); err != nil || index == nil || s.inTurn.Load() {
		return nil // answered in its turn
	}
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&in, nil, nil)
	route, ok := index.MatchHost(string(ctx.Host()), string(ctx.Method()), s.routePath(ctx))
	if !ok || !route.Idempotent {
		return nil
	}
	early := httpconn.NewEarly(s.running)
	go func() {
		s.serve(early.Context, ctx)
		early.Finish(&ctx.Response)
	}()
	return early
}

// serve answers a request, whose context ends with parent.
func (s *Server) serve(parent context.Context, ctx *fasthttp.RequestCtx) {
	start := time.Now()
	call, refusal := s.admit(ctx, start)
	if refusal != nil {
		if mayHaveRun(ctx, call, refusal) {
			refusal.Outcome = request.Unknown
		}
		s.config.Dialect.Refuse(ctx, refusal)
		s.record(call, refusal.Cause.Status(), refusal, start)
		return
	}
	if s.config.Dialect == nil {
		ctx.Response.Header.Set(httpconn.HeaderRequestID, call.Context.ID.String())
	}
	next := s.config.Next
	if s.config.AttributeCall != nil && call.Context.Workspace == "" {
		next = s.config.AttributeCall(call)
	}
	exchange := httpconn.Exchange{Handler: next, Dialect: s.config.Dialect, OnDone: func(status int, refusal *request.Refusal) {
		s.record(call, status, refusal, start)
	}}
	exchange.Run(parent, ctx, call)
}

func (s *Server) record(call *request.Call, status int, refusal *request.Refusal, start time.Time) {
	if s.config.Record == nil {
		return
	}
	s.config.Record(Sample{
		Context:   call.Context,
		AttemptID: call.AttemptID,
		Service:   call.Service,
		Status:    status,
		Refusal:   refusal,
		Duration:  time.Since(start),
	})
}
