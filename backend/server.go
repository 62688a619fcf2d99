package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"auburngap/bundle"
	"auburngap/httpconn"
	"auburngap/request"
)

const (
	// PathAnnounce is the path of announcements.
	PathAnnounce = "/auburngap/announce"
	// PathCall is the prefix of the paths of calls: /call/SERVICE/PATH.
	PathCall = "/call/"
	// HeartbeatInterval is the time between two announcements.
	HeartbeatInterval = time.Second

	maxAnnouncementBytes = 16 << 10
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Tokens *Tokens
	// Bundle returns the active bundle, or nil before there is one.
	Bundle func() *bundle.Index
	// Next handles the calls that the backend server makes.
	Next request.Handler
	// OnAnnounce is called with each valid announcement.
	OnAnnounce func(Announcement)
	Logger     *zap.Logger
}

// Server accepts announcements and calls of the backend server of this VM.
type Server struct {
	config ServerConfig
	http   *fasthttp.Server
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config}
	s.http = httpconn.NewServer(httpconn.ServerConfig{Handler: s.handle, Logger: config.Logger})
	return s
}

// Serve serves the backend server until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(httpconn.Listen(listener))
}

// Shutdown waits for running calls and closes idle connections.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathAnnounce && ctx.IsPost():
		s.announce(ctx)
	case strings.HasPrefix(path, PathCall):
		s.call(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) announce(ctx *fasthttp.RequestCtx) {
	announcement, err := parseAnnouncement(ctx)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBodyString(err.Error() + "\n")
		return
	}
	s.config.OnAnnounce(announcement)
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"heartbeat":"` + HeartbeatInterval.String() + `"}` + "\n")
}

func parseAnnouncement(ctx *fasthttp.RequestCtx) (Announcement, error) {
	var announcement Announcement
	if ctx.Request.Header.ContentLength() > maxAnnouncementBytes {
		return announcement, ErrAnnouncement.New("longer than %d bytes", maxAnnouncementBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(ctx.Request.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		return announcement, ErrAnnouncement.Wrap(err, "JSON")
	}
	return announcement, announcement.Check()
}

// call passes on a call of the backend server.
func (s *Server) call(ctx *fasthttp.RequestCtx) {
	live, ok := s.config.Tokens.Lookup(ctx.Request.Header.Peek(httpconn.HeaderToken))
	if !ok {
		s.refuse(ctx, request.CauseBadToken)
		return
	}
	call, cause := s.makeCall(ctx, live)
	if cause != request.CauseNone {
		s.refuse(ctx, cause)
		return
	}
	lent := live.Lend(time.Now())
	call.Context = live.Call.Context.Child(lent)
	call.Context.Deadline = s.deadline(ctx, live, call.Service)
	exchange := httpconn.Exchange{Handler: &budgetReturner{next: s.config.Next, live: live, lent: lent}}
	exchange.Run(live.Context, ctx, call)
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, cause request.Cause) {
	httpconn.WriteRefusal(ctx, request.Refuse(cause, request.NotRun, 0))
}

func (s *Server) makeCall(ctx *fasthttp.RequestCtx, live *LiveCall) (*request.Call, request.Cause) {
	service, uri := splitCallPath(ctx.Request.Header.RequestURI())
	if cause := s.mayCall(live, service); cause != request.CauseNone {
		return nil, cause
	}
	size := int64(ctx.Request.Header.ContentLength())
	if size < -1 {
		size = 0
	}
	body, err := httpconn.ReadBody(ctx.RequestBodyStream(), size)
	if err != nil {
		return nil, request.CauseBadRequest
	}
	method := string(ctx.Method())
	call := &request.Call{
		Service:    service,
		Method:     method,
		URI:        uri,
		Headers:    httpconn.RequestHeaders(&ctx.Request.Header),
		Body:       body.Reader,
		BodySize:   body.Size,
		Replay:     body.Replay,
		Idempotent: method == fasthttp.MethodGet || method == fasthttp.MethodHead,
	}
	if body.Replay == nil {
		call.Trailers = func() []request.Header { return httpconn.Trailers(&ctx.Request.Header) }
	}
	return call, request.CauseNone
}

// mayCall checks the call against the call graph of the active bundle.
func (s *Server) mayCall(live *LiveCall, service string) request.Cause {
	if live.Call.Context.Depth+1 > request.MaxDepth {
		return request.CauseTooDeep
	}
	index := s.config.Bundle()
	if index == nil {
		return request.CauseStaleBundle
	}
	from, ok := index.Service(live.Call.Service)
	if !ok || !from.MayCall(service) {
		return request.CauseCallNotAllowed
	}
	return request.CauseNone
}

// deadline returns the parent's deadline, or an earlier one if the backend server
// or the service's timeout sets it.
func (s *Server) deadline(ctx *fasthttp.RequestCtx, live *LiveCall, service string) time.Time {
	deadline := live.Call.Context.Deadline
	now := time.Now()
	if to, ok := s.config.Bundle().Service(service); ok && to.Timeout > 0 {
		deadline = earlier(deadline, now.Add(time.Duration(to.Timeout)))
	}
	text := ctx.Request.Header.Peek(httpconn.HeaderTimeout)
	if millis, err := strconv.Atoi(string(text)); err == nil && millis > 0 {
		deadline = earlier(deadline, now.Add(time.Duration(millis)*time.Millisecond))
	}
	return deadline
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// splitCallPath splits /call/SERVICE/PATH?QUERY; the path begins with a slash.
func splitCallPath(uri []byte) (string, []byte) {
	rest := bytes.TrimPrefix(uri, []byte(PathCall))
	at := bytes.IndexAny(rest, "/?")
	if at < 0 {
		return string(rest), []byte("/")
	}
	service := string(rest[:at])
	if rest[at] == '?' {
		return service, append([]byte("/"), rest[at:]...)
	}
	return service, bytes.Clone(rest[at:])
}

// budgetReturner returns the retries that a downstream call has not spent to the
// retry budget of its parent.
type budgetReturner struct {
	next request.Handler
	live *LiveCall
	lent int
}

// Serve implements request.Handler.
func (r *budgetReturner) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	answer, err := r.next.Serve(ctx, call)
	if err != nil {
		r.live.Return(r.lent, request.AsRefusal(err).Report, time.Now())
		return nil, err
	}
	answer.Body = &budgetReturnerBody{ReadCloser: answer.Body, returner: r, report: answer.Report}
	return answer, nil
}

type budgetReturnerBody struct {
	io.ReadCloser
	returner *budgetReturner
	report   func() request.Report
	closed   bool
}

// Close implements io.Closer.
func (b *budgetReturnerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	b.returner.live.Return(b.returner.lent, b.report(), time.Now())
	return err
}
