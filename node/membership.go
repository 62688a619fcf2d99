package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/peer"
	"auburngap/platform"
	"auburngap/route"
)

const (
	// memberPrefix holds one key for each node.
	memberPrefix = "members/"
	// memberInterval is the time between two rounds of announcing and listing.
	memberInterval = 500 * time.Millisecond
	memberTTL      = 3 * time.Second
)

// member is what a node says of itself to the others.
type member struct {
	VM       string         `json:"vm"`
	Zone     string         `json:"zone"`
	Address  netip.AddrPort `json:"address"`
	Service  string         `json:"service"`
	Slots    int            `json:"slots"`
	Draining bool           `json:"draining"`
}

type membershipConfig struct {
	Self      peer.Identity
	Address   netip.AddrPort
	Platform  platform.Client
	Announced *announcements
	OnTargets func(service string, targets []route.Target)
	Logger    *zap.Logger
}

// membership keeps the list of members through the platform.
type membership struct {
	config  membershipConfig
	known   []string
	leaving atomic.Bool
}

func newMembership(config membershipConfig) *membership {
	return &membership{config: config}
}

// Run announces this node and reads the others until the context ends.
func (m *membership) Run(ctx context.Context) error {
	lease := platform.LeaseID(0)
	for ctx.Err() == nil {
		lease = m.round(ctx, lease)
		select {
		case <-ctx.Done():
		case <-time.After(memberInterval):
		}
	}
	return nil
}

func (m *membership) round(ctx context.Context, lease platform.LeaseID) platform.LeaseID {
	lease, err := m.announce(ctx, lease)
	if err != nil {
		m.config.Logger.Warn("membership: announcing failed", zap.Error(err))
	}
	entries, _, err := m.config.Platform.List(ctx, memberPrefix)
	if err != nil {
		m.config.Logger.Warn("membership: listing failed", zap.Error(err))
		return lease
	}
	members := make([]member, 0, len(entries))
	for _, entry := range entries {
		var one member
		if err := json.Unmarshal(entry.Value, &one); err == nil {
			members = append(members, one)
		}
	}
	m.update(members)
	return lease
}

func (m *membership) announce(ctx context.Context, lease platform.LeaseID) (platform.LeaseID, error) {
	if lease == 0 || m.config.Platform.Renew(ctx, lease) != nil {
		granted, err := m.config.Platform.Grant(ctx, memberTTL)
		if err != nil {
			return 0, err
		}
		lease = granted
	}
	key := memberPrefix + m.config.Self.VM
	previous, err := m.config.Platform.Get(ctx, key)
	if err != nil && !errorx.IsOfType(err, platform.ErrNotFound) {
		return lease, err
	}
	value, err := json.Marshal(m.own())
	if err != nil {
		return lease, err
	}
	_, err = m.config.Platform.Put(ctx, platform.PutRequest{Key: key, Value: value, IfRevision: previous.Revision, Lease: lease})
	return lease, err
}

func (m *membership) own() member {
	announced, ok := m.config.Announced.Current()
	return member{
		VM:       m.config.Self.VM,
		Zone:     m.config.Self.Zone,
		Address:  m.config.Address,
		Service:  announced.Service,
		Slots:    announced.Slots,
		Draining: !ok || announced.Draining || m.leaving.Load(),
	}
}

// Leave announces that this node takes no new work.
func (m *membership) Leave(_ context.Context) {
	m.leaving.Store(true)
}

// update hands the members on, by service.
func (m *membership) update(members []member) {
	byService := make(map[string][]route.Target)
	for _, service := range m.known {
		byService[service] = nil
	}
	for _, one := range members {
		byService[one.Service] = append(byService[one.Service], route.Target{
			VM:       one.VM,
			Zone:     one.Zone,
			Address:  one.Address,
			Service:  one.Service,
			Slots:    one.Slots,
			Draining: one.Draining,
		})
	}
	m.known = m.known[:0]
	for service, targets := range byService {
		m.known = append(m.known, service)
		m.config.OnTargets(service, targets)
	}
}
