package node

import (
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
	// releaseTimeout bounds the word to the next home.
	releaseTimeout = time.Second
	// maxBorrowTokens bounds the tokens that one answer carries.
	maxBorrowTokens = 256
)

// portions holds workspaces to their rates: a home of each workspace in each
// availability zone accrues tokens, and nodes borrow from the homes.
type portions struct {
	ask      roster.QueryFunc
	vm, zone string
	// stale tells whether the list of nodes is too old to give tokens by.
	stale  func() bool
	logger *zap.Logger

	mu    sync.Mutex
	table *portion.Table
	// members are the site's nodes, and nodes the same as homes are chosen from.
	members []roster.Member
	nodes   []portion.Node
	// homes are the other homes of each workspace, the own zone's first.
	homes map[string][]netip.AddrPort
	// parts are those that this node has.
	parts      map[string]float64
	borrowings map[string]*borrowing
	resting    map[string]borrowPause
}

func newPortions(config portion.Config, ask roster.QueryFunc, vm, zone string, stale func() bool, logger *zap.Logger) *portions {
	return &portions{
		stale:      stale,
		logger:     logger,
		ask:        ask,
		vm:         vm,
		zone:       zone,
		table:      portion.New(config),
		homes:      make(map[string][]netip.AddrPort),
		parts:      make(map[string]float64),
		borrowings: make(map[string]*borrowing),
		resting:    make(map[string]borrowPause),
	}
}

// setMembers takes in the site's nodes.
func (p *portions) setMembers(now time.Time, members []roster.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
	p.nodes = make([]portion.Node, len(members))
	for i, member := range members {
		p.nodes[i] = portion.Node{VM: member.VM, Zone: member.Zone, Leaving: member.Leaving}
	}
	released := make(map[netip.AddrPort][]string)
	for workspace := range p.homes {
		p.setHomes(now, workspace, released)
	}
	p.release(released)
}

// setSettle takes in how old a list of nodes may be by which a node serves.
func (p *portions) setSettle(now time.Time, settle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetSettleTime(now, settle)
}

// start takes in whether this node's portions are its own from the first list on.
func (p *portions) start(continues bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetKeepsPortions(continues)
}

// setTerms takes in a configuration.
func (p *portions) setTerms(now time.Time, index *bundle.Index) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := func(name string) bool {
		_, ok := index.Workspace(name)
		return ok
	}
	p.table.Forget(known)
	for workspace := range p.homes {
		if !known(workspace) {
			delete(p.homes, workspace)
		}
	}
	released := make(map[netip.AddrPort][]string)
	for _, workspace := range index.Bundle.Workspaces {
		if p.table.SetLimit(now, workspace.Name, portion.Limit{Rate: workspace.Rate, Burst: workspace.Burst}) {
			p.logger.Info("rate: limit changed", zap.String("workspace", workspace.Name),
				zap.Uint64("version", index.Bundle.Version), zap.Float64("rate", workspace.Rate), zap.Float64("burst", workspace.Burst))
		}
		p.setHomes(now, workspace.Name, released)
	}
	p.release(released)
}

// setHomes finds a workspace's homes and whether this node is one. Where it is
// one no more, released notes the workspace for the next.
func (p *portions) setHomes(now time.Time, workspace string, released map[netip.AddrPort][]string) {
	homes := portion.Owners(workspace, p.table.Burst(workspace), p.nodes)
	size := 0.0
	var near, far []netip.AddrPort
	for _, i := range homes {
		switch member := p.members[i]; {
		case member.VM == p.vm:
			size = 1 / float64(len(homes))
		case member.Zone == p.zone:
			near = append(near, member.Address)
		default:
			far = append(far, member.Address)
		}
	}
	p.homes[workspace] = append(near, far...)
	p.table.SetPortion(now, workspace, size)
	if p.parts[workspace] > 0 && size == 0 && len(near) > 0 {
		released[near[0]] = append(released[near[0]], workspace)
	}
	p.parts[workspace] = size
}

// release tells the next homes of what this node has given up. Where that does
// not arrive they wait until the part is theirs by the time that has passed.
func (p *portions) release(released map[netip.AddrPort][]string) {
	for address, workspaces := range released {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			var reply peerpb.BorrowReply
			if err := p.ask(ctx, address, peer.KindRelease, &peerpb.ReleaseQuery{Workspaces: workspaces}, &reply); err != nil {
				p.logger.Info("rate: release did not arrive", zap.Stringer("address", address), zap.Strings("workspaces", workspaces), zap.String("error", err.Error()))
				return
			}
			p.logger.Info("rate: part released", zap.Stringer("to", address), zap.Strings("workspaces", workspaces))
		}()
	}
}

// onRelease takes over parts of rates.
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

// take implements rateKeeper.
func (p *portions) take(ctx context.Context, workspace string) (func(), *request.Refusal) {
	ok := p.spend(workspace)
	for !ok && p.awaitBorrow(ctx, workspace) {
		ok = p.respend(workspace)
	}
	if !ok {
		return nil, request.Refuse(request.CauseRate, request.NotRun, p.retryAfter(workspace))
	}
	return func() { p.giveBack(workspace) }, nil
}

func (p *portions) spend(workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Take(time.Now(), workspace)
}

func (p *portions) respend(workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Retake(time.Now(), workspace)
}

func (p *portions) giveBack(workspace string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Return(time.Now(), workspace)
}

// retryAfter returns when a refused request is asked to come back: when a token
// is likely to be there, spread so that callers do not come together.
func (p *portions) retryAfter(workspace string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if promised := p.table.RetryAfter(time.Now(), workspace); promised > 0 {
		return promised
	}
	return spread(max(p.resting[workspace].retryAfter, longestBorrowRest))
}

// onBorrow gives tokens to another node.
func (p *portions) onBorrow(_ context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
	var query peerpb.BorrowQuery
	if err := peer.Decode(payload, &query); err != nil {
		return nil, err
	}
	if p.stale() {
		return &peerpb.BorrowReply{}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	reply := &peerpb.BorrowReply{Tokens: p.table.Lend(now, query.GetWorkspace(), min(query.GetTokens(), maxBorrowTokens))}
	if reply.Tokens < 1 {
		reply.RetryAfterMicros = p.table.RetryAfter(now, query.GetWorkspace()).Microseconds()
	}
	return reply, nil
}
