package share

import (
	"context"
	"sync"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

const (
	// zoneReportInterval is the delay before spent tokens are reported to lenders of
	// other zones.
	zoneReportInterval = 5 * time.Millisecond
	// peerTimeout is the timeout of a draw from another zone.
	peerTimeout = 50 * time.Millisecond
	// borrowTimeout is how long a draw waits for tokens to accrue or to come from
	// other zones. It must be shorter than answerTimeout.
	borrowTimeout = 60 * time.Millisecond
	// minWait is the minimum time before a waiting draw looks at its lender again.
	minWait = time.Millisecond
	// lookahead is the time whose expected demand a lender tries to have available.
	lookahead = 30 * time.Millisecond
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

// Owner lends the tokens of the shards that its VM owns. It is safe for
// concurrent use.
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

// waitForTokens unlocks and waits until the lender has enough tokens for this
// draw and those before it, or until borrowTimeout. Meanwhile lenders of other
// zones are asked and tokens accrue.
func (o *Owner) waitForTokens(ctx context.Context, s *ownedShard, draw Draw) {
	w := s.queue(draw.Workspace).join(draw.Need)
	defer s.leave(draw.Workspace, w)
	end := o.config.Clock() + borrowTimeout
	for ctx.Err() == nil {
		done := o.nextCheck(s, draw.Workspace, w, end)
		if done == nil {
			return
		}
		o.await(ctx, done)
	}
}

// nextCheck returns a channel that closes when the draw should look at its lender
// again, nil if it should stop waiting.
func (o *Owner) nextCheck(s *ownedShard, workspace string, w *waiter, end time.Duration) chan struct{} {
	now := o.config.Clock()
	queue := s.queue(workspace)
	due := queue.needUpTo(w)
	if s.lender.Available(workspace, now) >= due-wholeTolerance {
		return nil
	}
	if done := o.startBorrowing(s, workspace, queue.totalNeed(), now); done != nil {
		return done
	}
	wait := max(minWait, s.lender.AccrualWait(workspace, due, now))
	if wait > end-now {
		return nil
	}
	return after(wait)
}

// after returns a channel that closes after the given time.
func after(wait time.Duration) chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(wait, func() { close(done) })
	return done
}

// await unlocks the owner and waits until done closes or the context ends.
func (o *Owner) await(ctx context.Context, done chan struct{}) {
	o.mu.Unlock()
	defer o.mu.Lock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *ownedShard) queue(workspace string) *queue {
	return getOrCreate(s.queues, workspace)
}

func (s *ownedShard) leave(workspace string, w *waiter) {
	q := s.queue(workspace)
	q.leave(w)
	if len(q.waiters) == 0 {
		delete(s.queues, workspace)
	}
}

// borrowAhead asks lenders of other zones before this one runs out of tokens.
func (o *Owner) borrowAhead(s *ownedShard, workspace string, now time.Duration) {
	target := s.lender.ExpectedDemand(workspace, lookahead, now)
	if target < 1 || s.lender.Available(workspace, now) >= target {
		return
	}
	o.startBorrowing(s, workspace, target, now)
}

// startBorrowing returns a channel that closes when the lenders of other zones
// have answered, nil if no zone has to be asked.
func (o *Owner) startBorrowing(s *ownedShard, workspace string, need float64, now time.Duration) chan struct{} {
	if done, ok := s.borrowing[workspace]; ok {
		return done
	}
	draws := s.lender.BorrowDraws(workspace, need, now)
	if len(draws) == 0 {
		return nil
	}
	done := make(chan struct{})
	s.borrowing[workspace] = done
	go o.runBorrowing(s, workspace, draws, now, done)
	return done
}

func (o *Owner) runBorrowing(s *ownedShard, workspace string, draws []Draw, askedAt time.Duration, done chan struct{}) {
	var group sync.WaitGroup
	for _, draw := range draws {
		group.Go(func() { o.drawFromPeer(s, draw, askedAt) })
	}
	group.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(s.borrowing, workspace)
	close(done)
}

func (o *Owner) drawFromPeer(s *ownedShard, draw Draw, askedAt time.Duration) {
	grant, ok := o.send(draw)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock()
	if !ok {
		s.lender.DrawFailed(draw.Workspace, draw.LenderZone, draw.ID, now)
		return
	}
	s.lender.HandleGrant(draw.Workspace, draw.LenderZone, grant, askedAt, now)
	o.scheduleReports()
}

func (o *Owner) send(draw Draw) (Grant, bool) {
	o.mu.Lock()
	index := o.index
	o.mu.Unlock()
	return sendDraw(o.config.Peers, index, draw, peerTimeout)
}

// scheduleReports schedules reports to lenders of other zones on spent and idle tokens.
func (o *Owner) scheduleReports() {
	if o.reportScheduled {
		return
	}
	o.reportScheduled = true
	time.AfterFunc(zoneReportInterval, o.sendReports)
}

func (o *Owner) sendReports() {
	o.mu.Lock()
	o.reportScheduled = false
	draws := o.reportDraws(o.config.Clock())
	o.mu.Unlock()
	for _, draw := range draws {
		go o.send(draw)
	}
}

func (o *Owner) reportDraws(now time.Duration) []Draw {
	var draws []Draw
	for _, s := range o.shards {
		draws = append(draws, s.lender.ReportDraws(now)...)
		if s.lender.HasBorrowed() {
			o.scheduleReports()
		}
	}
	return draws
}
