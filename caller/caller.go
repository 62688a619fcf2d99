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
	Context  request.Context
	Service  string
	Status   int
	Refusal  *request.Refusal
	Duration time.Duration
}

// Config configures a Server.
type Config struct {
	// Bundle returns the bundle in force, or nil before there is one.
	Bundle func() *bundle.Index
	// Ready tells whether the node can serve the whole path; nil is always.
	Ready func() bool
	// Stale tells whether a workspace refuses requests as the node has had no
	// word of the bundle in force for too long.
	Stale func(*bundle.Workspace) bool
	// Next takes the requests whose keys were checked.
	Next request.Handler
	// Record is told of every request; it may be nil.
	Record func(Sample)
	Logger *zap.Logger
	// IdleTimeout closes a caller's idle connection.
	IdleTimeout time.Duration
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
		OnBadRequest: badRequest,
		Logger:       config.Logger,
	})
	return s
}

// Serve answers callers until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	many, err := httpconn.ListenMany(listener, s.config.IdleTimeout)
	if err != nil {
		return err
	}
	return s.http.Serve(many)
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

func badRequest(ctx *fasthttp.RequestCtx, err error) {
	cause := request.CauseBadRequest
	if _, ok := err.(*fasthttp.ErrSmallBuffer); ok {
		cause = request.CauseTooLarge
	}
	httpconn.WriteRefusal(ctx, request.Refuse(cause, request.NotRun, 0))
	ctx.SetConnectionClose()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	call, refusal := s.admit(ctx, start)
	if refusal != nil {
		if mayHaveRun(ctx, call, refusal) {
			refusal.Outcome = request.Unknown
		}
		httpconn.WriteRefusal(ctx, refusal)
		// The rest of a refused body is not read.
		if ctx.IsBodyStream() {
			ctx.SetConnectionClose()
		}
		s.record(call, refusal.Cause.Status(), refusal, start)
		return
	}
	ctx.Response.Header.Set(httpconn.HeaderRequestID, call.Context.ID.String())
	exchange := httpconn.Exchange{Next: s.config.Next, Done: func(status int, refusal *request.Refusal) {
		s.record(call, status, refusal, start)
	}}
	exchange.Run(context.Background(), ctx, call)
}

func (s *Server) record(call *request.Call, status int, refusal *request.Refusal, start time.Time) {
	if s.config.Record == nil {
		return
	}
	s.config.Record(Sample{
		Context:  call.Context,
		Service:  call.Service,
		Status:   status,
		Refusal:  refusal,
		Duration: time.Since(start),
	})
}
