package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/httpconn"
	"auburngap/request"
)

// drainedServer is a server on a real connection whose requests wait until they are
// released.
type drainedServer struct {
	*Server
	t       *testing.T
	address string
	began   chan string
	release chan struct{}
}

func newDrainedServer(t *testing.T) *drainedServer {
	t.Helper()
	s := &drainedServer{t: t, began: make(chan string, 16), release: make(chan struct{})}
	s.Server, s.address = startServer(t, request.HandlerFunc(s.handle))
	return s
}

// startServer serves /read, whose requests may be repeated, and /write on a real
// connection. It returns the server and its address.
func startServer(t *testing.T, next request.Handler) (s *Server, address string) {
	t.Helper()
	index := bundle.NewIndex(&bundle.Bundle{Version: 1, Routes: []bundle.Route{
		{Name: "read", Prefix: "/read", Service: "catalogue", Open: true, Idempotent: true},
		{Name: "write", Prefix: "/write", Service: "orders", Open: true},
	}})
	s = New(Config{
		Bundle:  func() *bundle.Index { return index },
		Next:    next,
		Logger:  zap.NewNop(),
		Dialect: &httpconn.Dialect{AttemptID: "Attempt", Timeout: "Timeout", WriteRefusal: httpconn.WriteRefusal},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Shutdown(context.Background()))
		assert.NilError(t, <-done)
	})
	return s, listener.Addr().String()
}

func (s *drainedServer) handle(ctx context.Context, call *request.Call) (*request.Answer, error) {
	s.began <- call.AttemptID
	select {
	case <-s.release:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	body := call.AttemptID
	return &request.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), BodySize: int64(len(body))}, nil
}

// send sends requests on one connection at once and waits until those on /read, which
// may begin before their turn, run.
func (s *drainedServer) send(paths ...string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	conn, reader := s.sendRaw(paths...)
	for i, path := range paths {
		if i == 0 || path == "/read" {
			<-s.began
		}
	}
	return conn, reader
}

// sendRaw is send without the wait.
func (s *drainedServer) sendRaw(paths ...string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(s.t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	var out strings.Builder
	for i, path := range paths {
		fmt.Fprintf(&out, "GET %s HTTP/1.1\r\nHost: h\r\nAttempt: a%d\r\n\r\n", path, i)
	}
	_, err = io.WriteString(conn, out.String())
	assert.NilError(s.t, err)
	return conn, bufio.NewReader(conn)
}

// TestDrainAnswersPipelinedRequests guards against a planned stop that cuts requests
// that run already: the answer to the first of several pipelined requests closed the
// connection, and the others were cancelled.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	cases := []struct {
		name  string
		paths []string
		// late is true if the requests arrive when the server drains already.
		late bool
	}{
		{"one", []string{"/read"}, false},
		{"several that run", []string{"/read", "/read", "/read"}, false},
		{"one that runs behind one that waits", []string{"/read", "/write", "/read"}, false},
		{"late", []string{"/read", "/read", "/read"}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newDrainedServer(t)
			if c.late {
				s.Drain()
			}
			_, reader := s.send(c.paths...)
			s.Drain()
			close(s.release)
			for i := range c.paths {
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err, "request %d", i)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), fmt.Sprintf("a%d", i))
				assert.Equal(t, response.Close, i == len(c.paths)-1, "request %d", i)
			}
			_, err := reader.ReadByte()
			assert.Equal(t, err, io.EOF)
		})
	}
}

// TestStopPipelining checks that a draining connection ends although its caller has sent
// further requests: none begins before its turn, so none is cut.
func TestStopPipelining(t *testing.T) {
	s := newDrainedServer(t)
	s.Drain()
	s.StopPipelining()
	close(s.release)
	_, reader := s.sendRaw("/read", "/read")
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Assert(t, response.Close)
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, <-s.began, "a0")
	assert.Equal(t, len(s.began), 0, "the second request began")
}

// TestEndAnswersRunningRequests guards against a planned stop at whose end a caller gets
// no answer: each request that still runs is answered, without a promise that it has not
// run.
func TestEndAnswersRunningRequests(t *testing.T) {
	s := newDrainedServer(t)
	_, reader := s.send("/read", "/write", "/read")
	assert.Equal(t, s.Busy(), int64(1))
	s.Drain()
	s.End()
	for i := range 3 {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get(httpconn.HeaderOutcome), request.Unknown.String())
		assert.Equal(t, response.Close, i == 2)
	}
	_, err := reader.ReadByte()
	assert.Equal(t, err, io.EOF)
}
