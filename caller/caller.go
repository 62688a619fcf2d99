// Package caller speaks HTTP with the callers: it checks the key of each
// request against the bundle in force, makes the request's context and hands
// the request on without the key.
//
// # Usage
//
//	server := caller.New(caller.Config{Bundle: holder.Index, Next: entry, Logger: logger})
//	go server.Serve(listener)
//	...
//	err := server.Shutdown(ctx)
//
// A refusal carries Auburngap-Outcome (notRun, unknown or answered) and
// Auburngap-Cause, and Retry-After where a repeat can help.
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

// defaultTimeout bounds requests on routes that state none.
const defaultTimeout = 30 * time.Second

// Sample is what became of one request.
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
	// Bundle returns the bundle in force, or nil before there is one.
	Bundle func() *bundle.Index
	// Ready tells whether the node can serve the whole path; nil is always.
	Ready func() bool
	// Stale tells whether a workspace refuses requests because the node has not
	// confirmed the active bundle for too long.
	Stale func(*bundle.Workspace) bool
	// Next takes the requests whose keys were checked.
	Next request.Handler
	// Record is told of every request; it may be nil.
	Record func(Sample)
	Logger *zap.Logger
	// IdleTimeout closes a caller's idle connection.
	IdleTimeout time.Duration
	// Dialect replaces this project's own headers; nil keeps them.
	Dialect *httpconn.Dialect
	// Adopt returns the handler of a request without a key, which the backend
	// server of this VM may have made; nil takes them as any other.
	Adopt func(*request.Call) request.Handler
	// Service is that of this VM's backend server, told to others as the caller
	// of each request; empty where it is not told.
	Service string
}

// Server serves callers.
type Server struct {
	config Config
	http   *fasthttp.Server
	// draining asks callers to come back on another connection.
	draining atomic.Bool
}

// New returns a server.
func New(config Config) *Server {
	s := &Server{config: config}
	s.http = httpconn.NewServer(httpconn.ServerConfig{
		Handler:      s.handle,
		OnBadRequest: s.badRequest,
		Logger:       config.Logger,
	})
	return s
}

// Serve answers callers until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	many, err := s.listen(listener)
	if err != nil {
		return err
	}
	return s.http.Serve(many)
}

// listen lets requests begin before their turn where the site has a dialect,
// whose routes alone tell what may be repeated.
func (s *Server) listen(listener net.Listener) (net.Listener, error) {
	if s.config.Dialect == nil {
		return httpconn.ListenPolling(listener, s.config.IdleTimeout)
	}
	return httpconn.ListenPipelined(listener, httpconn.PipelineConfig{IdleTimeout: s.config.IdleTimeout, Begin: s.begin})
}

// Drain makes every further answer the last on its connection, so that callers
// leave before Shutdown closes what is idle.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown stops accepting, lets running requests end and closes idle connections.
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
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// answer answers the request whose turn it is, which may have begun before.
func (s *Server) answer(ctx *fasthttp.RequestCtx) {
	if conn, ok := ctx.Conn().(*httpconn.Conn); ok {
		if early := conn.TakeEarly(); early != nil {
			early.Deliver(conn, ctx)
			return
		}
	}
	s.serve(context.Background(), ctx)
}

// begin runs a request before its turn on its connection, if it may be repeated:
// its caller sends it again where the connection ends first.
func (s *Server) begin(head []byte) *httpconn.Early {
	var in fasthttp.Request
	index := s.config.Bundle()
	if err := in.Read(bufio.NewReader(bytes.NewReader(head))); err != nil || index == nil {
		return nil // it is answered in its turn
	}
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&in, nil, nil)
	route, ok := index.MatchHost(string(ctx.Host()), string(ctx.Method()), s.path(ctx))
	if !ok || !route.Idempotent {
		return nil
	}
	early := httpconn.NewEarly()
	go func() {
		s.serve(early.Context, ctx)
		early.Finish(&ctx.Response)
	}()
	return early
}

// serve answers a request whose context ends with parent.
func (s *Server) serve(parent context.Context, ctx *fasthttp.RequestCtx) {
	start := time.Now()
	call, refusal := s.admit(ctx, start)
	if refusal != nil {
		if mayHaveRun(ctx, call, refusal) {
			refusal.Outcome = request.Unknown
		}
		s.config.Dialect.Refuse(ctx, refusal)
		// The rest of a refused body is not read.
		if ctx.IsBodyStream() {
			ctx.SetConnectionClose()
		}
		s.record(call, refusal.Cause.Status(), refusal, start)
		return
	}
	if s.config.Dialect == nil {
		ctx.Response.Header.Set(httpconn.HeaderRequestID, call.Context.ID.String())
	}
	next := s.config.Next
	if s.config.Adopt != nil && call.Context.Workspace == "" {
		next = s.config.Adopt(call)
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
