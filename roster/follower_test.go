package roster

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/peer"
	"auburngap/peer/peerpb"
)

const configKey = "o-config"

// testZone holds the followers of one availability zone, which query each other in
// memory.
type testZone struct {
	t         *testing.T
	service   *fake.Service
	followers map[netip.AddrPort]*Follower
	// rejected holds the VMs whose reads the service rejects.
	rejected atomic.Pointer[map[string]bool]
}

// vmClient is one VM's client of the service.
type vmClient struct {
	kv.Client
	testZone *testZone
	vm       string
}

func (c vmClient) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	if (*c.testZone.rejected.Load())[c.vm] {
		return nil, 0, kv.ErrUnavailable.New("rejected")
	}
	return c.Client.List(ctx, prefix)
}

func (c vmClient) Watch(ctx context.Context, prefix string, after kv.Revision) ([]kv.Entry, kv.Revision, error) {
	if (*c.testZone.rejected.Load())[c.vm] {
		return nil, 0, kv.ErrUnavailable.New("rejected")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	entries, revision, err := c.Client.Watch(ctx, prefix, after)
	if (*c.testZone.rejected.Load())[c.vm] {
		return nil, 0, kv.ErrUnavailable.New("connection reset")
	}
	if err != nil && ctx.Err() != nil {
		return nil, after, nil
	}
	return entries, revision, err
}

func vmName(i int) string { return fmt.Sprint("vm-", i) }

func vmAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i))
}

// newTestZone starts n followers and waits until all know configuration 1.
func newTestZone(t *testing.T, n int) *testZone {
	z := &testZone{t: t, service: fake.New(fake.Config{}), followers: make(map[netip.AddrPort]*Follower)}
	z.rejectReadsOf()
	for i := range n {
		value := fmt.Appendf(nil, `{"vm":%q,"zone":"z","address":%q,"incarnation":"1"}`, vmName(i), vmAddress(i))
		_, err := z.service.Put(t.Context(), kv.PutRequest{Key: "online/" + vmName(i), Value: value})
		assert.NilError(t, err)
	}
	for i := range n {
		z.followers[vmAddress(i)] = NewFollower(FollowerConfig{
			Client:           vmClient{Client: z.service, testZone: z, vm: vmName(i)},
			Query:            z.query,
			VM:               vmName(i),
			Zone:             "z",
			Prefix:           "o",
			MemberPrefix:     "online/",
			SuspectReadAfter: 1250 * time.Millisecond,
			OnChange:         func(View) {},
			OnMalformed:      func(key string, err error) { t.Error(key, err) },
			Logger:           zap.NewNop(),
		})
	}
	for _, f := range z.followers {
		go func() { _ = f.Run(t.Context()) }()
	}
	z.putConfig("1")
	for i := range n {
		z.awaitConfig(i, "1", 5*time.Second)
	}
	return z
}

func (z *testZone) rejectReadsOf(vms ...string) {
	rejected := make(map[string]bool)
	for _, vm := range vms {
		rejected[vm] = true
	}
	z.rejected.Store(&rejected)
}

func (z *testZone) query(ctx context.Context, address netip.AddrPort, _ peer.Kind, message, reply proto.Message) error {
	answer := answerQuery(ctx, z.followers[address], "", message)
	proto.Merge(reply, answer)
	return nil
}

// answerQuery returns a follower's answer to a query of the node of a VM.
func answerQuery(ctx context.Context, f *Follower, vm string, query proto.Message) proto.Message {
	if sync, ok := query.(*peerpb.SyncQuery); ok {
		return f.AnswerSync(vm, sync)
	}
	return f.Answer(ctx, query.(*peerpb.RosterQuery))
}

// putConfig writes a configuration to the service.
func (z *testZone) putConfig(config string) {
	z.t.Helper()
	entry, err := z.service.Get(z.t.Context(), configKey)
	if err != nil {
		entry = kv.Entry{}
	}
	_, err = z.service.Put(z.t.Context(), kv.PutRequest{Key: configKey, Value: []byte(config), IfRevision: entry.Revision})
	assert.NilError(z.t, err)
}

// awaitConfig waits until the follower of a VM knows a configuration.
func (z *testZone) awaitConfig(i int, config string, limit time.Duration) {
	z.t.Helper()
	startedAt := time.Now()
	for {
		entry, _ := z.followers[vmAddress(i)].Entry(configKey)
		if string(entry.Value) == config {
			return
		}
		assert.Assert(z.t, time.Since(startedAt) < limit, "%s does not know configuration %s after %v", vmName(i), config, limit)
		time.Sleep(5 * time.Millisecond)
	}
}

// maxPropagationTime is the longest time from the write of a configuration until a
// node that can reach the service knows it.
const maxPropagationTime = 2 * time.Second

// TestServiceRejectsReaders has the service reject both readers of a zone repeatedly.
// The readers queried each other, and the other nodes queried the readers, so that a
// new configuration became known only after the views of both readers were 3 s old.
func TestServiceRejectsReaders(t *testing.T) {
	const nodes = 5
	z := newTestZone(t, nodes)
	for round := 2; round < 4; round++ {
		z.rejectReadsOf(vmName(0), vmName(1))
		time.Sleep(50 * time.Millisecond)
		z.putConfig(fmt.Sprint(round))
		for i := range nodes {
			z.awaitConfig(i, fmt.Sprint(round), maxPropagationTime)
		}
		z.rejectReadsOf()
		time.Sleep(100 * time.Millisecond)
	}
}

// TestExpiredMembersAreReported removes the entry of one VM for good, with no later
// change. OnChange must still be called when the node expires, whether the expiry is
// found before a read or after one.
func TestExpiredMembersAreReported(t *testing.T) {
	triggers := map[string]func(*Follower){
		"before the next read": func(f *Follower) { f.nextRead() },
		"after a read":         func(f *Follower) { f.apply(Source{}, Delta{Revision: 3}, f.config.Now()) },
	}
	for name, trigger := range triggers {
		t.Run(name, func(t *testing.T) {
			var memberCounts []int
			f := NewFollower(FollowerConfig{
				Client: fake.New(fake.Config{}),
				VM:     "a", Zone: "z", MemberPrefix: "online/",
				OnChange: func(view View) { memberCounts = append(memberCounts, len(view.Members)) },
				Logger:   zap.NewNop(),
			})
			f.apply(Source{}, Delta{Whole: true, Revision: 2, Entries: []kv.Entry{entry("online/a", 1), entry("online/b", 2)}}, f.config.Now())
			f.mirror.Apply(f.config.Now()-lapsedMemberTTL, Delta{Revision: 3, Entries: []kv.Entry{removed("online/b", 3)}})
			trigger(f)
			assert.DeepEqual(t, memberCounts, []int{2, 1})
		})
	}
}

// unresponsiveClient answers List. A Watch gets no answer until its context ends.
type unresponsiveClient struct {
	kv.Client
	entries []kv.Entry
}

func (c *unresponsiveClient) List(context.Context, string) ([]kv.Entry, kv.Revision, error) {
	return c.entries, 1, nil
}

func (c *unresponsiveClient) Era() kv.Era { return 0 }

func (c *unresponsiveClient) Watch(ctx context.Context, _ string, _ kv.Revision) ([]kv.Entry, kv.Revision, error) {
	<-ctx.Done()
	return nil, 0, kv.ErrUnavailable.Wrap(ctx.Err(), "watch")
}

// TestUnresponsiveServiceIsSuspect has a service that stops answering a reader without an
// error. The reader must report its view as suspect as soon as its read is overdue,
// long before the read fails.
func TestUnresponsiveServiceIsSuspect(t *testing.T) {
	follower := NewFollower(FollowerConfig{
		Client:           &unresponsiveClient{entries: []kv.Entry{entry("online/a", 1)}},
		VM:               "a",
		Zone:             "z",
		Prefix:           "o",
		MemberPrefix:     "online/",
		SuspectReadAfter: 300 * time.Millisecond,
		OnChange:         func(View) {},
		OnMalformed:      func(string, error) {},
		Logger:           zap.NewNop(),
	})
	go func() { _ = follower.Run(t.Context()) }()
	query := func() *peerpb.RosterReply {
		return follower.Answer(t.Context(), &peerpb.RosterQuery{WaitMicros: 1})
	}
	for query().GetRevision() == 0 {
		time.Sleep(time.Millisecond)
	}
	readAt := time.Now()
	for !query().GetInDoubt() {
		assert.Assert(t, time.Since(readAt) < time.Second, "an outdated view is not reported as suspect")
		time.Sleep(10 * time.Millisecond)
	}
}
