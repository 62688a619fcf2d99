package node

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"auburngap/clock"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"auburngap/bundle"
	"auburngap/commitment"
	"auburngap/directory"
	"auburngap/kv"
	"auburngap/peer"
	"auburngap/peer/peerpb"
	"auburngap/shard"
	"auburngap/share"
)

// shardsConfig configures shards.
type shardsConfig struct {
	Self    peer.Identity
	Address netip.AddrPort
	// Seeds are nodes to ask for owners when the platform is down.
	Seeds     []netip.AddrPort
	Platform  kv.Client
	Pool      *peer.Pool
	Directory *directory.Directory
	Logger    *zap.Logger
	Metrics   tally.Scope
	// OnViolation is called with the name of an invariant that does not hold.
	OnViolation func(invariant string)
}

// shards runs this VM's part in the ownership of its zone's shards, and what
// rests on it: the tokens of the workspaces' rates and the memory of commitments.
type shards struct {
	config shardsConfig
	keeper atomic.Pointer[shard.Keeper]
	rates  *share.Client
	bank   *share.Owner
	// commitments asks the owners of the keys' shards; ledgers is this VM's part.
	commitments *commitment.Client
	ledgers     *commitment.Owner

	mu sync.Mutex
	// kept holds the state of shards that were lost, until they are handed on
	// or gained again.
	kept map[int]*peerpb.ShardState
}

func newShards(config shardsConfig) *shards {
	s := &shards{config: config, kept: make(map[int]*peerpb.ShardState)}
	s.rates = share.NewClient(share.ClientConfig{
		Zone: config.Self.Zone, Peers: s, Clock: bootTime, OnViolation: config.OnViolation,
	})
	s.bank = share.NewOwner(share.OwnerConfig{
		Zone: config.Self.Zone, OwnershipSource: s, Peers: s, Clock: bootTime, OnViolation: config.OnViolation,
	})
	s.commitments = commitment.NewClient(commitment.ClientConfig{Peers: s})
	s.ledgers = commitment.NewOwner(commitment.OwnerConfig{
		Zone:            config.Self.Zone,
		OwnershipSource: s,
		Clock:           bootTime,
		Now:             time.Now,
		Store: func(home commitment.ShardID) commitment.Store {
			return commitment.NewPlatformStore(config.Platform, home)
		},
		Log:         config.Logger,
		OnViolation: config.OnViolation,
	})
	return s
}

// bootTime reads the clock that goes on while the VM is suspended.
func bootTime() time.Duration {
	return clock.Boot{}.Now()
}

// Handle registers the messages between owners, witnesses and borrowers.
func (s *shards) Handle(server *peer.Server) {
	server.Handle(peer.KindDraw, s.onDraw)
	server.Handle(peer.KindBegin, s.onBegin)
	server.Handle(peer.KindFinish, s.onFinish)
	server.Handle(peer.KindConfirm, s.onConfirm)
	server.Handle(peer.KindHandover, s.onHandover)
}

// Apply puts a bundle into force.
func (s *shards) Apply(index *bundle.Index) {
	s.rates.Apply(index)
	s.bank.Apply(index)
	s.commitments.Apply(index)
	s.ledgers.Apply(index)
}

// Run keeps shards from the first bundle on, until the context ends.
func (s *shards) Run(ctx context.Context, first <-chan *bundle.Index) error {
	var index *bundle.Index
	select {
	case index = <-first:
	case <-ctx.Done():
		return nil
	}
	zone, ok := index.Zone(s.config.Self.Zone)
	if !ok {
		s.config.Logger.Error("shard: the bundle does not name this availability zone")
		return nil
	}
	keeper, err := shard.NewKeeper(shard.KeeperConfig{
		VM:          s.config.Self.VM,
		Zone:        zone.Name,
		Address:     s.config.Address,
		Shards:      zone.Shards,
		Zones:       index.ZoneNames(),
		Platform:    s.config.Platform,
		Peers:       s,
		Callbacks:   s,
		Clock:       clock.Boot{},
		Incarnation: s.config.Self.Incarnation.String(),
		Logger:      s.config.Logger,
		Metrics:     s.config.Metrics,
		OnViolation: s.config.OnViolation,
	})
	if err != nil {
		return err
	}
	s.keeper.Store(keeper)
	return keeper.Run(ctx)
}

// Shutdown gives borrowed tokens back and hands the shards over.
func (s *shards) Shutdown(ctx context.Context) error {
	s.rates.Close()
	keeper := s.keeper.Load()
	if keeper == nil {
		return nil
	}
	return keeper.Shutdown(ctx)
}

// LiveOwnership implements share.OwnershipSource.
func (s *shards) LiveOwnership(index int, now time.Duration) (uint64, bool) {
	keeper := s.keeper.Load()
	if keeper == nil {
		return 0, false
	}
	ownership, ok := keeper.LiveOwnership(index, now)
	return ownership.Epoch, ok
}

// refresh asks for a newer table of owners.
func (s *shards) refresh() {
	if keeper := s.keeper.Load(); keeper != nil {
		keeper.Refresh()
	}
}

// KnowsOwners tells whether the owners of the zone's own shards are known.
func (s *shards) KnowsOwners(zone *bundle.Zone) bool {
	for index := range zone.Shards {
		if _, _, err := s.ownerOf(zone.Name, index); err != nil {
			return false
		}
	}
	return true
}

func (s *shards) ownerOf(zone string, index int) (string, netip.AddrPort, error) {
	keeper := s.keeper.Load()
	if keeper == nil {
		return "", netip.AddrPort{}, errNoOwner.New("shards are not kept yet")
	}
	vm, address, _, ok := keeper.OwnerOf(zone, index)
	if !ok {
		return "", netip.AddrPort{}, errNoOwner.New("shard %d of %s", index, zone)
	}
	return vm, address, nil
}

func (s *shards) onConfirm(ctx context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	var question peerpb.ShardConfirm
	if err := peer.Decode(payload, &question); err != nil {
		return nil, err
	}
	if question.GetVm() != from.VM {
		return nil, peer.ErrFrame.New("a question of %s in the name of %s", from.VM, question.GetVm())
	}
	keeper := s.keeper.Load()
	if keeper == nil {
		return nil, errNoOwner.New("shards are not kept yet")
	}
	return keeper.HandleConfirm(ctx, &question)
}

func (s *shards) onHandover(ctx context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
	var handover peerpb.ShardHandover
	if err := peer.Decode(payload, &handover); err != nil {
		return nil, err
	}
	keeper := s.keeper.Load()
	if keeper == nil {
		return nil, errNoOwner.New("shards are not kept yet")
	}
	return keeper.HandleHandOver(ctx, &handover)
}
