package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/httpconn"
	"auburngap/request"
)

// TestRequestsFollowTheVersionInForce: requests were judged by a version that was no longer
// in force, and a route that had been added was not served. A request on a connection that
// is open since, also one that is read behind a running one, must follow the version that
// is in force when it arrives.
func TestRequestsFollowTheVersionInForce(t *testing.T) {
	open := bundle.Route{Name: "open", Prefix: "/open", Service: "old", Open: true, Idempotent: true}
	slow := bundle.Route{Name: "slow", Prefix: "/slow", Service: "slow", Open: true, Idempotent: true}
	school := bundle.Route{Name: "school", Prefix: "/school", Service: "school"}
	moved, added := open, open
	moved.Service, added.Name, added.Prefix, added.Service = "new", "added", "/open/added", "added"
	keys := func(names ...string) []bundle.Workspace {
		w := bundle.Workspace{Name: "school", Weight: 1}
		for _, name := range names {
			w.Keys = append(w.Keys, bundle.Key{ID: name, Hash: bundle.HashKey([]byte(name))})
		}
		return []bundle.Workspace{w}
	}
	before := bundle.NewIndex(&bundle.Bundle{Version: 1, Workspaces: keys("withdrawn-key"), Routes: []bundle.Route{open, slow, school, {Name: "gone", Prefix: "/gone", Service: "old", Open: true, Idempotent: true}}})
	after := before.Next(&bundle.Bundle{Version: 2, Workspaces: keys("added-key"), Routes: []bundle.Route{moved, slow, school, added}})

	cases := map[string]struct{ request, want string }{
		"moved route":   {"GET /open HTTP/1.1\r\nHost: x\r\n\r\n", "200 new"},
		"added route":   {"GET /open/added HTTP/1.1\r\nHost: x\r\n\r\n", "200 added"},
		"removed route": {"GET /gone HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
		"withdrawn key": {"POST /school HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer withdrawn-key\r\nContent-Length: 0\r\n\r\n", "401"},
		"added key":     {"POST /school HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer added-key\r\nContent-Length: 0\r\n\r\n", "200 school"},
	}
	for name, c := range cases {
		for _, first := range []string{"/open", "/slow"} {
			t.Run(name+" behind "+first, func(t *testing.T) {
				var index atomic.Pointer[bundle.Index]
				index.Store(before)
				began, release := make(chan struct{}, 4), make(chan struct{})
				s := New(Config{
					Bundle: index.Load, Logger: zap.NewNop(), Dialect: &httpconn.Dialect{AttemptID: "Attempt", Timeout: "Timeout", WriteRefusal: httpconn.WriteRefusal},
					Next: request.HandlerFunc(func(_ context.Context, call *request.Call) (*request.Answer, error) {
						began <- struct{}{}
						if call.Service == "slow" {
							<-release
						}
						return &request.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(call.Service)), BodySize: int64(len(call.Service))}, nil
					}),
				})
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				go func() { _ = s.Serve(listener) }()
				conn, err := net.Dial("tcp", listener.Addr().String())
				assert.NilError(t, err)
				t.Cleanup(func() {
					_ = conn.Close()
					assert.NilError(t, s.Shutdown(context.Background()))
				})
				reader := bufio.NewReader(conn)
				send(t, conn, "GET "+first+" HTTP/1.1\r\nHost: x\r\n\r\n")
				<-began
				if first == "/open" {
					assert.Equal(t, readOne(t, reader), "200 old")
				}
				index.Store(after)
				send(t, conn, c.request)
				close(release)
				if first == "/slow" {
					assert.Equal(t, readOne(t, reader), "200 slow")
				}
				assert.Equal(t, readOne(t, reader), c.want)
			})
		}
	}
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	assert.NilError(t, err)
}

// readOne reads one response and returns its status, and the body of an answer.
func readOne(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	if response.StatusCode != http.StatusOK {
		return strings.Fields(response.Status)[0]
	}
	return "200 " + string(body)
}

// TestKeyWithdrawnDuringAdmission guards against a key that is served by a version which was
// no longer in force when the key was found fresh: the request had read the version before
// the one that withdrew the key, and the confirmation of that one passed for its own.
func TestKeyWithdrawnDuringAdmission(t *testing.T) {
	school := []bundle.Route{{Name: "school", Prefix: "/school", Service: "school"}}
	key := bundle.Key{ID: "1", Hash: bundle.HashKey([]byte("withdrawn-key"))}
	before := bundle.NewIndex(&bundle.Bundle{Version: 1, Routes: school, Workspaces: []bundle.Workspace{{Name: "school", Weight: 1, Keys: []bundle.Key{key}}}})
	after := before.Next(&bundle.Bundle{Version: 2, Routes: school, Workspaces: []bundle.Workspace{{Name: "school", Weight: 1}}})
	var index atomic.Pointer[bundle.Index]
	index.Store(before)
	s := New(Config{
		Bundle: index.Load, Logger: zap.NewNop(),
		Stale: func(*bundle.Workspace) bool {
			index.Store(after)
			return false
		},
	})
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI("/school")
	ctx.Request.Header.Set(fasthttp.HeaderAuthorization, "Bearer withdrawn-key")
	call, refusal := s.admit(&ctx, time.Now())
	assert.Assert(t, refusal != nil, "admitted by version %d", call.Context.BundleVersion)
	assert.Equal(t, refusal.Cause, request.CauseUnknownKey)
}

// TestKeylessBundle guards against requests that are refused for their keys though the bundle
// has none. Whatever the caller claims, the request has no workspace and the key, if there
// is one, goes no further.
func TestKeylessBundle(t *testing.T) {
	index := bundle.NewIndex(&bundle.Bundle{Version: 2, Keyless: true, Routes: []bundle.Route{{Name: "school", Prefix: "/school", Service: "school", Priority: 2}}})
	cases := map[string]struct{ uri, headers string }{
		"no key":                    {"/school", ""},
		"key of an earlier version": {"/school", "Authorization: Bearer earlier-key\r\n"},
		"key in the path, too":      {"/school?key=earlier-key", "Authorization: Bearer earlier-key\r\n"},
		"two keys":                  {"/school", "Authorization: Bearer earlier-key\r\n" + httpconn.HeaderKey + ": other-key\r\n"},
		"basic credentials":         {"/school", "Authorization: Basic dXNlcg==\r\n"},
		"claimed workspace":         {"/school", "Workspace: school\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(Config{
				Bundle: func() *bundle.Index { return index }, Logger: zap.NewNop(),
				Dialect: &httpconn.Dialect{AttemptID: "Attempt", Timeout: "Timeout", Workspace: "Workspace"},
				Stale:   func(*bundle.Workspace) bool { return true },
			})
			var ctx fasthttp.RequestCtx
			head := "GET " + c.uri + " HTTP/1.1\r\nHost: x\r\n" + c.headers + "\r\n"
			assert.NilError(t, ctx.Request.Read(bufio.NewReader(strings.NewReader(head))))
			call, refusal := s.admit(&ctx, time.Now())
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, call.Context.Workspace, "")
			assert.Equal(t, call.Context.Priority, request.Priority(2))
			for _, header := range call.Headers {
				assert.Assert(t, !strings.EqualFold(string(header.Name), fasthttp.HeaderAuthorization), "%s", header.Value)
				assert.Assert(t, !strings.EqualFold(string(header.Name), "Workspace"), "%s", header.Value)
			}
		})
	}
}
