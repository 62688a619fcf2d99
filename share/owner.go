package share

import (
	"context"
	"sync"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

const (
	// returnInterval is how soon banks of other zones are told of spends.
	returnInterval = 5 * time.Millisecond
	// peerTimeout bounds a draw from another zone.
	peerTimeout = 50 * time.Millisecond
	// patience is how long a draw waits for tokens to accrue or to come from
	// other zones. It must be shorter than askTimeout.
	patience = 60 * time.Millisecond
	// shortestWait is the time between two looks at a bank.
	shortestWait = time.Millisecond
	// lookahead is the demand that a bank tries to have in stock.
	lookahead = 30 * time.Millisecond
)

// Gate tells whether this VM owns a shard.
type Gate interface {
	// Live returns the epoch at which the VM owns the shard of its own
	// availability zone; false where its lease is over at now.
	Live(shard int, now time.Duration) (epoch uint64, ok bool)
}

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	// Zone is the VM's availability zone.
	Zone  string
	Gate  Gate
	Peers Peers
	Clock Clock
	Terms Terms
	// Violated is told the name of an invariant that does not hold.
	Violated func(invariant string)
}

// Owner lends the tokens of the shards that its VM owns. It is safe for
// concurrent use.
type Owner struct {
	config OwnerConfig

	mu    sync.Mutex
	index *bundle.Index
	banks map[int]*desk
	// armed is true while reports to other zones are due.
	armed bool
}

// desk is one owned shard.
type desk struct {
	bank  *Bank
	epoch uint64
	// borrowing holds the workspaces for which banks of other zones are being
	// asked; the channels close when that is over.
	borrowing map[string]chan struct{}
	// waiting holds by workspace what nodes wait for, in the order of arrival.
	waiting map[string]*queue
}

// NewOwner returns an owner of no shard.
func NewOwner(config OwnerConfig) *Owner {
	config.Terms = config.Terms.withDefaults()
	return &Owner{config: config, banks: make(map[int]*desk)}
}

// Apply puts a bundle into force.
func (o *Owner) Apply(index *bundle.Index) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.index = index
	now := o.config.Clock()
	for _, d := range o.banks {
		d.bank.Apply(index, now)
	}
}

// Gained begins ownership of a shard at an epoch. State is what the
// predecessor handed over, nil where it did not.
func (o *Owner) Gained(shard int, epoch uint64, state *peerpb.ShareState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock()
	bank := NewBank(BankConfig{
		Zone: o.config.Zone, Shard: shard, Epoch: epoch, GainedAt: now,
		Terms: o.config.Terms, State: state, FirstSequence: uint64(time.Now().UnixNano()),
		Violated: o.config.Violated,
	})
	if o.index != nil {
		bank.Apply(o.index, now)
	}
	o.banks[shard] = &desk{
		bank: bank, epoch: epoch,
		borrowing: make(map[string]chan struct{}), waiting: make(map[string]*queue),
	}
}

// Lost ends ownership of a shard and returns the state for a successor, nil
// where the lease was over already. The state must be handed over once at
// most.
func (o *Owner) Lost(shard int) *peerpb.ShareState {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock()
	d := o.live(shard, now)
	delete(o.banks, shard)
	if d == nil {
		return nil
	}
	return d.bank.Export(now)
}

// live returns an owned shard's desk, nil unless the lease is live at now.
func (o *Owner) live(shard int, now time.Duration) *desk {
	d, ok := o.banks[shard]
	if !ok {
		return nil
	}
	epoch, ok := o.config.Gate.Live(shard, now)
	if !ok || epoch != d.epoch {
		return nil
	}
	return d
}

// HandleDraw answers a draw from any VM.
func (o *Owner) HandleDraw(ctx context.Context, message *peerpb.Draw) *peerpb.DrawAnswer {
	draw := drawFromProto(message)
	if draw.Zone != o.config.Zone {
		return notOwner(draw)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	shard := int(message.GetShard())
	now := o.config.Clock()
	d := o.live(shard, now)
	if d == nil {
		return notOwner(draw)
	}
	if draw.Whole && draw.Collect && draw.Need > 0 {
		d.bank.Report(draw.Workspace, draw.Reports, now)
		o.borrow(ctx, d, draw)
		now = o.config.Clock()
		if ctx.Err() != nil || o.live(shard, now) != d {
			return notOwner(draw)
		}
	}
	grant, ok := d.bank.Draw(draw, now)
	if !ok {
		return notOwner(draw)
	}
	if draw.Whole && draw.Collect {
		o.borrowAhead(d, draw.Workspace, now)
	}
	return grantToProto(grant)
}

func notOwner(draw Draw) *peerpb.DrawAnswer {
	return &peerpb.DrawAnswer{Id: draw.ID, NotOwner: true}
}

// borrow waits, unlocked, until the bank has what a node needs beyond what was
// asked before, or its patience is over: meanwhile banks of other zones are
// asked and tokens accrue.
func (o *Owner) borrow(ctx context.Context, d *desk, draw Draw) {
	w := d.queue(draw.Workspace).join(draw.Need)
	defer d.leave(draw.Workspace, w)
	end := o.config.Clock() + patience
	for ctx.Err() == nil {
		done := o.oneRound(d, draw.Workspace, w, end)
		if done == nil {
			return
		}
		o.await(ctx, done)
	}
}

// oneRound returns a channel that closes when it is worth looking again, nil
// where nothing more is to be waited for.
func (o *Owner) oneRound(d *desk, workspace string, w *waiter, end time.Duration) chan struct{} {
	now := o.config.Clock()
	queue := d.queue(workspace)
	due := queue.upTo(w)
	if d.bank.Available(workspace, now) >= due-wholeTolerance {
		return nil
	}
	if done := o.startBorrowing(d, workspace, queue.sum(), now); done != nil {
		return done
	}
	wait := max(shortestWait, d.bank.Accrual(workspace, due, now))
	if wait > end-now {
		return nil
	}
	return after(wait)
}

// after returns a channel that closes after a time.
func after(wait time.Duration) chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(wait, func() { close(done) })
	return done
}

// await unlocks while it waits.
func (o *Owner) await(ctx context.Context, done chan struct{}) {
	o.mu.Unlock()
	defer o.mu.Lock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (d *desk) queue(workspace string) *queue {
	return valueOf(d.waiting, workspace)
}

func (d *desk) leave(workspace string, w *waiter) {
	q := d.queue(workspace)
	q.leave(w)
	if len(q.waiters) == 0 {
		delete(d.waiting, workspace)
	}
}

// borrowAhead asks banks of other zones before this one runs dry.
func (o *Owner) borrowAhead(d *desk, workspace string, now time.Duration) {
	target := d.bank.Lookahead(workspace, lookahead, now)
	if target < 1 || d.bank.Available(workspace, now) >= target {
		return
	}
	o.startBorrowing(d, workspace, target, now)
}

// startBorrowing returns a channel that closes when the banks of other zones
// have answered, nil where none is worth asking.
func (o *Owner) startBorrowing(d *desk, workspace string, need float64, now time.Duration) chan struct{} {
	if done, ok := d.borrowing[workspace]; ok {
		return done
	}
	draws := d.bank.Shortage(workspace, need, now)
	if len(draws) == 0 {
		return nil
	}
	done := make(chan struct{})
	d.borrowing[workspace] = done
	go o.runBorrowing(d, workspace, draws, now, done)
	return done
}

func (o *Owner) runBorrowing(d *desk, workspace string, draws []Draw, askedAt time.Duration, done chan struct{}) {
	var group sync.WaitGroup
	for _, draw := range draws {
		group.Go(func() { o.drawFromPeer(d, draw, askedAt) })
	}
	group.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(d.borrowing, workspace)
	close(done)
}

func (o *Owner) drawFromPeer(d *desk, draw Draw, askedAt time.Duration) {
	grant, ok := o.send(draw)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock()
	if !ok {
		d.bank.Failed(draw.Workspace, draw.Zone, draw.ID, now)
		return
	}
	d.bank.Deposit(draw.Workspace, draw.Zone, grant, askedAt, now)
	o.arm()
}

func (o *Owner) send(draw Draw) (Grant, bool) {
	o.mu.Lock()
	shard, ok := homeOf(o.index, draw.Workspace, draw.Zone)
	o.mu.Unlock()
	if !ok {
		return Grant{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	answer, err := o.config.Peers.Draw(ctx, drawToProto(draw, shard))
	if err != nil || answer.GetNotOwner() {
		return Grant{}, false
	}
	return grantFromProto(answer), true
}

// arm sees that banks of other zones are told of what is spent and get back
// what is idle.
func (o *Owner) arm() {
	if o.armed {
		return
	}
	o.armed = true
	time.AfterFunc(returnInterval, o.giveBack)
}

func (o *Owner) giveBack() {
	o.mu.Lock()
	o.armed = false
	draws := o.returns(o.config.Clock())
	o.mu.Unlock()
	for _, draw := range draws {
		go o.send(draw)
	}
}

func (o *Owner) returns(now time.Duration) []Draw {
	var draws []Draw
	for _, d := range o.banks {
		draws = append(draws, d.bank.Returns(now)...)
		if d.bank.Borrowed() {
			o.arm()
		}
	}
	return draws
}
