package shard

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"auburngap/clock"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"auburngap/kv"
)

// tickInterval is the time between two ticks of the machine.
const tickInterval = 100 * time.Millisecond

// Callbacks is notified when the VM gains or loses shards. Its methods are called by
// one goroutine. They must not block, and must not call the Keeper's Run or
// Shutdown.
type Callbacks interface {
	// Gained is called before LiveOwnership returns true, and with the new epoch when the
	// epoch changes while it does. inherited means that the state of the shard's
	// last owner is available.
	Gained(shard int, epoch uint64, inherited bool)
	// Lost is called when an ownership ends, before LiveOwnership returns false for good. When
	// it returns, the VM must have stopped acting on the shard. The state must be kept
	// if the lease was live: Gained with inherited set, or Export, may follow.
	Lost(shard int)
	// Export returns the state of a lost shard for its next owner.
	Export(shard int) []byte
	// Import stores the state that the previous owner's Export returned. Gained
	// follows.
	Import(shard int, state []byte)
}

// Clock reads a clock that continues while the VM is suspended.
type Clock interface {
	Now() time.Duration
}

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	VM      string
	Zone    string
	Address netip.AddrPort
	// Shards is the number of shards of the zone. It must never change.
	Shards int
	// Zones lists the zones for which OwnerOf can be called.
	Zones []string
	// Timing defaults to DefaultTiming.
	Timing    Timing
	Platform  kv.Client
	Peers     Peers
	Callbacks Callbacks
	Clock     Clock
	// Incarnation defaults to a new UUID.
	Incarnation string
	// OnViolation is called with the name of an invariant that does not hold.
	OnViolation func(invariant string)
	Logger      *zap.Logger
	Metrics     tally.Scope
}

// Keeper runs the ownership protocol for one VM: it drives a Machine with a
// clock, the platform and the other VMs of the zone.
type Keeper struct {
	cfg     KeeperConfig
	machine *Machine
	events  chan queuedEvent
	stopped chan struct{}
	calls   sync.WaitGroup

	// liveOwnerships holds what LiveOwnership reads, by shard.
	liveOwnerships []atomic.Pointer[liveOwnership]
	// tables holds the last known *Table of each zone.
	tables sync.Map

	// addresses holds the address of each known VM of the zone.
	addresses sync.Map
	received  map[int]receivedState
	log       *zap.Logger
	metrics   tally.Scope
}

// liveOwnership is an ownership and the reading at which it ends.
type liveOwnership struct {
	ownership Ownership
	until     time.Duration
}

// receivedState is the state of a shard that its owner of that epoch handed over.
type receivedState struct {
	epoch uint64
	state []byte
}

// queuedEvent is an event, or a function to run between events.
type queuedEvent struct {
	event Event
	reply chan<- Answer
	run   func()
}

// NewKeeper returns a keeper that does nothing until Run is called. It fails only
// if the embedded charts are invalid.
func NewKeeper(cfg KeeperConfig) (*Keeper, error) {
	if cfg.Timing == (Timing{}) {
		cfg.Timing = DefaultTiming()
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot{}
	}
	if cfg.Incarnation == "" {
		cfg.Incarnation = uuid.NewString()
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	k := &Keeper{
		cfg: cfg, events: make(chan queuedEvent, 64), stopped: make(chan struct{}),
		liveOwnerships: make([]atomic.Pointer[liveOwnership], cfg.Shards), received: map[int]receivedState{},
		log: cfg.Logger, metrics: cfg.Metrics.SubScope("shard"),
	}
	machine, err := NewMachine(Config{
		VM: cfg.VM, Zone: cfg.Zone, Address: cfg.Address, Incarnation: cfg.Incarnation,
		Shards: cfg.Shards, Timing: cfg.Timing, OnViolation: k.reportViolation,
	}, cfg.Clock.Now())
	if err != nil {
		return nil, err
	}
	k.machine = machine
	return k, nil
}

// Run drives the machine until the context is cancelled or a shutdown is complete.
func (k *Keeper) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer k.calls.Wait()
	defer cancel()
	defer k.markStopped()
	k.watchZones(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.handle(ctx, queuedEvent{event: Tick{VMs: k.vms()}})
		case e := <-k.events:
			k.handle(ctx, e)
		}
		if k.machine.shutdown.done {
			return nil
		}
	}
}

// Now returns a reading of the keeper's clock.
func (k *Keeper) Now() time.Duration { return k.cfg.Clock.Now() }

// LiveOwnership returns the ownership of a shard at a reading of the clock that was
// taken just before the call. It returns false if the VM must not act on the shard.
func (k *Keeper) LiveOwnership(shard int, now time.Duration) (Ownership, bool) {
	if shard < 0 || shard >= len(k.liveOwnerships) {
		return Ownership{}, false
	}
	g := k.liveOwnerships[shard].Load()
	if g == nil || now >= g.until {
		return Ownership{}, false
	}
	return g.ownership, true
}

// OwnerOf returns the VM that the table names as a shard's owner, with its
// address and epoch. It returns false if no owner is known. Only the owner itself
// knows whether it may act.
func (k *Keeper) OwnerOf(zone string, shard int) (vm string, address netip.AddrPort, epoch uint64, ok bool) {
	value, found := k.tables.Load(zone)
	if !found {
		return "", netip.AddrPort{}, 0, false
	}
	table := value.(*Table)
	if shard < 0 || shard >= len(table.Shards) || table.Shards[shard].Owner == "" {
		return "", netip.AddrPort{}, 0, false
	}
	e := &table.Shards[shard]
	return e.Owner, e.Address, e.Epoch, true
}

// ShardCount returns the number of shards of a zone, or zero if it is not known yet.
func (k *Keeper) ShardCount(zone string) int {
	if zone == k.cfg.Zone {
		return k.cfg.Shards
	}
	value, found := k.tables.Load(zone)
	if !found {
		return 0
	}
	return len(value.(*Table).Shards)
}

// Refresh requests a newer table soon, for example when an owner returned by
// OwnerOf does not answer. It does not block.
func (k *Keeper) Refresh() {
	select {
	case k.events <- queuedEvent{event: Refresh{}}:
	default:
	}
}

// Shutdown hands the VM's shards over with their state. It returns once Run has
// returned or the context is cancelled.
func (k *Keeper) Shutdown(ctx context.Context) error {
	if err := k.post(ctx, queuedEvent{event: Shutdown{}}); err != nil {
		return err
	}
	select {
	case <-k.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *Keeper) post(ctx context.Context, e queuedEvent) error {
	select {
	case k.events <- e:
		return nil
	case <-k.stopped:
		return ErrStopped.New("shard keeper has stopped")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *Keeper) markStopped() {
	for i := range k.liveOwnerships {
		k.liveOwnerships[i].Store(nil)
	}
	close(k.stopped)
}

func (k *Keeper) reportViolation(invariant string) {
	k.metrics.Tagged(map[string]string{"invariant": invariant}).Counter("violations").Inc(1)
	k.log.Error("shard: invariant violated", zap.String("invariant", invariant))
	if k.cfg.OnViolation != nil {
		k.cfg.OnViolation(invariant)
	}
}
