package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// uploadBytes is the size of a long body.
const uploadBytes = 1 << 20

var errCallerLeft = errors.New("caller left")

// earlyServer answers each request with the text of answer before it reads the body, keeps
// the connection and reads on.
type earlyServer struct {
	answer string
	// connections counts the connections, and foreign the bytes that arrived where the rest
	// of a body was due.
	connections, foreign atomic.Int64
}

func (s *earlyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.connections.Add(1)
	reader := bufio.NewReader(conn)
	for {
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text := strings.ReplaceAll(s.answer, "ATTEMPT", incoming.Header.Get(testDialect.AttemptID))
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		body, err := io.ReadAll(incoming.Body)
		s.foreign.Add(int64(len(body) - bytes.Count(body, []byte("b"))))
		if err != nil {
			return
		}
	}
}

// newUpload returns the attempt a1 with a body, whose size is -1 for one in chunks.
func newUpload(body io.Reader, size int64) *request.Call {
	call := newAttempt("a1")
	call.Method, call.Body, call.BodySize = http.MethodPost, body, size
	return call
}

// upload sends a call and reads the answer to its end, if there is one.
func upload(ctx context.Context, client *Client, call *request.Call) error {
	ctx, cancel := context.WithDeadline(ctx, call.Context.Deadline)
	defer cancel()
	answer, err := client.Serve(ctx, call)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return errors.Join(err, answer.Body.Close())
}

// brokenBody returns a body that breaks off after a third.
func brokenBody(after func() error) io.Reader {
	return io.MultiReader(strings.NewReader(strings.Repeat("b", uploadBytes/3)), readerFunc(func([]byte) (int, error) { return 0, after() }))
}

type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestUnsentBodyEndsConnection guards against a request that is sent into the rest of
// another's body, where the backend server reads it as such and never runs it: the server
// had answered early, and the body of its request had not been written to its end.
func TestUnsentBodyEndsConnection(t *testing.T) {
	const (
		answered = "HTTP/1.1 413 x\r\nX-Attempt: ATTEMPT\r\nContent-Length: 5\r\n\r\nhello"
		chunked  = "HTTP/1.1 413 x\r\nX-Attempt: ATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
		refused  = "HTTP/1.1 503 x\r\nX-Attempt: ATTEMPT\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n\r\nhello"
	)
	const deadline = 200 * time.Millisecond
	whole := func(context.CancelFunc) io.Reader { return strings.NewReader(strings.Repeat("b", uploadBytes)) }
	left := func(context.CancelFunc) io.Reader {
		return brokenBody(func() error { return errCallerLeft })
	}
	early := func(context.CancelFunc) io.Reader {
		return brokenBody(func() error { return io.ErrUnexpectedEOF })
	}
	cancelled := func(cancel context.CancelFunc) io.Reader {
		return brokenBody(func() error { cancel(); return context.Canceled })
	}
	late := func(context.CancelFunc) io.Reader {
		return brokenBody(func() error {
			time.Sleep(2 * deadline)
			return context.DeadlineExceeded
		})
	}
	withTrailers := func(call *request.Call) {
		call.Trailers = func() []request.Header { return []request.Header{{Name: []byte("Checksum"), Value: []byte("1")}} }
	}
	withExpect := func(call *request.Call) {
		call.Headers = append(call.Headers, request.Header{Name: []byte("Expect"), Value: []byte("100-continue")})
	}
	withDeadline := func(call *request.Call) { call.Context.Deadline = time.Now().Add(deadline) }
	cases := []struct {
		name   string
		answer string
		body   func(cancel context.CancelFunc) io.Reader
		// size is -1 for a body in chunks.
		size        int64
		connections int64
		// change changes the call; it may be nil.
		change func(call *request.Call)
	}{
		{"whole", answered, whole, uploadBytes, 1, nil},
		{"whole, in chunks", answered, whole, -1, 1, nil},
		{"whole and refused", refused, whole, uploadBytes, 1, nil},
		{"broken off", answered, left, uploadBytes, 2, nil},
		{"broken off, answered in chunks", chunked, left, uploadBytes, 2, nil},
		{"broken off, in chunks", answered, left, -1, 2, nil},
		{"ended early", answered, early, uploadBytes, 2, nil},
		{"broken off and refused", refused, left, uploadBytes, 2, nil},
		{"broken off in chunks and refused", refused, left, -1, 2, nil},
		{"cancelled", answered, cancelled, uploadBytes, 2, nil},
		{"cancelled and refused", refused, cancelled, uploadBytes, 2, nil},
		{"whole, with trailers", answered, whole, -1, 1, withTrailers},
		{"broken off, with trailers", answered, left, -1, 2, withTrailers},
		{"whole, expects to continue", answered, whole, uploadBytes, 1, withExpect},
		{"broken off, expects to continue", answered, left, uploadBytes, 2, withExpect},
		{"broken off and refused, expects to continue", refused, left, uploadBytes, 2, withExpect},
		{"past its deadline", answered, late, uploadBytes, 2, withDeadline},
		{"past its deadline, in chunks", answered, late, -1, 2, withDeadline},
		{"past its deadline and refused", refused, late, uploadBytes, 2, withDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := &earlyServer{answer: c.answer}
			client := newDialectClient(t, acceptAll(t, server.serve))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			began := time.Now()
			call := newUpload(c.body(cancel), c.size)
			if c.change != nil {
				c.change(call)
			}
			_ = upload(ctx, client, call)
			assert.Assert(t, time.Since(began) < time.Second, "waited for the rest of the body")
			_, err := attemptOf(t, client, "a2")
			assert.Assert(t, err == nil || request.AsRefusal(err).Outcome == request.NotRun, "%v", err)
			assert.Equal(t, server.connections.Load(), c.connections)
			assert.Equal(t, server.foreign.Load(), int64(0))
		})
	}
}

// TestBrokenBodyDoesNotWait guards against a call that holds its backend server, and the
// caller's place, until its deadline although the caller has left in the middle of the body.
func TestBrokenBodyDoesNotWait(t *testing.T) {
	server := &earlyServer{}
	client := newDialectClient(t, acceptAll(t, server.serve))
	began := time.Now()
	err := upload(t.Context(), client, newUpload(brokenBody(func() error { return errCallerLeft }), uploadBytes))
	assert.Equal(t, request.AsRefusal(err).Outcome, request.Unknown)
	assert.Assert(t, time.Since(began) < time.Second)
}
