package backend

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

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
			answer := fmt.Sprintf("HTTP/1.1 %s Fine\r\n%s: ATTEMPT\r\nContent-Length: 0\r\n\r\n", status, testDialect.AttemptID)
			if !passes {
				checkBroken(t, answer)
				return
			}
			address, _ := serveAnswer(t, answer)
			got, err := attemptOf(t, newDialectClient(t, address), "a1")
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(got.Status), status)
		})
	}
}

// TestBadStatusLines guards against a status line that HTTP doesn't allow and that the
// library takes for one: 000 passed as 200 behind more blanks, empty lines or an earlier
// answer.
func TestBadStatusLines(t *testing.T) {
	fields := testDialect.AttemptID + ": ATTEMPT\r\nContent-Length: 0\r\n\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	other := "HTTP/1.1 200 OK\r\n" + testDialect.AttemptID + ": a0\r\nContent-Length: 0\r\n\r\n"
	sound := []string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.1 599 a \tlong (\"reason\") \xfc\r\n",
		"HTTP/1.1 421 Misdirected\r\n", "HTTP/1.1 503 Busy\r\n" + testDialect.NotRun + ": 1\r\n",
	}
	broken := []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.0 000 OK\r\n", "HTTP/1.1 000\r\n", "HTTP/1.1 000 \r\n",
		"HTTP/1.1 000 OK\r\n" + testDialect.NotRun + ": 1\r\n", "HTTP/1.1 00 OK\r\n", "HTTP/1.1 0000 OK\r\n", "HTTP/1.1 0 OK\r\n",
		"HTTP/1.1  000 OK\r\n", "HTTP/1.1    000 OK\r\n", "HTTP/1.1\t000 OK\r\n", "HTTP/1.1 \t000 OK\r\n",
		"HTTP/1.1 000  OK\r\n", "HTTP/1.1 000\tOK\r\n", " HTTP/1.1 000 OK\r\n",
		"\r\nHTTP/1.1 000 OK\r\n", "\nHTTP/1.1 000 OK\r\n", "\r\n\r\nHTTP/1.1 000 OK\r\n",
		"HTTP/1.1 000 OK\n", "http/1.1 000 OK\r\n", "HTTP/1.2 000 OK\r\n", "HTTP/2.0 000 OK\r\n",
		"HTTP/1.1  200 OK\r\n", "HTTP/1.1\t200 OK\r\n", " HTTP/1.1 200 OK\r\n", "\r\nHTTP/1.1 200 OK\r\n", "\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\n", "HTTP/1.1 200 O\x00K\r\n", "HTTP/1.1 200 O\x1bK\r\n", "HTTP/1.1 200 O\rK\r\n", "HTTP/1.1 200 O\x7fK\r\n",
		"HTTP/1.1 200\r\n", "HTTP/1.1 200\tOK\r\n", "HTTP/1.1 200OK\r\n", "HTTP/1.1 +99 OK\r\n", "HTTP/1.1 2e2 OK\r\n", "HTTP/1.1 2\x30\x00 OK\r\n",
		"HTTP/1.2 200 OK\r\n", "HTTP/0.9 200 OK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/11.1 200 OK\r\n", "HTTP/1 200 OK\r\n", "http/1.1 200 OK\r\n",
		"ICY 200 OK\r\n", "200 OK\r\n",
		"HTTP/1.1  421 Misdirected\r\n", "HTTP/1.1  503 Busy\r\n" + testDialect.NotRun + ": 1\r\n", "\r\nHTTP/1.1 503 Busy\r\n" + testDialect.NotRun + ": 1\r\n",
	}
	for _, line := range broken {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) { checkBroken(t, line+fields) })
		t.Run(fmt.Sprintf("interim answer, then %q", line), func(t *testing.T) { checkBroken(t, interim+line+fields) })
		t.Run(fmt.Sprintf("answer to another request, then %q", line), func(t *testing.T) { checkBroken(t, other+line+fields) })
	}
	for _, line := range sound {
		for _, earlier := range []string{"", interim, interim + interim} {
			t.Run(fmt.Sprintf("%q%q", earlier, line), func(t *testing.T) {
				address, _ := serveAnswer(t, earlier+line+fields)
				_, err := attemptOf(t, newDialectClient(t, address), "a1")
				assert.Assert(t, err == nil || request.AsRefusal(err).Outcome == request.NotRun, "%v", err)
			})
		}
	}
}

// TestBadInterimAnswers guards against a broken answer that passes because the library
// skips it as an interim one.
func TestBadInterimAnswers(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\n" + testDialect.AttemptID + ": ATTEMPT\r\nContent-Length: 0\r\n\r\n"
	for _, interim := range []string{
		"HTTP/1.1  100 Continue\r\n\r\n", "\r\nHTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 1000 Continue\r\n\r\n",
		"HTTP/1.1 000 Continue\r\n\r\n", "HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 000\r\n\r\n", "HTTP/1.1 099 Continue\r\n\r\n",
		"HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Continue\r\n\r\n",
		"HTTP/1.1 100 Continue\n\r\n\r\n", "HTTP/3.7 100 Continue\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100),
	} {
		t.Run(fmt.Sprintf("%.200q", interim), func(t *testing.T) { checkBroken(t, interim+answer) })
	}
}

// TestNoAnswerIsNotBroken checks that only what a server has written is reported as a broken
// answer: not a connection that ends without an answer, and not a call that was given up.
func TestNoAnswerIsNotBroken(t *testing.T) {
	for _, sent := range []string{"", "HTTP/1.1 200 OK\r\n", claims["success"] + "Content-Length: 5\r\n\r\nbo", claims["success"] + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo"} {
		t.Run(fmt.Sprintf("given up after %q", sent), func(t *testing.T) {
			address, ended := serveAnswer(t, sent)
			client := newDialectClient(t, address)
			reasons := recordBroken(client)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := client.Serve(ctx, newAttempt("a1"))
			assert.Equal(t, request.AsRefusal(err).Cause, request.CauseDeadline)
			assert.ErrorContains(t, <-ended, "EOF")
			reasons.check(t, 0)
		})
	}
	for _, resets := range []bool{false, true} {
		client := newDialectClient(t, serveCut(t, "", resets))
		reasons := recordBroken(client)
		_, err := attemptOf(t, client, "a1")
		assert.Equal(t, request.AsRefusal(err).Outcome, request.Unknown)
		reasons.check(t, 0)
	}
}
