package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// earlyUploadBytes is the size of a body that no socket takes whole.
const earlyUploadBytes = 16 << 20

// earlyEnd is how a server ends a connection after an early answer.
type earlyEnd struct {
	name string
	// after is the time from the answer to the end.
	after time.Duration
	end   func(conn *net.TCPConn)
}

var earlyEnds = []earlyEnd{
	{"reset at once", 0, reset},
	{"reset after 5 ms", 5 * time.Millisecond, reset},
	{"reset after 50 ms", 50 * time.Millisecond, reset},
	// The kernel resets a connection that is closed with unread bytes.
	{"close at once with the upload unread", 0, closeConn},
	{"close after 50 ms with the upload unread", 50 * time.Millisecond, closeConn},
	{"close in one direction, then reset", 5 * time.Millisecond, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	}},
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func closeConn(conn *net.TCPConn) { _ = conn.Close() }

// serveEarly starts a server that writes an answer once it has the head of a request, and
// then ends the connection.
func serveEarly(t *testing.T, answer string, end earlyEnd) netip.AddrPort {
	t.Helper()
	return acceptAll(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, answer)
		time.Sleep(end.after)
		end.end(conn.(*net.TCPConn))
	})
}

// receiveEarly uploads a body and reads the answer. It returns a body that reads as whole,
// or an error.
func receiveEarly(t *testing.T, client *Client, size int64) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	call := newUpload(strings.NewReader(strings.Repeat("b", earlyUploadBytes)), size)
	call.Context.Deadline = time.Now().Add(5 * time.Second)
	answer, err := client.Serve(ctx, call)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	assert.Check(t, answer.Body.Close())
	return string(body), err
}

// TestEarlyAnswerCutByReset guards against an answer without a length that passes for
// whole although its connection was reset: the socket reports the reset to the write of
// the upload, and only an end of the stream to the read after it.
func TestEarlyAnswerCutByReset(t *testing.T) {
	head := func(status int, more string) string {
		return fmt.Sprintf("HTTP/1.1 %d x\r\n%s: a1\r\n%s\r\n", status, testDialect.AttemptID, more)
	}
	answers := []struct{ name, text string }{
		{"a few bytes", head(http.StatusOK, "") + cutBody},
		{"no body", head(http.StatusOK, "")},
		{"connection: close", head(http.StatusOK, "Connection: close\r\n") + cutBody},
		{"300 KiB", head(http.StatusOK, "") + strings.Repeat("x", 300<<10)},
		{"not run", head(http.StatusServiceUnavailable, testDialect.NotRun+": 1\r\n") + cutBody},
		{"misdirected", head(http.StatusMisdirectedRequest, "") + cutBody},
	}
	for _, answer := range answers {
		for _, end := range earlyEnds {
			for size, kind := range map[int64]string{earlyUploadBytes: "a length", -1: "chunks"} {
				t.Run(fmt.Sprintf("%s, %s, upload with %s", answer.name, end.name, kind), func(t *testing.T) {
					client := newDialectClient(t, serveEarly(t, answer.text, end))
					reasons := recordBroken(client)
					body, err := receiveEarly(t, client, size)
					reasons.check(t, 1)
					assert.Assert(t, err != nil, "passes with %d bytes", len(body))
					assert.Equal(t, request.AsRefusal(err).Outcome, request.Unknown)
					assert.Equal(t, request.AsRefusal(err).Cause, request.CauseBackendFailed)
				})
			}
		}
	}
}

// TestEarlyAnswerWithItsEnd checks that an answer that shows its own end passes although
// the server does not read the rest of the upload.
func TestEarlyAnswerWithItsEnd(t *testing.T) {
	head := "HTTP/1.1 413 x\r\n" + testDialect.AttemptID + ": a1\r\n"
	answers := map[string]string{
		"length": head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(cutBody), cutBody),
		"chunks": head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(cutBody), cutBody),
	}
	for name, text := range answers {
		for _, end := range earlyEnds {
			t.Run(name+", "+end.name, func(t *testing.T) {
				client := newDialectClient(t, serveEarly(t, text, end))
				reasons := recordBroken(client)
				body, err := receiveEarly(t, client, earlyUploadBytes)
				assert.NilError(t, err)
				reasons.check(t, 0)
				assert.Equal(t, body, cutBody)
			})
		}
	}
}

// TestUnsizedAnswerInOrder checks that an answer without a length passes if its request was
// written whole and the connection ends in order.
func TestUnsizedAnswerInOrder(t *testing.T) {
	for _, size := range []int64{uploadBytes, -1} {
		address := acceptAll(t, func(conn net.Conn) {
			defer func() { _ = conn.Close() }()
			incoming, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, incoming.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 x\r\n"+testDialect.AttemptID+": a1\r\n\r\n"+cutBody)
		})
		answer, err := newDialectClient(t, address).Serve(t.Context(), newUpload(strings.NewReader(strings.Repeat("b", uploadBytes)), size))
		assert.NilError(t, err)
		body, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), cutBody)
		assert.NilError(t, answer.Body.Close())
	}
}
