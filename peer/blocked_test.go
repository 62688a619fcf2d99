package peer

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/peer/peerpb"
	"auburngap/request"
)

const (
	// blockedWait is the time that the callers of a blocked session have.
	blockedWait = 300 * time.Millisecond
	// maxDelay is how much later than its context's end a call may return.
	maxDelay = 200 * time.Millisecond
)

// startBlockedPeer returns the address of a node that accepts a session and then reads
// nothing more, as if it were frozen.
func startBlockedPeer(t *testing.T) netip.AddrPort {
	t.Helper()
	return acceptAll(t, func(conn net.Conn) {
		assert.Check(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err := readHello(conn)
		assert.Check(t, err)
		assert.Check(t, sendHello(conn, identity("frozen")))
		t.Cleanup(func() { _ = conn.Close() })
	})
}

// blockSession sends calls with large bodies to a node until its connection takes no more.
func blockSession(t *testing.T, pool *Pool, address netip.AddrPort) {
	t.Helper()
	body := bytes.Repeat([]byte("mug "), 64<<10)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for range 48 {
		call := newCall("")
		call.Body, call.BodySize = bytes.NewReader(body), int64(len(body))
		go func() { _, _ = pool.Call(ctx, address, call) }()
	}
	time.Sleep(blockedWait)
}

// TestBlockedPeerDelaysNobody: a frozen node's connection was full. What was sent to it
// returned only seconds after its deadline, because the multiplexer waits for the
// connection whatever the deadline is.
func TestBlockedPeerDelaysNobody(t *testing.T) {
	cases := map[string]func(ctx context.Context, pool *Pool, address netip.AddrPort) error{
		"control message": func(ctx context.Context, pool *Pool, address netip.AddrPort) error {
			return Ask(ctx, pool, address, KindRoster, &peerpb.RosterQuery{}, &peerpb.RosterReply{})
		},
		"call": func(ctx context.Context, pool *Pool, address netip.AddrPort) error {
			_, err := pool.Call(ctx, address, newCall(""))
			return err
		},
		"call with a body": func(ctx context.Context, pool *Pool, address netip.AddrPort) error {
			_, err := pool.Call(ctx, address, newCall("mug"))
			return err
		},
	}
	for name, send := range cases {
		t.Run(name, func(t *testing.T) {
			address, pool := startBlockedPeer(t), newPool(t, nil)
			blockSession(t, pool, address)
			ctx, cancel := context.WithTimeout(t.Context(), blockedWait)
			defer cancel()
			startedAt := time.Now()
			err := send(ctx, pool, address)
			took := time.Since(startedAt)
			t.Logf("%v: %v", took, err)
			assert.Check(t, err != nil)
			assert.Check(t, took < blockedWait+maxDelay, "%v", took)
		})
	}
}

// TestWritesFailAfterDeadline: a write after one that had ended by its deadline took the
// result of the earlier one for its own.
func TestWritesFailAfterDeadline(t *testing.T) {
	pool := newPool(t, nil)
	stream, err := pool.OpenStream(t.Context(), startServer(t, request.HandlerFunc(echo), nil))
	assert.NilError(t, err)
	_, err = stream.Write([]byte("mug"))
	assert.NilError(t, err)
	assert.NilError(t, stream.SetWriteDeadline(pastDeadline))
	for range 100 {
		_, err = stream.Write([]byte("mug"))
		assert.Assert(t, err != nil)
	}
	assert.NilError(t, stream.Close())
}
