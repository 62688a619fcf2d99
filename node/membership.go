package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/peer"
	"auburngap/platform"
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
	Draining bool           `json:"draining"`
}

type membershipConfig struct {
	Self      peer.Identity
	Address   netip.AddrPort
	Platform  platform.Client
	Announced *announcements
	Logger    *zap.Logger
}

// membership keeps the list of members through the platform.
type membership struct {
	config  membershipConfig
	members atomic.Pointer[[]member]
	leaving atomic.Bool
}

func newMembership(config membershipConfig) *membership {
	m := &membership{config: config}
	m.members.Store(&[]member{})
	return m
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
	m.members.Store(&members)
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
		Draining: !ok || announced.Draining || m.leaving.Load(),
	}
}

// Leave announces that this node takes no new work.
func (m *membership) Leave(_ context.Context) {
	m.leaving.Store(true)
}

// Pick returns a member whose backend server serves the service, one of the
// own availability zone where there is any.
func (m *membership) Pick(service string) (member, bool) {
	var near, far []member
	for _, one := range *m.members.Load() {
		if one.Service != service || one.Draining {
			continue
		}
		if strings.EqualFold(one.Zone, m.config.Self.Zone) {
			near = append(near, one)
		} else {
			far = append(far, one)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return member{}, false
	}
	return near[rand.IntN(len(near))], true
}
