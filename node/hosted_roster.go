package node

import (
	"cmp"
	"context"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"auburngap/kv"
	"auburngap/peer"
	"auburngap/peer/peerpb"
	"auburngap/roster"
	"auburngap/route"
)

const (
	// maxRenewPeers is how many nodes are asked to renew a lease, one after the other,
	// and renewTimeout bounds each request.
	maxRenewPeers = 2
	renewTimeout  = 500 * time.Millisecond
	// maxPublishDelay bounds how long the first entry of a process waits for the answers of
	// other nodes, which tell whether the backend server is in use.
	maxPublishDelay = 300 * time.Millisecond
)

// apply updates the node to a changed view of the site.
func (h *Hosted) apply(view roster.View) {
	h.restoreBackend(view)
	if !h.viewApplied {
		h.viewApplied = true
		h.portions.setKeepsPortions(h.config.FirstStart || h.entryStands(view))
		close(h.hasView)
	}
	h.portions.setMembers(time.Now(), view.Members)
	h.applyConfig(view)
	targets := targetsByService(view.Members)
	for service := range h.listed {
		if len(targets[service]) == 0 {
			h.routes.Update(service, nil)
		}
	}
	for service, listed := range targets {
		h.listed[service] = true
		h.routes.Update(service, listed)
	}
	h.publisher.HandleView(view)
}

// entryStands reports whether the entry that an earlier process of this VM published
// is still valid, so that no other node has taken over its portions.
func (h *Hosted) entryStands(view roster.View) bool {
	for _, member := range view.Members {
		if member.VM == h.config.VM {
			return !member.Leaving
		}
	}
	return false
}

// applyConfig activates a newer configuration.
func (h *Hosted) applyConfig(view roster.View) {
	entry, ok := view.Mirror.Entry(h.config.ConfigKey)
	if !ok || entry.Revision == h.configRevision {
		return
	}
	h.configRevision = entry.Revision
	decoded, err := h.config.DecodeConfig(entry.Value)
	if err != nil {
		h.logger.Error("bundle: configuration refused", zap.Uint64("revision", entry.Revision.Number()), zap.Uint32("era", uint32(entry.Revision.Era())), zap.String("error", err.Error()))
		return
	}
	before := h.index.Load()
	if before != nil && decoded.Version == before.Bundle.Version {
		return // a new era of the service lists it again
	}
	if before != nil && decoded.Version < before.Bundle.Version {
		h.logger.Warn("bundle: older version refused",
			zap.Uint64("version", decoded.Version), zap.Uint64("inForce", before.Bundle.Version),
			zap.Uint64("revision", entry.Revision.Number()), zap.Uint32("era", uint32(entry.Revision.Era())), zap.Stringer("from", view.Source))
		return
	}
	index := before.Next(decoded)
	h.portions.setLimits(time.Now(), index)
	h.index.Store(index)
	if before == nil {
		close(h.ready)
	}
	h.logger.Info("bundle: version in force", zap.Uint64("version", decoded.Version),
		zap.Uint64("revision", entry.Revision.Number()), zap.Uint32("era", uint32(entry.Revision.Era())), zap.Stringer("from", view.Source),
		zap.Duration("unconfirmedFor", view.UnconfirmedFor),
		zap.Int("routes", len(decoded.Routes)), zap.Int("workspaces", len(decoded.Workspaces)))
}

func (h *Hosted) logMalformed(key string, err error) {
	h.logger.Warn("roster: entry names no node", zap.String("key", key), zap.String("error", err.Error()))
}

// targetsByService returns the backend servers of each service.
func targetsByService(members []roster.Member) map[string][]route.Target {
	targets := make(map[string][]route.Target)
	for _, member := range members {
		if member.Backend == nil {
			continue
		}
		service := member.Backend.Service
		targets[service] = append(targets[service], route.Target{
			VM:       member.VM,
			Zone:     member.Zone,
			Address:  member.Address,
			Service:  service,
			Slots:    member.Backend.Slots,
			Draining: member.Leaving || member.Backend.Draining,
			Since:    member.Backend.WarmAt,
		})
	}
	return targets
}

// publishUntil publishes this node and its backend server until the context ends. The
// first view shows what an earlier process has published.
func (h *Hosted) publishUntil(ctx context.Context) error {
	select {
	case <-h.hasView:
	case <-ctx.Done():
		return nil
	}
	select {
	case <-h.isSettled:
	case <-time.After(maxPublishDelay):
	}
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		h.publish()
		select {
		case <-ctx.Done():
			return nil
		case <-h.announced.changed:
		case <-ticker.C:
		}
	}
}

// publish publishes this node's entry if it has changed.
func (h *Hosted) publish() {
	h.publishMu.Lock()
	defer h.publishMu.Unlock()
	member := h.member()
	if h.published != nil && isSameEntry(*h.published, member) {
		return
	}
	h.publisher.Set(member)
	h.published = &member
}

// isSameEntry reports whether two entries of one node differ at most in WarmAt, which
// alone does not need to be published again.
func isSameEntry(a, b roster.Member) bool {
	if a.Leaving != b.Leaving || (a.Backend == nil) != (b.Backend == nil) {
		return false
	}
	if a.Backend == nil {
		return true
	}
	same := *a.Backend
	same.WarmAt = b.Backend.WarmAt
	return same == *b.Backend
}

// waitUntilPublished publishes the present state and returns true once the key-value
// service has it, or false when ctx ends first.
func (h *Hosted) waitUntilPublished(ctx context.Context) bool {
	select {
	case <-h.hasView:
	case <-ctx.Done():
		return false
	}
	h.publish()
	return h.publisher.WaitConfirmed(ctx)
}

// member returns the entry that this node publishes.
func (h *Hosted) member() roster.Member {
	member := roster.Member{
		VM:          h.config.VM,
		Zone:        h.config.Zone,
		Address:     h.config.PeerAddress,
		Incarnation: h.identity.Incarnation.String(),
		Leaving:     h.local.leaving.Load(),
	}
	if announced, ok := h.announced.Current(); ok {
		member.Backend = &roster.Backend{
			Service:  announced.Service,
			Instance: announced.Instance,
			Slots:    announced.Slots,
			Draining: announced.Draining,
			Started:  announced.Started,
			WarmAt:   announced.WarmAt,
		}
	}
	return member
}

// compareConfigs compares two configuration entries by their versions.
func (h *Hosted) compareConfigs(a, b kv.Entry) int {
	first, err := h.config.DecodeConfig(a.Value)
	if err != nil {
		return 0
	}
	second, err := h.config.DecodeConfig(b.Value)
	if err != nil {
		return 0
	}
	return cmp.Compare(first.Version, second.Version)
}

// renewThroughPeer asks other nodes to renew this node's lease of an era.
func (h *Hosted) renewThroughPeer(ctx context.Context, era kv.Era, lease kv.LeaseID) error {
	err := error(kv.ErrUnavailable.New("no other node is known"))
	for i, address := range shuffledPeers(h.follower.Members(), h.config.VM, h.config.Zone) {
		if i == maxRenewPeers {
			break
		}
		query := &peerpb.RenewQuery{Lease: uint64(lease), Era: uint32(era)}
		if err = h.requestRenewal(ctx, query, address); err == nil || errorx.IsOfType(err, kv.ErrNotFound) {
			return err
		}
	}
	return err
}

// onSync exchanges with another node what the service may lack.
func (h *Hosted) onSync(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	var query peerpb.SyncQuery
	if err := peer.Decode(payload, &query); err != nil {
		return nil, err
	}
	return h.follower.AnswerSync(from.VM, &query), nil
}

// onRenew renews the lease of a node that cannot reach the service.
func (h *Hosted) onRenew(ctx context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	var query peerpb.RenewQuery
	if err := peer.Decode(payload, &query); err != nil {
		return nil, err
	}
	err := roster.RenewInEra(ctx, h.config.Client, kv.Era(query.GetEra()), kv.LeaseID(query.GetLease()))
	outcome := "renewed"
	if err != nil {
		outcome = err.Error()
	}
	h.logger.Info("roster: lease of another node", zap.String("of", from.VM), zap.Uint64("lease", query.GetLease()), zap.String("outcome", outcome))
	return &peerpb.RenewReply{Renewed: err == nil, Gone: errorx.IsOfType(err, kv.ErrNotFound)}, nil
}

func (h *Hosted) requestRenewal(ctx context.Context, query *peerpb.RenewQuery, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var reply peerpb.RenewReply
	if err := h.query(ctx, address, peer.KindRenew, query, &reply); err != nil {
		return err
	}
	switch {
	case reply.GetGone():
		return kv.ErrNotFound.New("lease %d of era %d", query.GetLease(), query.GetEra())
	case !reply.GetRenewed():
		return kv.ErrUnavailable.New("%s cannot reach the key-value service either", address)
	}
	return nil
}
