package peer

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburngap/request"
)

// sessionBytes is the memory that docs/CAPACITY.md states for one end of a session.
const sessionBytes = 31 << 10

// largeAnswers answers each call with a body as large as a photo proof.
func largeAnswers(context.Context, *request.Call) (*request.Answer, error) {
	proof := bytes.Repeat([]byte("mug "), 30<<8)
	return &request.Answer{Status: 200, Body: io.NopCloser(bytes.NewReader(proof)), BodySize: int64(len(proof))}, nil
}

// callConcurrently makes the given number of concurrent calls to a node.
func callConcurrently(ctx context.Context, pool *Pool, address netip.AddrPort, calls int) error {
	group, ctx := errgroup.WithContext(ctx)
	for range calls {
		group.Go(func() error { return callOnce(ctx, pool, address) })
	}
	return group.Wait()
}

// TestUsedSessionsKeepLittleMemory covers a service that every node calls now and
// then, several times at once and with large answers: the memory that its sessions
// keep for the next call must not grow with the last answers.
func TestUsedSessionsKeepLittleMemory(t *testing.T) {
	const nodes = 24
	pool, addresses := boundedPool(t, nodes, nodes, request.HandlerFunc(largeAnswers))
	for _, address := range addresses {
		assert.NilError(t, callOnce(t.Context(), pool, address))
	}
	before := heapInUse()
	for _, address := range addresses {
		assert.NilError(t, callConcurrently(t.Context(), pool, address, 2*maxIdleStreams))
	}
	// Streams beyond those that are kept are closed after the last answers.
	awaitTrue(t, "sessions keep little memory", func() bool {
		grown := int64(heapInUse()) - int64(before)
		t.Logf("grown by %d KB for each session", grown/nodes>>10)
		return grown < 2*nodes*sessionBytes
	})
}
