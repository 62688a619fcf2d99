package httpconn

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connPair returns both ends of a connection on loopback.
func connPair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	server, err := Listen(listener).Accept()
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return server.(*Conn), client
}

func TestWatchReportsClose(t *testing.T) {
	server, client := connPair(t)
	closed := make(chan struct{})
	server.Watch(func() { close(closed) })
	assert.NilError(t, client.Close())
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the closed connection was not detected")
	}
	server.Unwatch()
}

// TestWatchKeepsBytes sends the next request while the connection is watched and
// while watches start and end. No byte may be lost.
func TestWatchKeepsBytes(t *testing.T) {
	server, client := connPair(t)
	sent := "the next request"
	for range 50 {
		server.Watch(func() { t.Error("the connection is open") })
		_, err := client.Write([]byte(sent))
		assert.NilError(t, err)
		time.Sleep(watchDelay / 4)
		server.Unwatch()
		got := make([]byte, len(sent))
		for n := 0; n < len(got); {
			m, err := server.Read(got[n:])
			assert.NilError(t, err)
			n += m
		}
		assert.Equal(t, string(got), sent)
	}
	server.Watch(func() { t.Error("the connection is open") })
	time.Sleep(3 * watchDelay)
	server.Unwatch()
}

func TestIsIdle(t *testing.T) {
	server, client := connPair(t)
	assert.Assert(t, server.IsIdle())
	_, err := client.Write([]byte("x"))
	assert.NilError(t, err)
	for server.IsIdle() {
		time.Sleep(time.Millisecond)
	}
	_, err = server.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, server.IsIdle())
	assert.NilError(t, client.Close())
	for server.IsIdle() {
		time.Sleep(time.Millisecond)
	}
}
