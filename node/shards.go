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
	// Seeds are nodes to query for owners when the platform is down.
	Seeds     []netip.AddrPort
	Platform  kv.Client
	Pool      *peer.Pool
	Directory *directory.Directory
	Logger    *zap.Logger
	Metrics   tally.Scope
	// OnViolation is called with the name of an invariant that does not hold.
	OnViolation func(invariant string)
}

// shards runs this VM's part in the ownership of its zone's shards, and the state
// that depends on it: the tokens of the workspaces' rates and the records of commitments.
type shards struct {
	config shardsConfig
	keeper atomic.Pointer[shard.Keeper]
	rates  *share.Client
	lender *share.Owner
	// commitments queries the owners of the keys' shards; ledgers holds the records of
	// the shards that this VM owns.
	commitments *commitment.Client
	ledgers     *commitment.Owner

	mu sync.Mutex
	// lostState holds the state of lost shards until they are handed over
	// or gained again.
	lostState map[int]*peerpb.ShardState
}

func newShards(config shardsConfig) *shards {
	s := &shards{config: config, lostState: make(map[int]*peerpb.ShardState)}
	s.rates = share.NewClient(share.ClientConfig{
		Zone: config.Self.Zone, Peers: s, Clock: bootTime, OnViolation: config.OnViolation,
	})
	s.lender = share.NewOwner(share.OwnerConfig{
		Zone: config.Self.Zone, OwnershipSource: s, Peers: s, Clock: bootTime, OnViolation: config.OnViolation,
	})
	s.commitments = commitment.NewClient(commitment.ClientConfig{Peers: s})
	s.ledgers = commitment.NewOwner(commitment.OwnerConfig{
		Zone:            config.Self.Zone,
		OwnershipSource: s,
		Clock:           bootTime,
		Now:             time.Now,
		Store: func(id commitment.ShardID) commitment.Store {
			return commitment.NewPlatformStore(config.Platform, id)
		},
		Log:         config.Logger,
		OnViolation: config.OnViolation,
	})
	return s
}

// bootTime reads a clock that also advances while the VM is suspended.
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

// Apply activates a bundle.
func (s *shards) Apply(index *bundle.Index) {
	s.rates.Apply(index)
	s.lender.Apply(index)
	s.commitments.Apply(index)
	s.ledgers.Apply(index)
}

// Run takes part in shard ownership from the first bundle until the context ends.
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

// refresh requests a newer table of owners.
func (s *shards) refresh() {
	if keeper := s.keeper.Load(); keeper != nil {
		keeper.Refresh()
	}
}

// KnowsOwners reports whether the owners of all shards of a zone are known.
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
		return "", netip.AddrPort{}, errNoOwner.New("shard ownership has not started yet")
	}
	vm, address, _, ok := keeper.OwnerOf(zone, index)
	if !ok {
		return "", netip.AddrPort{}, errNoOwner.New("shard %d of zone %s", index, zone)
	}
	return vm, address, nil
}

func (s *shards) onConfirm(ctx context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	var query peerpb.ShardConfirm
	if err := peer.Decode(payload, &query); err != nil {
		return nil, err
	}
	if query.GetVm() != from.VM {
		return nil, peer.ErrFrame.New("query from %s claims to be from %s", from.VM, query.GetVm())
	}
	keeper := s.keeper.Load()
	if keeper == nil {
		return nil, errNoOwner.New("shard ownership has not started yet")
	}
	return keeper.HandleConfirm(ctx, &query)
}

func (s *shards) onHandover(ctx context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
	var handover peerpb.ShardHandover
	if err := peer.Decode(payload, &handover); err != nil {
		return nil, err
	}
	keeper := s.keeper.Load()
	if keeper == nil {
		return nil, errNoOwner.New("shard ownership has not started yet")
	}
	return keeper.HandleHandOver(ctx, &handover)
}
