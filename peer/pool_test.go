package peer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/request"
)

// session returns the session to an address, as a call gets it.
func (p *Pool) session(ctx context.Context, address netip.AddrPort) (*Session, error) {
	entry, err := p.acquire(ctx, address, false)
	if err != nil {
		return nil, err
	}
	entry.release()
	return entry.session, nil
}

// size returns the number of sessions, and of those that are in use.
func (p *Pool) size() (all, used int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.entries {
		if !entry.isIdle(time.Now()) {
			used++
		}
	}
	return len(p.entries), used
}

// boundedPool returns a pool bounded to sessions, and the addresses of servers.
func boundedPool(t *testing.T, sessions, servers int, handler request.Handler) (*Pool, []netip.AddrPort) {
	var addresses []netip.AddrPort
	for range servers {
		addresses = append(addresses, startServer(t, handler, nil))
	}
	pool := NewPool(PoolConfig{Self: identity("client"), Logger: zap.NewNop(), Sessions: sessions})
	t.Cleanup(pool.Close)
	return pool, addresses
}

func callOnce(ctx context.Context, pool *Pool, address netip.AddrPort) error {
	answer, err := pool.Call(ctx, address, newCall("mug"))
	if err != nil {
		return err
	}
	if _, err := io.ReadAll(answer.Body); err != nil {
		return err
	}
	return answer.Body.Close()
}

func mustSession(t *testing.T, pool *Pool, address netip.AddrPort) *Session {
	t.Helper()
	session, err := pool.session(t.Context(), address)
	assert.NilError(t, err)
	return session
}

func awaitTrue(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.Now().Add(5 * time.Second)
	for !holds() {
		assert.Assert(t, time.Now().Before(limit), what)
		time.Sleep(time.Millisecond)
	}
}

// TestPoolClosesTheLeastRecentlyUsed calls more nodes than the pool keeps sessions
// to, and then calls the node whose session was closed.
func TestPoolClosesTheLeastRecentlyUsed(t *testing.T) {
	pool, addresses := boundedPool(t, 3, 4, request.HandlerFunc(echo))
	var sessions []*Session
	for _, address := range addresses[:3] {
		assert.NilError(t, callOnce(t.Context(), pool, address))
		sessions = append(sessions, mustSession(t, pool, address))
	}
	assert.NilError(t, callOnce(t.Context(), pool, addresses[0]))
	assert.NilError(t, callOnce(t.Context(), pool, addresses[3]))
	awaitTrue(t, "the second session is closed", sessions[1].IsClosed)
	assert.Assert(t, !sessions[0].IsClosed() && !sessions[2].IsClosed())
	assert.NilError(t, callOnce(t.Context(), pool, addresses[1]))
	assert.Assert(t, mustSession(t, pool, addresses[1]) != sessions[1])
	all, _ := pool.size()
	assert.Equal(t, all, 3)
}

// TestPoolKeepsSessionsInUse makes concurrent calls to more nodes than the bound:
// none is cut off, and once they end the pool returns to its bound.
func TestPoolKeepsSessionsInUse(t *testing.T) {
	proceed := make(chan struct{})
	var entered sync.WaitGroup
	entered.Add(5)
	handler := request.HandlerFunc(func(ctx context.Context, call *request.Call) (*request.Answer, error) {
		if call.Service == "waits" {
			entered.Done()
			<-proceed
		}
		return echo(ctx, call)
	})
	pool, addresses := boundedPool(t, 2, 8, handler)
	var group sync.WaitGroup
	for _, address := range addresses[:5] {
		group.Go(func() {
			call := newCall("mug")
			call.Service = "waits"
			answer, err := pool.Call(t.Context(), address, call)
			if err != nil {
				t.Error(err)
				return
			}
			if _, err := io.ReadAll(answer.Body); err != nil {
				t.Error(err)
			}
			_ = answer.Body.Close()
		})
	}
	entered.Wait()
	for range 10 {
		for _, address := range addresses[5:] {
			assert.NilError(t, callOnce(t.Context(), pool, address))
			all, _ := pool.size()
			assert.Assert(t, all <= 6, "%d sessions, 5 of them in use", all)
		}
	}
	close(proceed)
	group.Wait()
	awaitTrue(t, "the pool is within its bound", func() bool {
		assert.NilError(t, callOnce(t.Context(), pool, addresses[0]))
		all, _ := pool.size()
		return all <= 2
	})
}

// TestPoolKeepsControlSessions calls many nodes after one was sent a control
// message. Its session must be kept, as relays and shard owners are contacted
// repeatedly.
func TestPoolKeepsControlSessions(t *testing.T) {
	pool, addresses := boundedPool(t, 2, 6, request.HandlerFunc(echo))
	stream, err := pool.OpenStream(t.Context(), addresses[0])
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	owner := mustSession(t, pool, addresses[0])
	for range 5 {
		for _, address := range addresses[1:] {
			assert.NilError(t, callOnce(t.Context(), pool, address))
		}
	}
	assert.Assert(t, !owner.IsClosed() && mustSession(t, pool, addresses[0]) == owner)
	all, _ := pool.size()
	assert.Equal(t, all, 2)
	pool.mu.Lock()
	pool.entries[addresses[0]].lastControl = time.Now().Add(-controlKeepTime)
	pool.mu.Unlock()
	for _, address := range addresses[1:3] {
		assert.NilError(t, callOnce(t.Context(), pool, address))
	}
	awaitTrue(t, "a session without control messages is closed", owner.IsClosed)
}

// TestPoolBoundUnderLoad calls many nodes at once over few sessions. No call may
// fail, as it would if its session were closed during the call.
func TestPoolBoundUnderLoad(t *testing.T) {
	const bound, callers, calls = 3, 6, 300
	pool, addresses := boundedPool(t, bound, 12, request.HandlerFunc(echo))
	var group sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(1, uint64(caller)))
		group.Go(func() {
			for range calls {
				if err := callOnce(t.Context(), pool, addresses[random.IntN(len(addresses))]); err != nil {
					t.Error(err)
				}
				if all, _ := pool.size(); all > bound+callers {
					t.Errorf("%d sessions", all)
				}
			}
		})
	}
	group.Wait()
	// The closed session to a dead node must not stay in the pool longer than a live one.
	awaitTrue(t, "the pool is within its bound", func() bool {
		assert.NilError(t, callOnce(t.Context(), pool, addresses[0]))
		all, _ := pool.size()
		return all <= bound
	})
}

// benchServers starts n servers and returns their addresses.
func benchServers(b *testing.B, n int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		server := NewServer(ServerConfig{Self: identity("server"), Calls: request.HandlerFunc(echo), Logger: zap.NewNop()})
		go func() { _ = server.Serve(b.Context(), listener) }()
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return addresses
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	stats := statsAfterCollection()
	return stats.HeapAlloc + stats.StackInuse
}

// heapInUse returns the bytes of heap in use.
func heapInUse() uint64 {
	return statsAfterCollection().HeapAlloc
}

// statsAfterCollection collects garbage twice, as a sync.Pool keeps what was put
// back since the last collection.
func statsAfterCollection() runtime.MemStats {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}

// BenchmarkPool calls nodes in turn and reports the heap and stacks used by both
// ends of the sessions that are kept.
func BenchmarkPool(b *testing.B) {
	for _, nodes := range []int{32, 128, 512} {
		for name, sessions := range map[string]int{"bounded": 0, "unbounded": nodes} {
			b.Run(fmt.Sprintf("%s/nodes=%d", name, nodes), func(b *testing.B) {
				addresses := benchServers(b, nodes)
				before := memoryInUse()
				pool := NewPool(PoolConfig{Self: identity("client"), Logger: zap.NewNop(), Sessions: sessions})
				defer pool.Close()
				for _, address := range addresses {
					assert.NilError(b, callOnce(b.Context(), pool, address))
				}
				for i := 0; b.Loop(); i++ {
					assert.NilError(b, callOnce(b.Context(), pool, addresses[i%16]))
				}
				all, _ := pool.size()
				b.ReportMetric(float64(all), "sessions")
				b.ReportMetric(float64(memoryInUse())-float64(before), "B")
			})
		}
	}
}
