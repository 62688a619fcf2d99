package roster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/clock"
	"auburngap/kv"
)

const (
	// DefaultLease is the default time to live of a node's lease.
	DefaultLease = 10 * time.Second
	// renewalsPerTTL is the number of renewals within the lease's time to live.
	renewalsPerTTL = 5
	// publishRetryPause is the mean pause after a failed write.
	publishRetryPause = 150 * time.Millisecond
)

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Client kv.Client
	// Key is the key of this node's entry.
	Key string
	// Lease is the time to live of the entry without renewal; zero means DefaultLease.
	Lease time.Duration
	// CurrentEntry returns this node's entry in the node's current view.
	CurrentEntry func() (kv.Entry, bool)
	// Renew asks another node to renew a lease of an era if the service does not answer this
	// node. It returns kv.ErrNotFound if the lease does not exist. It may be nil.
	Renew  func(ctx context.Context, era kv.Era, lease kv.LeaseID) error
	Logger *zap.Logger
}

// Publisher keeps a node's entry in the key-value service.
type Publisher struct {
	config PublisherConfig
	lease  kv.LeaseID
	// era is the one of the service in which the lease was granted and the entry written.
	era kv.Era
	// revision is the last known revision of the entry.
	revision atomic.Uint64
	// viewEra is the kv.Era of the node's view.
	viewEra atomic.Uint32
	// entryMissing is set when a newer view lacks the entry.
	entryMissing atomic.Bool
	// confirmed is what the service confirmed last.
	confirmed publication

	mu     sync.Mutex
	member Member
	// changes counts the calls of Set, and confirmedChanges those of them whose member, or
	// a later one, the service has confirmed.
	changes, confirmedChanges uint64
	// rewrites counts the eras in which the member is written again.
	rewrites uint64
	// grown is closed and replaced when confirmedChanges grows.
	grown chan struct{}
	wake  chan struct{}
}

// NewPublisher returns a publisher that publishes nothing until Set is called.
func NewPublisher(config PublisherConfig) *Publisher {
	if config.Lease == 0 {
		config.Lease = DefaultLease
	}
	return &Publisher{config: config, grown: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Set changes the published member.
func (p *Publisher) Set(member Member) {
	p.mu.Lock()
	p.member = member
	p.changes++
	p.mu.Unlock()
	p.wakeUp()
}

// WaitConfirmed returns true once the service has confirmed the member of the last Set or
// a later one, or false when ctx ends first.
func (p *Publisher) WaitConfirmed(ctx context.Context) bool {
	p.mu.Lock()
	wanted := p.changes
	p.mu.Unlock()
	for {
		p.mu.Lock()
		reached, grown := wanted > 0 && p.confirmedChanges >= wanted, p.grown
		p.mu.Unlock()
		if reached {
			return true
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return false
		}
	}
}

// setConfirmed records that the service has the member of a Set.
func (p *Publisher) setConfirmed(change uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if change <= p.confirmedChanges {
		return
	}
	p.confirmedChanges = change
	close(p.grown)
	p.grown = make(chan struct{})
}

// publication is a member as it is published.
type publication struct {
	// value is the encoded member.
	value string
	// change is the number of the Set, and sequence that of the value.
	change, sequence uint64
}

// current returns what is to be published; false before the first Set.
func (p *Publisher) current() (publication, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	member := p.member
	member.Sequence = p.changes + p.rewrites
	// The encoding of a Member cannot fail.
	data, _ := json.Marshal(member)
	return publication{value: string(data), change: p.changes, sequence: member.Sequence}, p.changes > 0
}

// Run publishes the member and renews its lease until ctx is done.
func (p *Publisher) Run(ctx context.Context) error {
	interval := p.config.Lease / renewalsPerTTL
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
			p.publish(ctx)
		case <-timer.C:
			timer.Reset(interval)
			p.renew(ctx)
		}
	}
	return nil
}

// publish retries until the service holds the current member.
func (p *Publisher) publish(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		isPublished, err := p.publishOnce(ctx)
		if isPublished {
			return
		}
		if err == nil {
			continue
		}
		failures++
		if failures == 1 {
			p.config.Logger.Warn("roster: node not published", zap.String("error", err.Error()))
		}
		clock.Sleep(ctx, publishRetryPause/2+time.Duration(rand.Int64N(int64(publishRetryPause))))
		if failures%renewalsPerTTL == 0 {
			p.renew(ctx)
		}
	}
}

// publishOnce writes the current member unless the service is known to hold it, and reports
// whether it is known to.
func (p *Publisher) publishOnce(ctx context.Context) (bool, error) {
	if err := p.enterEra(ctx); err != nil {
		return false, err
	}
	if p.entryMissing.Swap(false) {
		p.lease = 0
		p.revision.Store(uint64(kv.Absent))
	}
	current, ok := p.current()
	if !ok {
		return true, nil
	}
	if current.value == p.confirmed.value && p.lease != 0 {
		p.setConfirmed(current.change)
		return true, nil
	}
	if err := p.write(ctx, current.value); err != nil {
		return false, err
	}
	if p.latestEra() == p.era {
		p.confirmed = current
		p.setConfirmed(current.change)
	}
	return false, nil
}

// write replaces the entry at its last known revision, so that a write that takes
// effect late, even one of an earlier process, cannot replace a newer entry.
func (p *Publisher) write(ctx context.Context, value string) error {
	if p.lease == 0 {
		lease, err := p.config.Client.Grant(ctx, p.config.Lease)
		if err != nil {
			return err
		}
		if era := p.latestEra(); era != p.era {
			return kv.ErrUnavailable.New("era %d began", era)
		}
		p.lease = lease
	}
	revision := kv.Revision(p.revision.Load())
	if known, ok := p.config.CurrentEntry(); ok && known.Revision > revision && known.Revision.Era() == p.era {
		revision = known.Revision
	}
	put := kv.PutRequest{Key: p.config.Key, Value: []byte(value), IfRevision: revision, Lease: p.lease}
	entry, err := p.config.Client.Put(ctx, put)
	switch {
	case err == nil:
		p.revision.Store(uint64(entry.Revision))
		return nil
	case errorx.IsOfType(err, kv.ErrConflict):
		return p.reread(ctx, value)
	case errorx.IsOfType(err, kv.ErrNotFound):
		p.lease = 0
	}
	return err
}

// reread gets the entry's revision after a conflict. It returns nil if the entry
// already has the value: an earlier write took effect, but its answer was lost.
func (p *Publisher) reread(ctx context.Context, value string) error {
	entry, err := p.config.Client.Get(ctx, p.config.Key)
	if errorx.IsOfType(err, kv.ErrNotFound) {
		p.revision.Store(uint64(kv.Absent))
		return err
	}
	if err != nil {
		return err
	}
	p.revision.Store(uint64(entry.Revision))
	if entry.Lease == p.lease && string(entry.Value) == value {
		return nil
	}
	return kv.ErrConflict.New("entry %s was written meanwhile", p.config.Key)
}

// renew renews the lease, through another node if the service does not answer. If
// the lease has lapsed, the member is published again.
func (p *Publisher) renew(ctx context.Context) {
	if p.lease == 0 {
		return
	}
	if p.latestEra() != p.era {
		p.wakeUp()
		return
	}
	err := p.config.Client.Renew(ctx, p.lease)
	if err != nil && !errorx.IsOfType(err, kv.ErrNotFound) && p.config.Renew != nil {
		err = p.config.Renew(ctx, p.era, p.lease)
	}
	if p.latestEra() != p.era {
		p.wakeUp()
		return
	}
	if errorx.IsOfType(err, kv.ErrNotFound) {
		p.config.Logger.Warn("roster: lease lapsed", zap.Uint64("lease", uint64(p.lease)))
		p.lease = 0
		p.wakeUp()
	}
}

// HandleView publishes the entry again if a view is newer than the node's last write and
// lacks the entry, or is of a later era.
func (p *Publisher) HandleView(view View) {
	written := kv.Revision(p.revision.Load())
	if era := uint32(view.Mirror.Revision().Era()); p.viewEra.Swap(era) != era {
		p.wakeUp()
	}
	if _, ok := view.Mirror.Entry(p.config.Key); ok || written == kv.Absent || view.Mirror.Revision() <= written {
		return
	}
	p.entryMissing.Store(true)
	p.wakeUp()
}

func (p *Publisher) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
