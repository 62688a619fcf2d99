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

// firstVersion is the number of a site's first bundle.
const firstVersion = 1

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	// Zone is the VM's availability zone.
	Zone string
	// Gate tells whether the VM owns a shard, by the reading of Clock.
	Gate  share.Gate
	Clock share.Clock
	// Now reads the wall clock.
	Now   func() time.Time
	Terms Terms
	// Store returns where a shard's journal is held; nil keeps records in
	// memory alone.
	Store   func(home Home) Store
	Journal JournalTerms
	Log     *zap.Logger
	// Violated is told the name of an invariant that does not hold.
	Violated func(invariant string)
}

// Owner keeps the ledgers of the shards that its VM owns. It is safe for
// concurrent use.
type Owner struct {
	config OwnerConfig

	mu          sync.Mutex
	layout      Layout
	layoutSince time.Time
	desks       map[int]*desk
}

// desk is one owned shard.
type desk struct {
	epoch  uint64
	ledger *Ledger
	// writer is nil where records are kept in memory alone.
	writer *writer
}

// NewOwner returns an owner of no shard.
func NewOwner(config OwnerConfig) *Owner {
	config.Terms = config.Terms.withDefaults()
	config.Journal = config.Journal.withDefaults()
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	return &Owner{config: config, desks: make(map[int]*desk)}
}

// Apply puts a bundle into force.
func (o *Owner) Apply(index *bundle.Index) {
	o.mu.Lock()
	defer o.mu.Unlock()
	layout := NewLayout(index)
	if layout.hash == o.layout.hash {
		return
	}
	o.layout = layout
	o.layoutSince = o.config.Now()
	if index.Bundle.Version == firstVersion {
		// No other layout has ever been in force.
		o.layoutSince = time.Time{}
	}
	for _, d := range o.desks {
		d.ledger.Apply(layout, o.layoutSince)
	}
}

// Gained begins ownership of a shard at an epoch. State is what the
// predecessor handed over, nil where it did not.
func (o *Owner) Gained(shard int, epoch uint64, state *peerpb.LedgerState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Now()
	home := Home{Zone: o.config.Zone, Shard: shard}
	d := &desk{epoch: epoch, ledger: NewLedger(LedgerConfig{
		Home: home, Epoch: epoch, GainedAt: now, LayoutSince: o.layoutSince,
		Terms: o.config.Terms, State: state, Violated: o.config.Violated,
	}, o.layout)}
	o.desks[shard] = d
	if o.config.Store == nil {
		return
	}
	d.writer = newWriter(o, d, o.config.Store(home), now)
	if until := state.GetJournalUntilUnixMicros(); until != 0 {
		d.writer.journal.attempted = timeOf(until)
	}
	d.writer.kick()
}

// Lost ends ownership of a shard and returns the state for a successor, nil
// where the lease was over already. The state must be handed over once at
// most.
func (o *Owner) Lost(shard int) *peerpb.LedgerState {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.live(shard)
	delete(o.desks, shard)
	if d == nil {
		return nil
	}
	handed := d.ledger.Export(o.config.Now())
	if d.writer != nil {
		handed.JournalUntilUnixMicros = unixMicros(d.writer.journal.attempted)
	}
	return handed
}

// live returns an owned shard's desk, nil unless its lease is live.
func (o *Owner) live(shard int) *desk {
	d, ok := o.desks[shard]
	if !ok {
		return nil
	}
	epoch, ok := o.config.Gate.Live(shard, o.config.Clock())
	if !ok || epoch != d.epoch {
		return nil
	}
	return d
}

// HandleBegin answers a Begin from any VM.
func (o *Owner) HandleBegin(ctx context.Context, message *peerpb.Begin) *peerpb.BeginAnswer {
	r, err := requestFromProto(message)
	if err != nil {
		return rulingToProto(Ruling{Verdict: BadKey})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.asked(message)
	if d == nil {
		return rulingToProto(unavailable())
	}
	if message.GetLook() {
		return rulingToProto(d.settled(d.ledger.Look(r, o.config.Now())))
	}
	return rulingToProto(o.begin(ctx, d, r))
}

// asked returns the desk that a Begin is for, nil where it is not owned or the
// sender goes by another layout.
func (o *Owner) asked(message *peerpb.Begin) *desk {
	if message.GetAvailabilityZone() != o.config.Zone || message.GetLayout() != o.layout.hash {
		return nil
	}
	return o.live(int(message.GetShard()))
}

// settled holds back what the predecessor's journal may still correct.
func (d *desk) settled(ruling Ruling) Ruling {
	if ruling.Verdict == Unknown && d.writer != nil && !d.writer.loaded {
		return unavailable()
	}
	return ruling
}

// begin decides about a request and records the permission that it may get.
func (o *Owner) begin(ctx context.Context, d *desk, r Request) Ruling {
	ruling := d.settled(d.ledger.Begin(r, o.config.Now()))
	if ruling.Verdict != Run {
		return ruling
	}
	shard := ruling.Permission.Home.Shard
	recorded := o.record(ctx, d, ruling.Permission)
	if o.live(shard) != d {
		return unavailable()
	}
	if !recorded {
		return refuseUnrecorded(ctx, d, ruling.Permission)
	}
	known := d.ledger.records[r.Key]
	if known == nil || known.attempt != ruling.Permission.Attempt || known.phase != phaseRunning {
		return unavailable()
	}
	d.ledger.checkHandedOut(known)
	ruling.Journaled = known.journaled
	return ruling
}

// refuseUnrecorded takes a permission back that could not be recorded. It has
// not been handed out, unless the same request asked twice at once.
func refuseUnrecorded(ctx context.Context, d *desk, p Permission) Ruling {
	if !d.ledger.Release(p) || ctx.Err() != nil {
		return unavailable()
	}
	return Ruling{Verdict: NotRun, RetryAfter: progressRetry}
}

// record makes a permission fit to be handed out: in the journal, or on memory
// alone. False means that it must not be.
func (o *Owner) record(ctx context.Context, d *desk, p Permission) bool {
	if d.ledger.records[p.Key].cleared {
		return true
	}
	switch d.route(p.Key.Minted()) {
	case RouteMemory:
		d.ledger.clear(p, false)
		return true
	case RouteWrite:
		return d.writer.wait(ctx, p)
	default:
		return false
	}
}

// route decides how a key is recorded.
func (d *desk) route(minted time.Time) Route {
	switch {
	case d.writer == nil:
		return RouteMemory
	case d.writer.fenced:
		return RouteRefuse
	default:
		return d.writer.journal.Route(minted)
	}
}

// HandleFinish takes in the end of a dispatch.
func (o *Owner) HandleFinish(_ context.Context, message *peerpb.Finish) *peerpb.FinishAnswer {
	p, err := PermissionFromProto(message.GetPermission())
	if err != nil || p.Home.Zone != o.config.Zone {
		return &peerpb.FinishAnswer{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.live(p.Home.Shard)
	if d == nil {
		return &peerpb.FinishAnswer{}
	}
	d.ledger.Finish(p, request.Outcome(message.GetOutcome()), message.GetAnswer(), o.config.Now())
	if d.writer != nil {
		d.writer.kick()
	}
	return &peerpb.FinishAnswer{Recorded: true}
}
