package httpconn

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// pollingServer is a server whose idle connections are polled.
type pollingServer struct {
	listener *pollingListener
	server   *fasthttp.Server
}

// newPollingServer starts a server that answers with the request's path.
func newPollingServer(t *testing.T, idleTimeout time.Duration) *pollingServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener, err := listenPolling(inner, idleTimeout, 10*time.Millisecond, nil)
	assert.NilError(t, err)
	server := NewServer(ServerConfig{Logger: zap.NewNop(), Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetBody(ctx.Path())
	}})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		assert.NilError(t, server.Shutdown())
		assert.NilError(t, <-served)
	})
	return &pollingServer{listener: listener, server: server}
}

// waitForIdle waits until count connections are polled and none is served.
func (m *pollingServer) waitForIdle(t *testing.T, count int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		idle, open := m.listener.idle.count(), m.server.GetOpenConnectionsCount()
		if idle == count && open == 0 {
			return poll.Success()
		}
		return poll.Continue("%d connections are polled, %d are served", idle, open)
	}, poll.WithTimeout(10*time.Second))
}

// testClient is one connection of a caller.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func (m *pollingServer) dial(t *testing.T) testClient {
	t.Helper()
	conn, err := net.Dial("tcp", m.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return testClient{Conn: conn, reader: bufio.NewReader(conn)}
}

// ask sends a request in two parts and checks that the answer is its own.
func (c testClient) ask(t *testing.T, path string) {
	t.Helper()
	for _, part := range []string{"G", "ET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"} {
		_, err := io.WriteString(c, part)
		assert.NilError(t, err)
	}
	var response fasthttp.Response
	assert.NilError(t, response.Read(c.reader))
	assert.Equal(t, string(response.Body()), path)
}

// TestIdleConnections serves requests on connections that are idle before the first
// request and between requests.
func TestIdleConnections(t *testing.T) {
	m := newPollingServer(t, 0)
	const connections = 200
	var clients []testClient
	for range connections {
		clients = append(clients, m.dial(t))
	}
	for range 3 {
		m.waitForIdle(t, connections)
		for i, c := range clients {
			c.ask(t, "/"+string(rune('a'+i%26)))
		}
	}
	m.waitForIdle(t, connections)
	for _, c := range clients {
		assert.NilError(t, c.Close())
	}
	m.waitForIdle(t, 0)
}

func TestIdleConnectionsEnd(t *testing.T) {
	cases := []struct {
		name        string
		idleTimeout time.Duration
		end         func(*testing.T, *pollingServer)
	}{
		{"at their idle timeout", 100 * time.Millisecond, func(*testing.T, *pollingServer) {}},
		{"with the server", time.Hour, func(t *testing.T, m *pollingServer) {
			m.waitForIdle(t, 1)
			assert.NilError(t, m.server.Shutdown())
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newPollingServer(t, c.idleTimeout)
			caller := m.dial(t)
			caller.ask(t, "/a")
			c.end(t, m)
			_, err := caller.reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, m.listener.idle.count(), 0)
		})
	}
}

// count returns how many connections the poller holds.
func (r *idleConns) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}
