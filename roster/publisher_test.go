package roster

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	kvfake "auburngap/kv/fake"
)

// TestWaitConfirmed guards against a report that a server leaves which is acknowledged
// before the service has it: the wait ends only with the member of the last Set, not with
// an earlier one, and ends in vain while the service is away.
func TestWaitConfirmed(t *testing.T) {
	const key = "online/vm-1"
	service := kvfake.New(kvfake.Config{})
	publisher := NewPublisher(PublisherConfig{
		Client:       service,
		Key:          key,
		CurrentEntry: func() (kv.Entry, bool) { return kv.Entry{}, false },
		Logger:       zap.NewNop(),
	})
	done := make(chan error, 1)
	ctx, stop := context.WithCancel(t.Context())
	go func() { done <- publisher.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
	wait := func(timeout time.Duration) bool {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		return publisher.WaitConfirmed(ctx)
	}
	published := func() Member {
		entry, err := service.Get(t.Context(), key)
		assert.NilError(t, err)
		var member Member
		assert.NilError(t, json.Unmarshal(entry.Value, &member))
		return member
	}
	const short, long = 100 * time.Millisecond, 10 * time.Second
	member := Member{VM: "vm-1", Address: netip.MustParseAddrPort("127.0.0.1:1")}

	assert.Assert(t, !wait(short), "nothing was set")
	publisher.Set(member)
	assert.Assert(t, wait(long))
	assert.Assert(t, !published().Leaving)
	assert.Assert(t, wait(short), "confirmed already")

	service.SetFaults(kvfake.Faults{Down: true})
	member.Leaving = true
	publisher.Set(member)
	assert.Assert(t, !wait(short), "the service is away")
	service.SetFaults(kvfake.Faults{})
	assert.Assert(t, wait(long))
	assert.Assert(t, published().Leaving)
}
