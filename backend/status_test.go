package backend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// TestBadStatus guards against an answer whose status line is not one of HTTP and that
// passes for an answer: 000 was passed on as 200. The request may have run then, and the
// connection is not used again.
func TestBadStatus(t *testing.T) {
	for status, passes := range map[string]bool{
		"200": true, "204": true, "404": true, "599": true,
		"000": false, "001": false, "099": false, "101": false, "600": false, "999": false,
		"20": false, "2000": false, "abc": false, "-20": false, "+20": false, "": false,
	} {
		t.Run("status "+status, func(t *testing.T) {
			ended := make(chan error, 1)
			address := acceptAll(t, func(conn net.Conn) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				sent, err := http.ReadRequest(reader)
				if err != nil {
					ended <- err
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Fine\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
					status, testDialect.AttemptID, sent.Header.Get(testDialect.AttemptID))
				_, err = reader.ReadByte()
				ended <- err
			})
			answer, err := attemptOf(t, newDialectClient(t, address), "a1")
			if passes {
				assert.NilError(t, err)
				assert.Equal(t, fmt.Sprint(answer.Status), status)
				return
			}
			assert.Assert(t, err != nil, "passes with %v", answer)
			refusal := request.AsRefusal(err)
			assert.Equal(t, refusal.Cause, request.CauseBackendFailed)
			assert.Equal(t, refusal.Outcome, request.Unknown)
			assert.ErrorContains(t, <-ended, "EOF")
		})
	}
}
