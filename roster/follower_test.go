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

// zone is the followers of one availability zone, which ask each other in memory.
type zone struct {
	t         *testing.T
	service   *fake.Service
	followers map[netip.AddrPort]*Follower
	// refused lists the VMs that the service turns away.
	refused atomic.Pointer[map[string]bool]
}

// clientOf is the service as one VM sees it.
type clientOf struct {
	kv.Client
	zone *zone
	vm   string
}

func (c clientOf) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	if (*c.zone.refused.Load())[c.vm] {
		return nil, 0, kv.ErrUnavailable.New("turned away")
	}
	return c.Client.List(ctx, prefix)
}

func (c clientOf) Watch(ctx context.Context, prefix string, after kv.Revision) ([]kv.Entry, kv.Revision, error) {
	if (*c.zone.refused.Load())[c.vm] {
		return nil, 0, kv.ErrUnavailable.New("turned away")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	entries, revision, err := c.Client.Watch(ctx, prefix, after)
	if (*c.zone.refused.Load())[c.vm] {
		return nil, 0, kv.ErrUnavailable.New("connection reset")
	}
	if err != nil && ctx.Err() != nil {
		return nil, after, nil
	}
	return entries, revision, err
}

func vmName(i int) string { return fmt.Sprint("vm-", i) }

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i))
}

// newZone starts n followers that know each other.
func newZone(t *testing.T, n int) *zone {
	z := &zone{t: t, service: fake.New(fake.Config{}), followers: make(map[netip.AddrPort]*Follower)}
	z.refuse()
	for i := range n {
		value := fmt.Appendf(nil, `{"vm":%q,"zone":"z","address":%q,"incarnation":"1"}`, vmName(i), addressOf(i))
		_, err := z.service.Put(t.Context(), kv.PutRequest{Key: "online/" + vmName(i), Value: value})
		assert.NilError(t, err)
	}
	for i := range n {
		z.followers[addressOf(i)] = NewFollower(FollowerConfig{
			Client:       clientOf{Client: z.service, zone: z, vm: vmName(i)},
			Ask:          z.ask,
			VM:           vmName(i),
			Zone:         "z",
			Prefix:       "o",
			MemberPrefix: "online/",
			ReadPatience: 1250 * time.Millisecond,
			OnChange:     func(View) {},
			OnMalformed:  func(err error) { t.Error(err) },
			Logger:       zap.NewNop(),
		})
	}
	for _, f := range z.followers {
		go func() { _ = f.Run(t.Context()) }()
	}
	z.accept("1")
	for i := range n {
		z.await(i, "1", 5*time.Second)
	}
	return z
}

func (z *zone) refuse(vms ...string) {
	refused := make(map[string]bool)
	for _, vm := range vms {
		refused[vm] = true
	}
	z.refused.Store(&refused)
}

func (z *zone) ask(ctx context.Context, address netip.AddrPort, _ peer.Kind, message, reply proto.Message) error {
	answer := z.followers[address].Answer(ctx, message.(*peerpb.RosterQuery))
	proto.Merge(reply, answer)
	return nil
}

// accept writes a configuration.
func (z *zone) accept(config string) {
	z.t.Helper()
	entry, err := z.service.Get(z.t.Context(), configKey)
	if err != nil {
		entry = kv.Entry{}
	}
	_, err = z.service.Put(z.t.Context(), kv.PutRequest{Key: configKey, Value: []byte(config), IfRevision: entry.Revision})
	assert.NilError(z.t, err)
}

// await waits until a follower knows a configuration.
func (z *zone) await(i int, config string, limit time.Duration) {
	z.t.Helper()
	began := time.Now()
	for {
		entry, _ := z.followers[addressOf(i)].Entry(configKey)
		if string(entry.Value) == config {
			return
		}
		assert.Assert(z.t, time.Since(began) < limit, "%s does not know configuration %s after %v", vmName(i), config, limit)
		time.Sleep(5 * time.Millisecond)
	}
}

// applyLimit is how long an accepted configuration may take to be in force at a
// node that reaches the service.
const applyLimit = 2 * time.Second

// TestReadersTurnedAway has the service turn both readers of a zone away, again
// and again. They ask each other, and the others asked them, so that a
// configuration was known only once both views were 3 s old.
func TestReadersTurnedAway(t *testing.T) {
	const nodes = 5
	z := newZone(t, nodes)
	for round := 2; round < 4; round++ {
		z.refuse(vmName(0), vmName(1))
		time.Sleep(50 * time.Millisecond)
		z.accept(fmt.Sprint(round))
		for i := range nodes {
			z.await(i, fmt.Sprint(round), applyLimit)
		}
		z.refuse()
		time.Sleep(100 * time.Millisecond)
	}
}

// TestGivenUpNodesAreTold is the pattern of a VM that is gone for good in calm: no change
// follows in which its node's end could be told, whoever looks first after its entry has
// lapsed for too long.
func TestGivenUpNodesAreTold(t *testing.T) {
	looks := map[string]func(*Follower){
		"before the next read": func(f *Follower) { f.next() },
		"after a read":         func(f *Follower) { f.learn(Delta{Revision: 3}, f.boot.Now()) },
	}
	for name, look := range looks {
		t.Run(name, func(t *testing.T) {
			var told []int
			f := NewFollower(FollowerConfig{
				VM: "a", Zone: "z", MemberPrefix: "online/",
				OnChange: func(view View) { told = append(told, len(view.Members)) },
				Logger:   zap.NewNop(),
			})
			f.learn(Delta{Whole: true, Revision: 2, Entries: []kv.Entry{entry("online/a", 1), entry("online/b", 2)}}, f.boot.Now())
			f.mirror.Apply(f.boot.Now()-returnTime, Delta{Revision: 3, Entries: []kv.Entry{removed("online/b", 3)}})
			look(f)
			assert.DeepEqual(t, told, []int{2, 1})
		})
	}
}
