package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/request"
)

// mutableForwarder forwards connections to an address until it is muted. From then
// on it discards all data.
func mutableForwarder(t *testing.T, to netip.AddrPort) (address netip.AddrPort, mute *atomic.Bool) {
	t.Helper()
	mute = &atomic.Bool{}
	address = acceptAll(t, func(client net.Conn) {
		server, err := net.Dial("tcp", to.String())
		if err != nil {
			_ = client.Close()
			return
		}
		go forward(client, server, mute)
		forward(server, client, mute)
	})
	return address, mute
}

func forward(to, from net.Conn, mute *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if mute.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestRetryableCallsLeaveUnresponsiveNode: a VM loses power while calls wait for it.
// Once a further call has found that no data arrives from it, those that may be
// retried end at once and can be sent to another node; the others wait for their
// answer.
func TestRetryableCallsLeaveUnresponsiveNode(t *testing.T) {
	const inUse = 200 * time.Millisecond
	entered := make(chan struct{}, 2)
	handler := request.HandlerFunc(func(ctx context.Context, _ *request.Call) (*request.Answer, error) {
		entered <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	address, mute := mutableForwarder(t, startServer(t, handler, nil))
	pool := NewPool(PoolConfig{Self: identity("client"), Logger: zap.NewNop(), Timing: Timing{ProbeAfterInUse: inUse}})
	t.Cleanup(pool.Close)

	call := func(idempotent bool) chan error {
		ended := make(chan error, 1)
		waiting := newCall("")
		waiting.Idempotent, waiting.Replay = idempotent, request.Replay(nil)
		go func() {
			_, err := pool.Call(t.Context(), address, waiting)
			ended <- err
		}()
		<-entered
		return ended
	}
	retryable, notRetryable := call(true), call(false)
	mute.Store(true)
	time.Sleep(2 * inUse)

	_, err := pool.Call(t.Context(), address, newCall(""))
	assert.Equal(t, request.AsRefusal(err).Outcome, request.NotRun, "a call was sent to an unresponsive node")
	refusal := request.AsRefusal(<-retryable)
	assert.Equal(t, refusal.Cause, request.CauseBackendFailed)
	assert.Equal(t, refusal.Outcome, request.Unknown)
	select {
	case err := <-notRetryable:
		t.Fatalf("a call that may not be retried was abandoned: %v", err)
	default:
	}
}
