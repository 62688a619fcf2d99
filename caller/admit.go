package caller

import (
	"bytes"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"auburngap/bundle"
	"auburngap/httpconn"
	"auburngap/request"
)

var bearerPrefix = []byte("Bearer ")

// mayHaveRun reports whether an earlier request with the same idempotency key may
// have run: the owner of the key is asked only for admitted requests. A node that is
// starting doesn't know which routes are commitments.
func mayHaveRun(ctx *fasthttp.RequestCtx, call *request.Call, refusal *request.Refusal) bool {
	if len(ctx.Request.Header.Peek(httpconn.HeaderIdempotencyKey)) == 0 {
		return false
	}
	return call.Commitment || refusal.Cause == request.CauseStarting
}

// admit converts a request to a call, or refuses it. The call is never nil, so that
// a refusal can be recorded with what is known of the request.
func (s *Server) admit(ctx *fasthttp.RequestCtx, now time.Time) (*request.Call, *request.Refusal) {
	call := &request.Call{}
	index := s.config.Bundle()
	if index == nil || !s.isReady() {
		return call, request.Refuse(request.CauseStarting, request.NotRun, time.Second)
	}
	call.Context.BundleVersion = index.Bundle.Version
	s.readDialect(ctx, call)
	route, ok := index.MatchHost(string(ctx.Host()), string(ctx.Method()), s.routePath(ctx))
	if !ok {
		return call, request.Refuse(request.CauseNoRoute, request.NotRun, 0)
	}
	call.Service = route.ChooseService(rand.Float64())
	call.Commitment = route.Commitment
	call.Objective = time.Duration(route.Objective)
	call.Context.Route = route.Name
	call.Context.Priority = route.Priority
	call.Context.RetryBudget = route.RetryBudget
	if refusal := s.identifyWorkspace(ctx, index, route, call); refusal != nil {
		return call, refusal
	}
	if s.config.Bundle().Bundle.Version != index.Bundle.Version {
		// The confirmation that the key rests on may be that of the later version.
		return s.admit(ctx, now)
	}
	if isAmbiguous(&ctx.Request.Header) {
		return call, request.Refuse(request.CauseBadRequest, request.NotRun, 0)
	}
	if refusal := s.fillCall(ctx, route, call, now); refusal != nil {
		return call, refusal
	}
	return call, nil
}

// readDialect sets the fields of the call that come from the headers of the site's
// dialect.
func (s *Server) readDialect(ctx *fasthttp.RequestCtx, call *request.Call) {
	if s.config.Dialect == nil {
		return
	}
	call.Host = string(ctx.Request.Header.Host())
	call.AttemptID = string(ctx.Request.Header.Peek(s.config.Dialect.AttemptID))
	call.Caller = s.config.Service
}

// routePath returns the path by which the route is chosen. With a dialect, it is the
// path that backend servers will see, as a dialect normalizes nothing.
func (s *Server) routePath(ctx *fasthttp.RequestCtx) string {
	if s.config.Dialect == nil {
		return string(ctx.Path())
	}
	path, _, _ := bytes.Cut(ctx.Request.Header.RequestURI(), []byte("?"))
	return string(path)
}

// identifyWorkspace finds the workspace of the request's key, if the bundle asks for keys.
func (s *Server) identifyWorkspace(ctx *fasthttp.RequestCtx, index *bundle.Index, route *bundle.Route, call *request.Call) *request.Refusal {
	if index.Bundle.Keyless {
		return nil
	}
	key, refusal := keyOf(&ctx.Request.Header)
	if refusal != nil {
		return refusal
	}
	if key != nil && leaksKey(&ctx.Request.Header, key) {
		return request.Refuse(request.CauseBadRequest, request.NotRun, 0)
	}
	if route.Open {
		return nil
	}
	if key == nil {
		return request.Refuse(request.CauseNoKey, request.NotRun, 0)
	}
	workspace, ok := index.WorkspaceOf(key)
	if !ok {
		return request.Refuse(request.CauseUnknownKey, request.NotRun, 0)
	}
	if !route.Allows(workspace.Name) {
		return request.Refuse(request.CauseWorkspaceNotAllowed, request.NotRun, 0)
	}
	if s.config.Stale != nil && s.config.Stale(workspace) {
		return request.Refuse(request.CauseStaleBundle, request.NotRun, time.Second)
	}
	call.Context.Workspace = workspace.Name
	call.Context.Priority = min(call.Context.Priority+workspace.Rank, request.Priorities-1)
	return nil
}

// keyOf returns the key of a request, or nil if there is none.
func keyOf(h *fasthttp.RequestHeader) ([]byte, *request.Refusal) {
	ownHeader := h.Peek(httpconn.HeaderKey)
	authorization := h.Peek(fasthttp.HeaderAuthorization)
	token, isBearer := bytes.CutPrefix(authorization, bearerPrefix)
	if !isBearer {
		token = nil
	}
	if len(ownHeader) > 0 && len(token) > 0 && !bytes.Equal(ownHeader, token) {
		return nil, request.Refuse(request.CauseBadRequest, request.NotRun, 0)
	}
	if len(ownHeader) > 0 {
		return ownHeader, nil
	}
	if len(token) > 0 {
		return token, nil
	}
	return nil, nil
}

// isAmbiguous reports whether a chunked request also has a Content-Length header,
// which other servers on its way may have interpreted differently.
func isAmbiguous(h *fasthttp.RequestHeader) bool {
	if h.ContentLength() != -1 {
		return false
	}
	return bytes.Contains(bytes.ToLower(h.RawHeaders()), []byte("content-length:"))
}

// minKeyBytes is the minimum length of a key that is searched for in the URI and in
// other headers.
const minKeyBytes = 8

// leaksKey reports whether the key is also in the URI or in a header that would be
// passed on to backend servers.
func leaksKey(h *fasthttp.RequestHeader, key []byte) bool {
	if len(key) < minKeyBytes {
		return false
	}
	if bytes.Contains(h.RequestURI(), key) {
		return true
	}
	if decoded, err := url.QueryUnescape(string(h.RequestURI())); err == nil && bytes.Contains([]byte(decoded), key) {
		return true
	}
	for name, value := range h.All() {
		if isKeyHeader(name) {
			continue
		}
		if bytes.Contains(value, key) || bytes.Contains(name, key) {
			return true
		}
	}
	return false
}

func isKeyHeader(name []byte) bool {
	return httpconn.IsOwn(name) || bytes.EqualFold(name, []byte(fasthttp.HeaderAuthorization))
}

func (s *Server) fillCall(ctx *fasthttp.RequestCtx, route *bundle.Route, call *request.Call, now time.Time) *request.Refusal {
	id, err := request.NewID()
	if err != nil {
		return request.Refuse(request.CauseOverload, request.NotRun, time.Second)
	}
	timeout, callerTimeout, refusal := s.timeouts(ctx, route)
	if refusal != nil {
		return refusal
	}
	if callerTimeout > 0 {
		call.CallerDeadline = now.Add(callerTimeout)
	}
	call.Context.ID = id
	call.Context.Deadline = now.Add(timeout)
	call.Method = string(ctx.Method())
	call.URI = bytes.Clone(ctx.Request.Header.RequestURI())
	call.Headers = withoutAuthorization(httpconn.RequestHeaders(&ctx.Request.Header))
	call.Idempotent = !route.Commitment && (route.Idempotent || isSafe(call.Method))
	call.IdempotencyKey = bytes.Clone(ctx.Request.Header.Peek(httpconn.HeaderIdempotencyKey))
	if s.config.Dialect != nil {
		call.Headers = s.config.Dialect.RequestHeaders(call.Headers)
		// Only the route determines whether a request may be retried.
		call.Idempotent = route.Idempotent
	}
	return s.fillBody(ctx, call)
}

// isSafe reports whether HTTP itself allows a retry of a method. A route that is a
// commitment doesn't allow it.
func isSafe(method string) bool {
	return method == fasthttp.MethodGet || method == fasthttp.MethodHead || method == fasthttp.MethodOptions
}

// readBody returns the body of a request. A site's dialect has no trailers, so a
// small body of unknown size may be read to its end.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) (httpconn.Body, error) {
	size := int64(ctx.Request.Header.ContentLength())
	if size == -1 && s.config.Dialect != nil {
		return httpconn.ReadUnsized(ctx.RequestBodyStream())
	}
	if size < -1 {
		size = 0
	}
	return httpconn.ReadBody(ctx.RequestBodyStream(), size)
}

func (s *Server) fillBody(ctx *fasthttp.RequestCtx, call *request.Call) *request.Refusal {
	body, err := s.readBody(ctx)
	if err != nil {
		return request.Refuse(request.CauseBadRequest, request.NotRun, 0)
	}
	call.Body = body.Reader
	call.BodySize = body.Size
	call.Replay = body.Replay
	if body.Replay == nil {
		key, _ := keyOf(&ctx.Request.Header)
		call.Trailers = trailersWithout(&ctx.Request.Header, bytes.Clone(key))
	}
	return nil
}

// trailersWithout returns the trailers that don't contain the key.
func trailersWithout(h *fasthttp.RequestHeader, key []byte) func() []request.Header {
	return func() []request.Header {
		trailers := httpconn.Trailers(h)
		if len(key) < minKeyBytes {
			return trailers
		}
		return slices.DeleteFunc(trailers, func(t request.Header) bool {
			return bytes.Contains(t.Value, key) || bytes.Contains(t.Name, key)
		})
	}
}

func withoutAuthorization(headers []request.Header) []request.Header {
	kept := headers[:0]
	for _, h := range headers {
		if !bytes.EqualFold(h.Name, []byte(fasthttp.HeaderAuthorization)) {
			kept = append(kept, h)
		}
	}
	return kept
}

// timeouts returns the shorter of the route's timeout and the caller's, and the
// caller's timeout, which is zero if it sent none.
func (s *Server) timeouts(ctx *fasthttp.RequestCtx, route *bundle.Route) (timeout, callerTimeout time.Duration, refusal *request.Refusal) {
	timeout = route.Timeout.Or(defaultTimeout)
	name := httpconn.HeaderTimeout
	if s.config.Dialect != nil {
		name = s.config.Dialect.Timeout
	}
	text := ctx.Request.Header.Peek(name)
	if len(text) == 0 {
		return timeout, 0, nil
	}
	millis, err := strconv.Atoi(string(text))
	if err != nil || millis <= 0 {
		return 0, 0, request.Refuse(request.CauseBadRequest, request.NotRun, 0)
	}
	callerTimeout = time.Duration(millis) * time.Millisecond
	return min(timeout, callerTimeout), callerTimeout, nil
}
