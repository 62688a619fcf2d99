package roster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/clock"
	"auburngap/kv"
)

// maxEraPause bounds the random pause before a node writes its entry in a new era of the
// service, since all nodes do so.
const maxEraPause = 500 * time.Millisecond

// latestEra returns the latest era of the service that is known, from its answers or from
// the node's view.
func (p *Publisher) latestEra() kv.Era {
	return max(p.config.Client.Era(), kv.Era(p.viewEra.Load()))
}

// enterEra prepares to write the member again if the service has entered a new era, in which
// its entry may be missing or older, and the lease may be another node's.
func (p *Publisher) enterEra(ctx context.Context) error {
	era := p.latestEra()
	if era == p.era {
		return nil
	}
	if p.lease != 0 {
		clock.Sleep(ctx, rand.N(maxEraPause))
		entry, err := p.config.Client.Get(ctx, p.config.Key)
		if err != nil && !errorx.IsOfType(err, kv.ErrNotFound) {
			return err
		}
		if p.config.Client.Era() != era {
			return kv.ErrUnavailable.New("the service is in era %d, not %d", p.config.Client.Era(), era)
		}
		p.revision.Store(uint64(entry.Revision))
		leaseStands := entry.Lease == p.lease && p.isConfirmed(entry)
		if !leaseStands {
			p.lease = 0
		}
		p.config.Logger.Info("roster: publishing again", zap.Uint32("era", uint32(era)), zap.Stringer("found", entry.Revision), zap.Bool("leaseStands", leaseStands))
	}
	p.era = era
	p.mu.Lock()
	p.rewrites++
	p.mu.Unlock()
	return nil
}

// isConfirmed reports whether an entry is one that the service has confirmed to this process.
// Another one may have been written late, under a lease ID that was given out again.
func (p *Publisher) isConfirmed(entry kv.Entry) bool {
	var member Member
	if err := json.Unmarshal(entry.Value, &member); err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return member.Incarnation == p.member.Incarnation && member.Sequence <= p.confirmed.sequence
}

// RenewInEra renews a lease of an era. It returns kv.ErrNotFound if the service is in a later
// one, where the ID may be that of another lease, and kv.ErrUnavailable if the service
// answers from an earlier one.
func RenewInEra(ctx context.Context, client kv.Client, era kv.Era, lease kv.LeaseID) error {
	if client.Era() > era {
		return kv.ErrNotFound.New("lease %d of era %d", lease, era)
	}
	if err := client.Renew(ctx, lease); err != nil {
		return err
	}
	switch now := client.Era(); {
	case now > era:
		return kv.ErrNotFound.New("lease %d of era %d", lease, era)
	case now < era:
		return kv.ErrUnavailable.New("the service is in era %d, before %d", now, era)
	}
	return nil
}
