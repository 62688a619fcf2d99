package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// rawServer is a backend server that writes bytes of a test's choice.
type rawServer struct {
	// respond returns the response to a request, the first on its connection or a later
	// one. It returns nil to close the connection.
	respond func(attempt string, number int) []byte
	// connections is the number of connections, and runs that of the requests that run.
	connections, runs atomic.Int64
}

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.connections.Add(1)
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := s.respond(incoming.Header.Get(testDialect.AttemptID), number)
		if _, err := conn.Write(response); err != nil || response == nil {
			return
		}
	}
}

// startRawServer starts a server and returns a client of it.
func startRawServer(t *testing.T, s *rawServer) *Client {
	t.Helper()
	return newDialectClient(t, acceptAll(t, s.serve))
}

// acceptAll serves each connection to a new address until the test ends.
func acceptAll(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// newDialectClient returns a client of the server at an address, which speaks testDialect.
func newDialectClient(t *testing.T, address netip.AddrPort) *Client {
	t.Helper()
	client := NewClient(ClientConfig{Tokens: NewTokens(), Dialect: testDialect, UnsafeIdleTimeout: time.Minute, Announced: func() (Announcement, bool) {
		return Announcement{Service: "tracking", Address: address, Slots: 10, Connections: 10}, true
	}})
	t.Cleanup(client.Close)
	return client
}

// newAttempt returns an attempt of a call that must not run twice.
func newAttempt(attempt string) *request.Call {
	call := &request.Call{Service: "tracking", Method: http.MethodGet, URI: []byte("/"), Host: "h", AttemptID: attempt}
	call.Headers = []request.Header{{Name: []byte(testDialect.AttemptID), Value: []byte(attempt)}}
	call.Context.Deadline = time.Now().Add(2 * time.Second)
	return call
}

// attemptOf sends one attempt of a call that must not run twice.
func attemptOf(t *testing.T, client *Client, attempt string) (*request.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	t.Cleanup(cancel)
	answer, err := client.Serve(ctx, newAttempt(attempt))
	if err == nil {
		assert.NilError(t, answer.Body.Close())
	}
	return answer, err
}

// TestRepeatedRefusalProvesNothing: a faulty backend server wrote an earlier refusal once
// more on a kept connection. The next request there was reported as not run although it
// ran, so that the caller sent it again or it ran at a second server.
func TestRepeatedRefusalProvesNothing(t *testing.T) {
	head := func(status int, attempt string) string {
		named := ""
		if attempt != "" {
			named = testDialect.AttemptID + ": " + attempt + "\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n", status, named)
	}
	refusal := func(attempt string) string {
		return head(http.StatusServiceUnavailable, attempt) + testDialect.NotRun + ": 1\r\n\r\n"
	}
	misdirected := func(attempt string) string { return head(http.StatusMisdirectedRequest, attempt) + "\r\n" }
	cases := []struct {
		name string
		// first and repeated are the refusal of the first request, and what the server
		// writes before its answer to the second.
		first, repeated string
		// second is the attempt ID of the second request; that of the first is "a1".
		second string
	}{
		{"of another attempt", refusal("a1"), refusal("a1"), "a2"},
		{"without an ID", refusal("a1"), refusal(""), "a2"},
		{"without an ID, misdirected", refusal("a1"), misdirected(""), "a2"},
		{"of the same attempt, sent again", refusal("a1"), refusal("a1"), "a1"},
		{"of the same attempt, misdirected", refusal("a1"), misdirected("a1"), "a1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := &rawServer{}
			server.respond = func(attempt string, number int) []byte {
				if number == 0 && server.connections.Load() == 1 {
					return []byte(c.first)
				}
				server.runs.Add(1)
				answer := []byte(head(http.StatusOK, attempt) + "\r\n")
				if number > 0 {
					answer = append([]byte(c.repeated), answer...)
				}
				return answer
			}
			client := startRawServer(t, server)
			_, err := attemptOf(t, client, "a1")
			assert.Equal(t, request.AsRefusal(err).Outcome, request.NotRun)

			answer, err := attemptOf(t, client, c.second)
			assert.Equal(t, server.runs.Load(), int64(1))
			if err != nil {
				assert.Equal(t, request.AsRefusal(err).Outcome, request.Unknown)
				return
			}
			assert.Equal(t, answer.Status, http.StatusOK)
		})
	}
}

// TestRefusedAttemptsOfAConnectionAreBounded: the attempts that a connection keeps in mind
// must not grow with the refusals of a server that sheds load.
func TestRefusedAttemptsOfAConnectionAreBounded(t *testing.T) {
	c := &connection{}
	call := &request.Call{}
	call.Context.Deadline = time.Now().Add(time.Minute)
	for i := range maxRefusedAttempts {
		call.AttemptID = fmt.Sprint(i)
		assert.Assert(t, c.addRefused(call))
	}
	call.AttemptID = "one more"
	assert.Assert(t, !c.addRefused(call))
	for attempt := range c.refused {
		c.refused[attempt] = time.Now().Add(-time.Second)
	}
	assert.Assert(t, c.addRefused(call))
	assert.Equal(t, len(c.refused), 1)
}
