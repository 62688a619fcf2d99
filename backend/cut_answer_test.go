package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

const cutBody = "a short body"

// cutAnswers are whole answers to the attempt a1 whose body is cutBody. Their last header
// is not needed to understand them.
func cutAnswers() map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + testDialect.AttemptID + ": a1\r\n"
	return map[string]string{
		"length":    head + fmt.Sprintf("Content-Length: %d\r\nSeal: s\r\n\r\n%s", len(cutBody), cutBody),
		"chunks":    head + fmt.Sprintf("Transfer-Encoding: chunked\r\nSeal: s\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(cutBody), cutBody),
		"no length": head + "Connection: close\r\nSeal: s\r\n\r\n" + cutBody,
	}
}

// serveCut starts a server that writes the same bytes to each request, and then closes the
// connection or resets it.
func serveCut(t *testing.T, response string, resets bool) netip.AddrPort {
	t.Helper()
	if resets {
		return serveEarly(t, response, earlyEnd{end: reset})
	}
	return serveEarly(t, response, earlyEnd{end: closeConn})
}

// receiveCut sends a call and returns the body of a success that reads as whole, and
// whether there is one.
func receiveCut(t *testing.T, address netip.AddrPort) (body string, whole bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	call := &request.Call{Service: "tracking", Method: http.MethodGet, URI: []byte("/"), Host: "h", AttemptID: "a1", Idempotent: true}
	call.Context.Deadline = time.Now().Add(5 * time.Second)
	answer, err := newDialectClient(t, address).Serve(ctx, call)
	if err != nil {
		assert.Check(t, request.AsRefusal(err).Outcome == request.Unknown, "%v", err)
		return "", false
	}
	data, err := io.ReadAll(answer.Body)
	assert.Check(t, answer.Body.Close())
	return string(data), err == nil && answer.Status == http.StatusOK
}

// TestCutAnswers guards against an answer that a backend server cut, in its head too, and
// that passes for a whole one with an empty or short body.
func TestCutAnswers(t *testing.T) {
	for name, response := range cutAnswers() {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, resets), func(t *testing.T) {
				headEnd := len(response) - len(cutBody)
				for sent := range len(response) {
					// Nothing shows that a body without a length is cut, but a reset.
					if name == "no length" && !resets && sent >= headEnd {
						continue
					}
					body, whole := receiveCut(t, serveCut(t, response[:sent], resets))
					assert.Check(t, !whole, "after %d of %d bytes, %q: %q", sent, len(response), response[:sent], body)
				}
				if !resets {
					body, whole := receiveCut(t, serveCut(t, response, false))
					assert.Check(t, whole)
					assert.Equal(t, body, cutBody)
				}
			})
		}
	}
}
