package node

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"auburngap/bundle"
	"auburngap/peer"
	"auburngap/peer/peerpb"
	"auburngap/portion"
	"auburngap/request"
	"auburngap/roster"
)

const (
	// releaseTimeout bounds the notice to the next owner.
	releaseTimeout = time.Second
	// maxBorrowTokens bounds the tokens that one answer carries.
	maxBorrowTokens = 256
)

// The values of request.RateDecision.DecidedBy.
const (
	decidedByThisNode  = "thisNode"
	decidedByCollector = "collector"
	decidedByOwners    = "owners"
)

// portions limits workspaces to their rates. An owner node of each workspace in each
// availability zone accrues tokens, and other nodes borrow from the owners.
type portions struct {
	query    roster.QueryFunc
	vm, zone string
	// stale reports whether the list of nodes is too old to lend tokens by.
	stale  func() bool
	logger *zap.Logger

	mu    sync.Mutex
	table *portion.Table
	// members are the site's nodes; nodes are the same, in the form from which owners
	// are chosen.
	members []roster.Member
	nodes   []portion.Node
	// owners are the other owners of each workspace, those of the local zone first.
	owners map[string][]netip.AddrPort
	// collectors are the addresses of the owners that collect parts of tokens; invalid if
	// that is this node.
	collectors map[string]netip.AddrPort
	// sizes holds the fraction of each workspace's rate that this node owns.
	sizes      map[string]float64
	borrowings map[string]*borrowing
	pauses     map[string]borrowPause
	// collections are those of the workspaces for which this node has collected.
	collections map[string]*collection
}

func newPortions(config portion.Config, query roster.QueryFunc, vm, zone string, stale func() bool, logger *zap.Logger) *portions {
	return &portions{
		stale:       stale,
		logger:      logger,
		query:       query,
		vm:          vm,
		zone:        zone,
		table:       portion.New(config),
		owners:      make(map[string][]netip.AddrPort),
		collectors:  make(map[string]netip.AddrPort),
		sizes:       make(map[string]float64),
		borrowings:  make(map[string]*borrowing),
		pauses:      make(map[string]borrowPause),
		collections: make(map[string]*collection),
	}
}

// setMembers applies a list of the site's nodes.
func (p *portions) setMembers(now time.Time, members []roster.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
	p.nodes = make([]portion.Node, len(members))
	for i, member := range members {
		p.nodes[i] = portion.Node{VM: member.VM, Zone: member.Zone, Leaving: member.Leaving}
	}
	released := make(map[netip.AddrPort][]string)
	for workspace := range p.owners {
		p.updateOwners(now, workspace, released)
	}
	p.notifyRelease(released)
}

// setSettleTime sets how old the list of nodes may be for a node that serves.
func (p *portions) setSettleTime(now time.Time, settle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetSettleTime(now, settle)
}

// setKeepsPortions sets whether this node owns its portions from the first list on.
func (p *portions) setKeepsPortions(continues bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetKeepsPortions(continues)
}

// setLimits applies the rates and bursts of a configuration.
func (p *portions) setLimits(now time.Time, index *bundle.Index) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := func(name string) bool {
		_, ok := index.Workspace(name)
		return ok
	}
	p.table.Forget(known)
	for workspace := range p.owners {
		if !known(workspace) {
			delete(p.owners, workspace)
			delete(p.collectors, workspace)
			delete(p.collections, workspace)
		}
	}
	released := make(map[netip.AddrPort][]string)
	for _, workspace := range index.Bundle.Workspaces {
		if p.table.SetLimit(now, workspace.Name, portion.Limit{Rate: workspace.Rate, Burst: workspace.Burst}) {
			p.logger.Info("rate: limit changed", zap.String("workspace", workspace.Name),
				zap.Uint64("version", index.Bundle.Version), zap.Float64("rate", workspace.Rate), zap.Float64("burst", workspace.Burst))
		}
		p.updateOwners(now, workspace.Name, released)
	}
	p.notifyRelease(released)
}

// updateOwners determines a workspace's owners and whether this node is one. If this
// node is no longer an owner, the workspace is added to released under the address of
// the next owner.
func (p *portions) updateOwners(now time.Time, workspace string, released map[netip.AddrPort][]string) {
	owners := portion.Owners(workspace, p.table.Burst(workspace), p.nodes)
	size := 0.0
	var sameZone, otherZones []netip.AddrPort
	for _, i := range owners {
		switch member := p.members[i]; {
		case member.VM == p.vm:
			size = 1 / float64(len(owners))
		case member.Zone == p.zone:
			sameZone = append(sameZone, member.Address)
		default:
			otherZones = append(otherZones, member.Address)
		}
	}
	p.owners[workspace] = append(sameZone, otherZones...)
	p.setCollector(workspace, owners)
	p.table.SetPortion(now, workspace, size)
	if p.sizes[workspace] > 0 && size == 0 && len(sameZone) > 0 {
		released[sameZone[0]] = append(released[sameZone[0]], workspace)
	}
	p.sizes[workspace] = size
}

// setCollector determines which of a workspace's owners collects parts of tokens. A
// single owner has no parts to collect.
func (p *portions) setCollector(workspace string, owners []int) {
	delete(p.collectors, workspace)
	if len(owners) < 2 {
		return
	}
	collector := p.members[owners[portion.Collector(workspace, owners, p.nodes)]]
	if collector.VM == p.vm {
		p.collectors[workspace] = netip.AddrPort{}
		return
	}
	p.collectors[workspace] = collector.Address
}

// notifyRelease notifies the next owners of the portions that this node has given up.
// If the notice does not arrive, they wait until enough time has passed for the portion
// to be theirs.
func (p *portions) notifyRelease(released map[netip.AddrPort][]string) {
	for address, workspaces := range released {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			var reply peerpb.BorrowReply
			if err := p.query(ctx, address, peer.KindRelease, &peerpb.ReleaseQuery{Workspaces: workspaces}, &reply); err != nil {
				p.logger.Info("rate: release did not arrive", zap.Stringer("address", address), zap.Strings("workspaces", workspaces), zap.String("error", err.Error()))
				return
			}
			p.logger.Info("rate: part released", zap.Stringer("to", address), zap.Strings("workspaces", workspaces))
		}()
	}
}

// onRelease takes over portions that another node has given up.
func (p *portions) onRelease(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	var query peerpb.ReleaseQuery
	if err := peer.Decode(payload, &query); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, workspace := range query.GetWorkspaces() {
		p.table.Release(time.Now(), workspace)
	}
	p.logger.Info("rate: part taken over", zap.String("from", from.VM), zap.Strings("workspaces", query.GetWorkspaces()))
	return &peerpb.BorrowReply{}, nil
}

// take implements rateLimiter.
func (p *portions) take(ctx context.Context, workspace string) (func(), *request.Refusal) {
	ok := p.takeToken(workspace)
	for !ok && p.awaitBorrow(ctx, workspace) {
		ok = p.retakeToken(workspace)
	}
	// The limit may have ended while the request waited.
	if !ok && !p.retakeToken(workspace) {
		refusal := request.Refuse(request.CauseRate, request.NotRun, p.retryAfter(workspace))
		refusal.Rate = p.decision(workspace)
		return nil, refusal
	}
	return func() { p.returnToken(workspace) }, nil
}

// decision returns why a request was refused.
func (p *portions) decision(workspace string) *request.RateDecision {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.table.State(time.Now(), workspace)
	return &request.RateDecision{
		Rate:       state.Limit.Rate,
		Burst:      state.Limit.Burst,
		Tokens:     state.Tokens,
		Portion:    state.Portion,
		PortionAge: state.Age,
		DecidedBy:  cmp.Or(p.pauses[workspace].decidedBy, decidedByThisNode),
	}
}

func (p *portions) takeToken(workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Take(time.Now(), workspace)
}

func (p *portions) retakeToken(workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Retake(time.Now(), workspace)
}

func (p *portions) returnToken(workspace string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Return(time.Now(), workspace)
}

// retryAfter returns after how long a refused request should be retried: when a token
// is likely to be available, with jitter so that callers do not retry at the same time.
func (p *portions) retryAfter(workspace string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if promised := p.table.RetryAfter(time.Now(), workspace); promised > 0 {
		return promised
	}
	return jitter(max(p.pauses[workspace].retryAfter, maxBorrowPause))
}

// onBorrow lends tokens to another node.
func (p *portions) onBorrow(ctx context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
	var query peerpb.BorrowQuery
	if err := peer.Decode(payload, &query); err != nil {
		return nil, err
	}
	if p.stale() {
		return &peerpb.BorrowReply{Unavailable: true}, nil
	}
	if !query.GetCollect() {
		return p.reply(&query, p.lend(&query)), nil
	}
	tokens, ok := p.lendCollected(ctx, &query)
	if !ok {
		return &peerpb.BorrowReply{Unavailable: true}, nil
	}
	return p.reply(&query, tokens), nil
}

// lend subtracts the tokens that a node asks for, and returns their number.
func (p *portions) lend(query *peerpb.BorrowQuery) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if query.GetPart() {
		return p.table.LendPart(time.Now(), query.GetWorkspace(), min(query.GetTokens(), 1))
	}
	return p.table.Lend(time.Now(), query.GetWorkspace(), min(query.GetTokens(), maxBorrowTokens))
}

// reply carries tokens, or when some are expected.
func (p *portions) reply(query *peerpb.BorrowQuery, tokens float64) *peerpb.BorrowReply {
	reply := &peerpb.BorrowReply{Tokens: tokens}
	if tokens < 1 && !query.GetPart() {
		p.mu.Lock()
		defer p.mu.Unlock()
		reply.RetryAfterMicros = p.table.RetryAfter(time.Now(), query.GetWorkspace()).Microseconds()
	}
	return reply
}
