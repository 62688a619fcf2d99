// Package fake is a small backend server for tests, the demo and measurements: it
// announces itself to its node, works on each request for a configured time within
// its slots, calls other services through its node, and counts what it has run.
//
// # Usage
//
//	server := fake.New(fake.Config{Service: "orders", Node: nodeAddress, Slots: 35, Connections: 300})
//	go server.Run(ctx, listener)
//	...
//	runs := server.Runs("key")
package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"auburngap/backend"
	"auburngap/httpconn"
)

const (
	callTimeout          = 30 * time.Second
	announceTimeout      = time.Second
	idempotencyKeyHeader = httpconn.HeaderIdempotencyKey
)

// Config configures a Server.
type Config struct {
	Service string
	// Node is the backend address of the node on the same VM.
	Node        netip.AddrPort
	Slots       int
	Connections int
	// Work is how long one request takes; SetWork changes it.
	Work time.Duration
	// Calls are the services that each request calls, one after another.
	Calls []string
	// Parallel makes the calls concurrently.
	Parallel bool
	// Observe is called with every request; it may be nil.
	Observe func(ctx *fasthttp.RequestCtx)
	// Respond writes the answer instead of the usual echo; it may be nil.
	Respond func(ctx *fasthttp.RequestCtx)
}

// Server is a fake backend server.
type Server struct {
	config   Config
	client   fasthttp.Client
	work     atomic.Int64
	draining atomic.Bool
	silent   atomic.Bool
	running  atomic.Int64
	total    atomic.Int64

	mu   sync.Mutex
	runs map[string]int
}

// New returns a server that has not announced itself yet.
func New(config Config) *Server {
	s := &Server{config: config, runs: make(map[string]int)}
	s.work.Store(int64(config.Work))
	s.client = fasthttp.Client{MaxConnsPerHost: config.Connections + 1024, ReadTimeout: callTimeout}
	return s
}

// SetWork changes how long one request takes.
func (s *Server) SetWork(d time.Duration) { s.work.Store(int64(d)) }

// SetDraining sets whether the server announces that it accepts no new work.
func (s *Server) SetDraining(draining bool) { s.draining.Store(draining) }

// SetAnnouncementsPaused stops or resumes the announcements.
func (s *Server) SetAnnouncementsPaused(silent bool) { s.silent.Store(silent) }

// Runs returns how many requests with the Idempotency-Key have been started.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Total returns how many requests have been started.
func (s *Server) Total() int64 { return s.total.Load() }

// Running returns how many requests are running.
func (s *Server) Running() int64 { return s.running.Load() }

// Run serves and announces until the context ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	http := &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		StreamRequestBody:     true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return http.Serve(listener) })
	group.Go(func() error {
		s.announceUntil(ctx, address)
		shutdown, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return http.ShutdownWithContext(shutdown)
	})
	return group.Wait()
}

func (s *Server) announceUntil(ctx context.Context, address netip.AddrPort) {
	ticker := time.NewTicker(backend.HeartbeatInterval / 4)
	defer ticker.Stop()
	for {
		if !s.silent.Load() {
			// If the node isn't up yet, the next heartbeat tries again.
			_ = s.announce(address)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) announce(address netip.AddrPort) error {
	body, err := json.Marshal(backend.Announcement{
		Service:     s.config.Service,
		Address:     address,
		Slots:       s.config.Slots,
		Connections: s.config.Connections,
		Load:        min(1, float64(s.running.Load())/float64(s.config.Slots)),
		Draining:    s.draining.Load(),
	})
	if err != nil {
		return err
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + s.config.Node.String() + backend.PathAnnounce)
	request.SetBody(body)
	return s.client.DoTimeout(request, response, announceTimeout)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.total.Add(1)
	s.running.Add(1)
	defer s.running.Add(-1)
	if key := ctx.Request.Header.Peek(idempotencyKeyHeader); len(key) > 0 {
		s.mu.Lock()
		s.runs[string(key)]++
		s.mu.Unlock()
	}
	if s.config.Observe != nil {
		s.config.Observe(ctx)
	}
	time.Sleep(time.Duration(s.work.Load()))
	if failure := s.callOthers(ctx); failure != "" {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.SetBodyString(failure)
		return
	}
	if s.config.Respond != nil {
		s.config.Respond(ctx)
		return
	}
	s.echo(ctx)
}

// echo answers with the service's name, the method, the URI and the body.
func (s *Server) echo(ctx *fasthttp.RequestCtx) {
	var out bytes.Buffer
	out.WriteString(s.config.Service + " " + string(ctx.Method()) + " " + string(ctx.RequestURI()) + "\n")
	out.Write(ctx.Request.Body())
	ctx.SetContentType("text/plain")
	ctx.SetBody(out.Bytes())
}

// callOthers calls the other services and describes what failed; empty if nothing
// did.
func (s *Server) callOthers(ctx *fasthttp.RequestCtx) string {
	token := bytes.Clone(ctx.Request.Header.Peek(httpconn.HeaderToken))
	failures := make([]string, len(s.config.Calls))
	var group errgroup.Group
	if !s.config.Parallel {
		group.SetLimit(1)
	}
	for i, service := range s.config.Calls {
		group.Go(func() error {
			failures[i] = s.callOther(token, service)
			return nil
		})
	}
	_ = group.Wait()
	return strings.Join(failures, "")
}

func (s *Server) callOther(token []byte, service string) string {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.config.Node.String() + backend.PathCall + service + "/")
	request.Header.SetBytesV(httpconn.HeaderToken, token)
	if err := s.client.Do(request, response); err != nil {
		return "call to " + service + ": " + err.Error() + "\n"
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return "call to " + service + ": " + string(response.Header.Peek(httpconn.HeaderCause)) + " " + string(response.Body())
	}
	return ""
}

// discardLogger drops fasthttp's log lines.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
