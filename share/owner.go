package share

import (
	"context"
	"sync"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

// OwnershipSource reports whether this VM owns a shard.
type OwnershipSource interface {
	// LiveOwnership returns the epoch at which the VM owns the shard of its own availability
	// zone. It returns false if the lease is over at now.
	LiveOwnership(shard int, now time.Duration) (epoch uint64, ok bool)
}

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	// Zone is the VM's availability zone.
	Zone            string
	OwnershipSource OwnershipSource
	Peers           Peers
	Clock           Clock
	Terms           Terms
	// OnViolation is called with the name of an invariant that does not hold.
	OnViolation func(invariant string)
}

// Owner lends the tokens of the shards that its VM owns. Draws wait a little for missing
// tokens, which it borrows from lenders of other zones. It is safe for concurrent use.
type Owner struct {
	config OwnerConfig

	mu     sync.Mutex
	index  *bundle.Index
	shards map[int]*ownedShard
	// reportScheduled is true while reports to other zones are scheduled.
	reportScheduled bool
}

// ownedShard is a shard that this VM owns.
type ownedShard struct {
	lender *Lender
	epoch  uint64
	// borrowing holds the workspaces for which lenders of other zones are being
	// asked. Each channel is closed when they have answered.
	borrowing map[string]chan struct{}
	// queues holds the draws of nodes that wait, by workspace, in order of arrival.
	queues map[string]*queue
}

// NewOwner returns an owner without shards.
func NewOwner(config OwnerConfig) *Owner {
	config.Terms = config.Terms.withDefaults()
	return &Owner{config: config, shards: make(map[int]*ownedShard)}
}

// Apply applies a bundle.
func (o *Owner) Apply(index *bundle.Index) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.index = index
	now := o.config.Clock()
	for _, s := range o.shards {
		s.lender.Apply(index, now)
	}
}

// Gained begins ownership of a shard at an epoch. State is the state that the
// predecessor handed over, nil if there is none.
func (o *Owner) Gained(shard int, epoch uint64, state *peerpb.ShareState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock()
	lender := NewLender(LenderConfig{
		Zone: o.config.Zone, Shard: shard, Epoch: epoch, GainedAt: now,
		Terms: o.config.Terms, State: state, FirstSequence: uint64(time.Now().UnixNano()),
		OnViolation: o.config.OnViolation,
	})
	if o.index != nil {
		lender.Apply(o.index, now)
	}
	o.shards[shard] = &ownedShard{
		lender: lender, epoch: epoch,
		borrowing: make(map[string]chan struct{}), queues: make(map[string]*queue),
	}
}

// Lost ends ownership of a shard and returns the state for a successor, nil if
// the lease was over already. The state must be handed over at most once.
func (o *Owner) Lost(shard int) *peerpb.ShareState {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock()
	s := o.liveShard(shard, now)
	delete(o.shards, shard)
	if s == nil {
		return nil
	}
	return s.lender.Export(now)
}

// liveShard returns an owned shard, nil unless its lease is live at now.
func (o *Owner) liveShard(shard int, now time.Duration) *ownedShard {
	s, ok := o.shards[shard]
	if !ok {
		return nil
	}
	epoch, ok := o.config.OwnershipSource.LiveOwnership(shard, now)
	if !ok || epoch != s.epoch {
		return nil
	}
	return s
}

// HandleDraw answers a draw from any VM.
func (o *Owner) HandleDraw(ctx context.Context, message *peerpb.Draw) *peerpb.DrawAnswer {
	draw := drawFromProto(message)
	if draw.LenderZone != o.config.Zone {
		return notOwner(draw)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	shard := int(message.GetShard())
	now := o.config.Clock()
	s := o.liveShard(shard, now)
	if s == nil {
		return notOwner(draw)
	}
	if draw.Whole && draw.Collect && draw.Need > 0 {
		s.lender.Report(draw.Workspace, draw.Reports, now)
		o.waitForTokens(ctx, s, draw)
		now = o.config.Clock()
		if ctx.Err() != nil || o.liveShard(shard, now) != s {
			return notOwner(draw)
		}
	}
	grant, ok := s.lender.Draw(draw, now)
	if !ok {
		return notOwner(draw)
	}
	if draw.Whole && draw.Collect {
		o.borrowAhead(s, draw.Workspace, now)
	}
	return grantToProto(grant)
}

func notOwner(draw Draw) *peerpb.DrawAnswer {
	return &peerpb.DrawAnswer{Id: draw.ID, NotOwner: true}
}
