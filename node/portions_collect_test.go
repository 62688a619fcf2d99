package node

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/peer"
	"auburngap/portion"
	"auburngap/roster"
)

// portionSite is nodes that lend tokens to each other over a link without a network.
type portionSite struct {
	nodes map[netip.AddrPort]*portions
	order []*portions
	// silent nodes never answer.
	silent map[netip.AddrPort]bool
	delay  time.Duration
}

const portionZones = 3

func newPortionSite(t *testing.T, rate float64) *portionSite {
	t.Helper()
	s := &portionSite{nodes: make(map[netip.AddrPort]*portions), silent: make(map[netip.AddrPort]bool), delay: 3 * time.Millisecond}
	var members []roster.Member
	for i := range 3 * portionZones {
		members = append(members, roster.Member{
			VM:      fmt.Sprintf("vm-%d", i),
			Zone:    fmt.Sprintf("zone-%d", i%portionZones),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
		})
	}
	index := bundle.NewIndex(&bundle.Bundle{Version: 1, Workspaces: []bundle.Workspace{{Name: "school", Rate: rate, Burst: rate}}})
	for _, member := range members {
		config := portion.Config{SettleTime: 4 * time.Second, InitialFill: 1, KeepsPortions: true}
		p := newPortions(config, s.query, member.VM, member.Zone, func() bool { return false }, zap.NewNop())
		p.setMembers(time.Now(), members)
		p.setLimits(time.Now(), index)
		s.nodes[member.Address] = p
		s.order = append(s.order, p)
	}
	return s
}

// query delivers a query to a node after the delay of the link.
func (s *portionSite) query(ctx context.Context, address netip.AddrPort, kind peer.Kind, query, reply proto.Message) error {
	if s.silent[address] {
		<-ctx.Done()
		return ctx.Err()
	}
	payload, err := proto.Marshal(query)
	if err != nil {
		return err
	}
	time.Sleep(s.delay)
	answer, err := s.nodes[address].onBorrow(ctx, peer.Identity{}, payload)
	if err != nil {
		return err
	}
	time.Sleep(s.delay)
	encoded, err := proto.Marshal(answer)
	if err != nil {
		return err
	}
	return proto.Unmarshal(encoded, reply)
}

// takeAll sends a request to each node in turn until one is refused, and returns how many
// were admitted.
func (s *portionSite) takeAll(t *testing.T) int {
	t.Helper()
	for admitted := 0; ; admitted++ {
		if _, refusal := s.order[admitted%len(s.order)].take(t.Context(), "school"); refusal != nil {
			return admitted
		}
	}
}

// TestPartsOfTokensAreCollected guards against refusals within the rate: what three owner
// nodes hold in parts adds up to tokens for two more requests.
func TestPartsOfTokensAreCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPortionSite(t, 8) // 2 2/3 tokens an owner
		assert.Equal(t, s.takeAll(t), 8)
	})
}

// TestSilentOwnerDelaysNoCollection checks that an owner node that does not answer costs
// its own part and a bounded time.
func TestSilentOwnerDelaysNoCollection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPortionSite(t, 8)
		for address, p := range s.nodes {
			if collector, ok := p.collectors["school"]; p.sizes["school"] > 0 && ok && collector.IsValid() {
				s.silent[address] = true
				break
			}
		}
		startedAt := time.Now()
		admitted := s.takeAll(t)
		assert.Assert(t, admitted >= 5, "%d admitted", admitted)
		perRequest := portionZones*borrowTimeout + collectTimeout
		assert.Assert(t, time.Since(startedAt) <= time.Duration(admitted+1)*perRequest, "took %v", time.Since(startedAt))
	})
}
