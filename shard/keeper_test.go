package shard_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"auburngap/clock"

	"gotest.tools/v3/assert"

	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/peer/peerpb"
	"auburngap/shard"
)

// zone runs the keepers of one availability zone in one process. It is their clock
// and their connection to each other.
type zone struct {
	service *fake.Service
	mu      sync.Mutex
	vms     map[string]*vm
	start   time.Time
}

// vm is a keeper and the callbacks that store a text as the state of each shard.
type vm struct {
	zone   *zone
	name   string
	keeper *shard.Keeper
	cancel context.CancelFunc

	mu     sync.Mutex
	states map[int]string
	gained []string
}

func (z *zone) Now() time.Duration { return time.Hour + time.Since(z.start) }

func (z *zone) VMs() []shard.Peer {
	z.mu.Lock()
	defer z.mu.Unlock()
	var peers []shard.Peer
	for name := range z.vms {
		peers = append(peers, shard.Peer{VM: name})
	}
	return peers
}

func (z *zone) keeperOf(name string) (*shard.Keeper, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.vms[name] == nil {
		return nil, kv.ErrUnavailable.New("no VM %s", name)
	}
	return z.vms[name].keeper, nil
}

func (z *zone) Confirm(ctx context.Context, to shard.Peer, m *peerpb.ShardConfirm) (*peerpb.ShardConfirmAnswer, error) {
	k, err := z.keeperOf(to.VM)
	if err != nil {
		return nil, err
	}
	return k.HandleConfirm(ctx, m)
}

func (z *zone) HandOver(ctx context.Context, to shard.Peer, m *peerpb.ShardHandover) (*peerpb.ShardHandoverAnswer, error) {
	k, err := z.keeperOf(to.VM)
	if err != nil {
		return nil, err
	}
	return k.HandleHandOver(ctx, m)
}

func (v *vm) Gained(s int, epoch uint64, inherited bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !inherited {
		v.states[s] = "new"
	}
	v.gained = append(v.gained, fmt.Sprintf("%d epoch %d inherited %v", s, epoch, inherited))
}

// Lost keeps the state only if the ownership is still live, so that no other VM may
// act on the shard.
func (v *vm) Lost(s int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.keeper.LiveOwnership(s, v.zone.Now()); !ok {
		v.states[s] = "nothing"
	}
}

func (v *vm) Export(s int) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return []byte(v.states[s] + " from " + v.name)
}

func (v *vm) Import(s int, state []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.states[s] = string(state)
}

// startVM starts the process of a VM.
func (z *zone) startVM(t *testing.T, name string) *vm {
	t.Helper()
	v := &vm{zone: z, name: name, states: map[int]string{}}
	k, err := shard.NewKeeper(shard.KeeperConfig{
		VM: name, Zone: "north", Address: netip.MustParseAddrPort("127.0.0.1:7000"), Shards: 2, Zones: []string{"north", "south"},
		Platform: z.service, Peers: z, Callbacks: v, Clock: z, OnViolation: func(i string) { t.Error(i) },
	})
	assert.NilError(t, err)
	v.keeper = k
	ctx, cancel := context.WithCancel(t.Context())
	v.cancel = cancel
	z.mu.Lock()
	z.vms[name] = v
	z.mu.Unlock()
	go func() { assert.Check(t, k.Run(ctx)) }()
	return v
}

// kill ends a VM's process without a shutdown.
func (z *zone) kill(v *vm) {
	v.cancel()
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.vms, v.name)
}

// owner returns the only VM that may act on a shard, or nil. It fails the test if
// there are several.
func (z *zone) owner(t *testing.T, s int) *vm {
	t.Helper()
	z.mu.Lock()
	defer z.mu.Unlock()
	var owner *vm
	for _, v := range z.vms {
		if _, ok := v.keeper.LiveOwnership(s, z.Now()); ok {
			assert.Assert(t, owner == nil, "two owners")
			owner = v
		}
	}
	return owner
}

func newZone(t *testing.T, vms ...string) *zone {
	t.Helper()
	z := &zone{service: fake.New(fake.Config{}), vms: map[string]*vm{}, start: time.Now()}
	for _, name := range vms {
		z.startVM(t, name)
	}
	time.Sleep(10 * time.Second)
	return z
}

func TestKeepersShareAZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, "a", "b", "c")
		owner := z.owner(t, 0)
		assert.Assert(t, owner != nil)

		named, address, epoch, ok := z.vms["a"].keeper.OwnerOf("north", 0)
		assert.Assert(t, ok && epoch > 0 && address.IsValid())
		assert.Equal(t, named, owner.name)

		z.service.SetFaults(fake.Faults{Down: true})
		time.Sleep(5 * time.Minute)
		assert.Assert(t, z.owner(t, 0) == owner, "the owner must stay the same in an outage")
		z.service.SetFaults(fake.Faults{})
		time.Sleep(20 * time.Second)
		assert.Assert(t, z.owner(t, 0) == owner, "the owner must stay the same after the outage")

		z.kill(owner)
		time.Sleep(7 * time.Second)
		successor := z.owner(t, 0)
		assert.Assert(t, successor != nil && successor != owner)
		assert.Equal(t, successor.states[0], "new")
	})
}

// TestKeeperRecognisesItsOwnWrites loses the answers to writes of the table: the
// VM that takes over must recognise its own write when it reads the table.
func TestKeeperRecognisesItsOwnWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, "a", "b", "c")
		owner := z.owner(t, 0)
		z.kill(owner)
		time.Sleep(time.Second)
		z.service.SetFaults(fake.Faults{LoseAnswers: 6, LosePrefix: shard.TableKey("north")})
		time.Sleep(10 * time.Second)
		successor := z.owner(t, 0)
		assert.Assert(t, successor != nil)
		_, _, epoch, _ := successor.keeper.OwnerOf("north", 0)
		held, ok := successor.keeper.LiveOwnership(0, z.Now())
		assert.Assert(t, ok)
		assert.Equal(t, held.Epoch, epoch)
	})
}

func TestKeeperHandsOverState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, "a", "b", "c")
		owner := z.owner(t, 0)
		began := time.Now()
		assert.NilError(t, owner.keeper.Shutdown(t.Context()))
		z.kill(owner)
		successor := z.owner(t, 0)
		assert.Assert(t, successor != nil, "after %v", time.Since(began))
		assert.Equal(t, successor.states[0], "new from "+owner.name)
		assert.Assert(t, time.Since(began) < 2*time.Second)
	})
}

func TestBootClockIsMonotonic(t *testing.T) {
	boot := clock.Boot{}
	first := boot.Now()
	assert.Assert(t, first > 0 && boot.Now() >= first)
}

func BenchmarkLive(b *testing.B) {
	k, err := shard.NewKeeper(shard.KeeperConfig{VM: "a", Zone: "north", Shards: 8})
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		k.LiveOwnership(3, k.Now())
	}
}
