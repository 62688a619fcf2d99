package tcpconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// answerBytes is more than the buffers of a connection hold while its reader does not
	// read, and less than they hold together with the writer's.
	answerBytes = 64 << 10
	// windowBytes is the receive buffer of the side that reads slowly.
	windowBytes = 8 << 10
	// longTimeout is longer than a test takes.
	longTimeout = 10 * time.Second
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (local, remote *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		assert.Check(t, err)
		accepted <- conn
	}()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	conn := <-accepted
	t.Cleanup(func() { _, _ = conn.Close(), dialled.Close() })
	return conn.(*net.TCPConn), dialled.(*net.TCPConn)
}

// TestCloseGracefullyDeliversAll guards against an answer that its reader gets only in
// part, because the connection was closed with bytes of the reader unread or got some
// after it was closed.
func TestCloseGracefullyDeliversAll(t *testing.T) {
	cases := []struct {
		name string
		// before and after are sent by the reader before and after the close began.
		before, after int
	}{
		{"nothing unread", 0, 0},
		{"unread bytes", 1000, 0},
		{"bytes that come later", 0, 1000},
		{"both", 1000, 100000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			local, remote := pair(t)
			assert.NilError(t, remote.SetReadBuffer(windowBytes))
			_, err := remote.Write(make([]byte, c.before))
			assert.NilError(t, err)
			answer := bytes.Repeat([]byte("answer--"), answerBytes/8)
			_, err = local.Write(answer)
			assert.NilError(t, err)
			closed := make(chan error, 1)
			go func() { closed <- CloseGracefully(local, longTimeout) }()
			_, err = io.ReadFull(remote, make([]byte, 1))
			assert.NilError(t, err)
			_, err = remote.Write(make([]byte, c.after))
			assert.NilError(t, err)
			rest, err := io.ReadAll(remote)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(rest, answer[1:]), "%d of %d bytes", len(rest)+1, len(answer))
			assert.NilError(t, remote.Close())
			assert.NilError(t, <-closed)
		})
	}
}

// TestCloseGracefullyEnds guards against connections that stay open because the other
// side neither closes its own side nor stops sending.
func TestCloseGracefullyEnds(t *testing.T) {
	const timeout = 200 * time.Millisecond
	cases := []struct {
		name  string
		sends bool
	}{
		{"silent", false},
		{"sends without end", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			local, remote := pair(t)
			if c.sends {
				go func() {
					for err := error(nil); err == nil; {
						_, err = remote.Write(make([]byte, windowBytes))
					}
				}()
			}
			began := time.Now()
			assert.NilError(t, CloseGracefully(local, timeout))
			assert.Assert(t, time.Since(began) >= timeout)
			_, err := local.Write([]byte("x"))
			assert.Assert(t, errors.Is(err, net.ErrClosed))
		})
	}
}

// TestCloseGracefullyWithoutHalfClose closes a connection that is not TCP.
func TestCloseGracefullyWithoutHalfClose(t *testing.T) {
	local, remote := net.Pipe()
	assert.NilError(t, remote.SetReadDeadline(time.Now().Add(longTimeout)))
	assert.NilError(t, CloseGracefully(local, longTimeout))
	_, err := remote.Read(make([]byte, 1))
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded))
	assert.Equal(t, err, io.EOF)
}
