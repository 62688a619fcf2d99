package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// maxReasonBytes bounds a reason for which an answer is broken.
const maxReasonBytes = 400

// serveAnswer starts a server that answers each connection's first request with the text
// of answer, in which ATTEMPT stands for the request's attempt ID. It sends on ended how
// the connection ended, once for each: with io.EOF if the client closed it first.
func serveAnswer(t *testing.T, answer string) (address netip.AddrPort, ended chan error) {
	t.Helper()
	ended = make(chan error, 1)
	address = acceptAll(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			ended <- err
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "ATTEMPT", incoming.Header.Get(testDialect.AttemptID)))
		_, err = reader.ReadByte()
		ended <- err
	})
	return address, ended
}

// reportedReasons are the reasons for which answers were reported as broken.
type reportedReasons struct {
	mu      sync.Mutex
	reasons []string
}

// recordBroken records the reasons that a client reports.
func recordBroken(client *Client) *reportedReasons {
	r := &reportedReasons{}
	client.config.OnBroken = func(_ *request.Call, reason error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reasons = append(r.reasons, reason.Error())
	}
	return r
}

// check checks that the expected number of answers was reported, each with a reason that
// is short.
func (r *reportedReasons) check(t *testing.T, expected int) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Equal(t, len(r.reasons), expected, "%q", r.reasons)
	for _, reason := range r.reasons {
		assert.Assert(t, reason != "" && len(reason) <= maxReasonBytes, "%q", reason)
	}
}

// checkBroken sends a call to a server that answers it with the text of a broken answer,
// and keeps the connection open. Nothing must follow from the answer but a report, and the
// connection must be closed.
func checkBroken(t *testing.T, answer string) {
	t.Helper()
	address, ended := serveAnswer(t, answer)
	client := newDialectClient(t, address)
	reasons := recordBroken(client)
	got, err := attemptOf(t, client, "a1")
	assert.Assert(t, err != nil, "passes with %v", got)
	refusal := request.AsRefusal(err)
	assert.Equal(t, refusal.Cause, request.CauseBackendFailed)
	assert.Equal(t, refusal.Outcome, request.Unknown)
	assert.ErrorContains(t, <-ended, "EOF")
	reasons.check(t, 1)
}
