package commitment

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
	"auburngap/request"
	"auburngap/share"
)

// firstBundleVersion is the version of a site's first bundle.
const firstBundleVersion = 1

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	// Zone is the VM's availability zone.
	Zone string
	// OwnershipSource reports whether the VM owns a shard at a time of Clock.
	OwnershipSource share.OwnershipSource
	Clock           share.Clock
	// Now reads the wall clock.
	Now    func() time.Time
	Limits Limits
	// Store returns the store of a shard's journal. If Store is nil, records are
	// kept in memory alone.
	Store   func(shardID ShardID) Store
	Journal JournalConfig
	Log     *zap.Logger
	// OnViolation is called with the name of an invariant that does not hold.
	OnViolation func(invariant string)
}

// Owner keeps the ledgers of the shards that its VM owns. It is safe for
// concurrent use.
type Owner struct {
	config OwnerConfig

	mu          sync.Mutex
	layout      Layout
	layoutSince time.Time
	shards      map[int]*ownedShard
}

// ownedShard is the state of one owned shard.
type ownedShard struct {
	epoch  uint64
	ledger *Ledger
	// writer is nil if records are kept in memory alone.
	writer *writer
}

// NewOwner returns an owner that owns no shards yet.
func NewOwner(config OwnerConfig) *Owner {
	config.Limits = config.Limits.withDefaults()
	config.Journal = config.Journal.withDefaults()
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	return &Owner{config: config, shards: make(map[int]*ownedShard)}
}

// Apply makes a bundle's layout the active one.
func (o *Owner) Apply(index *bundle.Index) {
	o.mu.Lock()
	defer o.mu.Unlock()
	layout := NewLayout(index)
	if layout.hash == o.layout.hash {
		return
	}
	o.layout = layout
	o.layoutSince = o.config.Now()
	if index.Bundle.Version == firstBundleVersion {
		// There was no layout before this one.
		o.layoutSince = time.Time{}
	}
	for _, s := range o.shards {
		s.ledger.Apply(layout, o.layoutSince)
	}
}

// Gained starts the ownership of a shard at an epoch. state is what the
// predecessor handed over, or nil if it handed over nothing.
func (o *Owner) Gained(shard int, epoch uint64, state *peerpb.LedgerState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Now()
	id := ShardID{Zone: o.config.Zone, Shard: shard}
	s := &ownedShard{epoch: epoch, ledger: NewLedger(LedgerConfig{
		ShardID: id, Epoch: epoch, GainedAt: now, LayoutSince: o.layoutSince,
		Limits: o.config.Limits, State: state, OnViolation: o.config.OnViolation,
	}, o.layout)}
	o.shards[shard] = s
	if o.config.Store == nil {
		return
	}
	s.writer = newWriter(o, s, o.config.Store(id), now)
	if until := state.GetJournalUntilUnixMicros(); until != 0 {
		s.writer.journal.mayCoverUntil = timeFromUnixMicros(until)
	}
	s.writer.schedule()
}

// Lost ends the ownership of a shard and returns the state for a successor, or nil
// if the lease had already ended. The state must be handed over at most once.
func (o *Owner) Lost(shard int) *peerpb.LedgerState {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.liveShard(shard)
	delete(o.shards, shard)
	if s == nil {
		return nil
	}
	state := s.ledger.Export(o.config.Now())
	if s.writer != nil {
		state.JournalUntilUnixMicros = unixMicros(s.writer.journal.mayCoverUntil)
	}
	return state
}

// liveShard returns an owned shard, or nil if its lease is not live.
func (o *Owner) liveShard(shard int) *ownedShard {
	s, ok := o.shards[shard]
	if !ok {
		return nil
	}
	epoch, ok := o.config.OwnershipSource.LiveOwnership(shard, o.config.Clock())
	if !ok || epoch != s.epoch {
		return nil
	}
	return s
}

// HandleBegin answers a Begin from any VM.
func (o *Owner) HandleBegin(ctx context.Context, message *peerpb.Begin) *peerpb.BeginAnswer {
	r, err := requestFromProto(message)
	if err != nil {
		return decisionToProto(Decision{Verdict: BadKey})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.shardFor(message)
	if s == nil {
		return decisionToProto(unavailable())
	}
	if message.GetLook() {
		return decisionToProto(s.withholdUnknown(s.ledger.Lookup(r, o.config.Now())))
	}
	return decisionToProto(o.begin(ctx, s, r))
}

// shardFor returns the shard that a Begin is for, or nil if the shard is not owned
// or the sender uses a different layout.
func (o *Owner) shardFor(message *peerpb.Begin) *ownedShard {
	if message.GetAvailabilityZone() != o.config.Zone || message.GetLayout() != o.layout.hash {
		return nil
	}
	return o.liveShard(int(message.GetShard()))
}

// withholdUnknown returns Unavailable in place of Unknown until the predecessor's
// journal has been read, which may contain the outcome.
func (s *ownedShard) withholdUnknown(decision Decision) Decision {
	if decision.Verdict == Unknown && s.writer != nil && !s.writer.loaded {
		return unavailable()
	}
	return decision
}

// begin decides about a request and records its permission, if it gets one.
func (o *Owner) begin(ctx context.Context, s *ownedShard, r Request) Decision {
	decision := s.withholdUnknown(s.ledger.Begin(r, o.config.Now()))
	if decision.Verdict != Run {
		return decision
	}
	shard := decision.Permission.ShardID.Shard
	recorded := o.recordPermission(ctx, s, decision.Permission)
	if o.liveShard(shard) != s {
		return unavailable()
	}
	if !recorded {
		return refuseUnrecorded(ctx, s, decision.Permission)
	}
	rec := s.ledger.records[r.Key]
	if rec == nil || rec.attempt != decision.Permission.Attempt || rec.phase != phaseRunning {
		return unavailable()
	}
	s.ledger.checkHandedOut(rec)
	decision.Journaled = rec.journaled
	return decision
}

// refuseUnrecorded revokes a permission that could not be recorded. It has not
// been handed out, unless the same request asked twice concurrently.
func refuseUnrecorded(ctx context.Context, s *ownedShard, p Permission) Decision {
	if !s.ledger.Release(p) || ctx.Err() != nil {
		return unavailable()
	}
	return Decision{Verdict: NotRun, RetryAfter: defaultRetryAfter}
}

// recordPermission records a permission, in the journal or in memory alone, so
// that it may be handed out. It returns false if the permission must not be handed
// out.
func (o *Owner) recordPermission(ctx context.Context, s *ownedShard, p Permission) bool {
	if s.ledger.records[p.Key].recorded {
		return true
	}
	switch s.recordMode(p.Key.CreatedAt()) {
	case RecordInMemory:
		s.ledger.markRecorded(p, false)
		return true
	case RecordInJournal:
		return s.writer.awaitWrite(ctx, p)
	default:
		return false
	}
}

// recordMode returns how a key must be recorded.
func (s *ownedShard) recordMode(createdAt time.Time) RecordMode {
	switch {
	case s.writer == nil:
		return RecordInMemory
	case s.writer.fenced:
		return RefuseKey
	default:
		return s.writer.journal.RecordMode(createdAt)
	}
}

// HandleFinish records the outcome of a dispatch.
func (o *Owner) HandleFinish(_ context.Context, message *peerpb.Finish) *peerpb.FinishAnswer {
	p, err := PermissionFromProto(message.GetPermission())
	if err != nil || p.ShardID.Zone != o.config.Zone {
		return &peerpb.FinishAnswer{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.liveShard(p.ShardID.Shard)
	if s == nil {
		return &peerpb.FinishAnswer{}
	}
	s.ledger.Finish(p, request.Outcome(message.GetOutcome()), message.GetAnswer(), o.config.Now())
	if s.writer != nil {
		s.writer.schedule()
	}
	return &peerpb.FinishAnswer{Recorded: true}
}
