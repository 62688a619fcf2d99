package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/request"
)

// BenchmarkCall sends calls with a small body over one unencrypted session on
// loopback, sequentially and in parallel.
func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := NewServer(ServerConfig{Self: identity("server"), Calls: request.HandlerFunc(echo), Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	b.Cleanup(func() {
		cancel()
		assert.NilError(b, <-done)
	})
	address := netip.MustParseAddrPort(listener.Addr().String())
	pool := NewPool(PoolConfig{Self: identity("client"), Logger: zap.NewNop()})
	b.Cleanup(pool.Close)

	once := func() error {
		call := newCall("three mugs")
		call.Context.ID = uuid.UUID{15: 1}
		call.Context.Deadline = time.Now().Add(time.Minute)
		answer, err := pool.Call(ctx, address, call)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return err
		}
		return answer.Body.Close()
	}
	b.Run("sequential", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			assert.NilError(b, once())
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if err := once(); err != nil {
					b.Error(err)
				}
			}
		})
	})
}
