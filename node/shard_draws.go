package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"auburngap/clock"
	"auburngap/peer"
	"auburngap/peer/peerpb"
)

const (
	// ownerRetryInterval is the time between two lookups of a shard's owner,
	// and maxOwnerTries is the number of lookups that a draw makes.
	ownerRetryInterval = 10 * time.Millisecond
	maxOwnerTries      = 100
	// forwardTimeout bounds a draw that is forwarded to another node.
	forwardTimeout = 100 * time.Millisecond
)

// Draw implements share.Peers. It looks up the owner again while the ownership of
// a shard changes, since a draw that no owner has accepted lends nothing.
func (s *shards) Draw(ctx context.Context, draw *peerpb.Draw) (*peerpb.DrawAnswer, error) {
	for try := 1; ; try++ {
		answer, err := s.drawOnce(ctx, draw)
		notServed := answer.GetNotOwner() || errorx.IsOfType(err, errNoOwner) || errorx.IsOfType(err, peer.ErrUnreachable)
		if !notServed {
			return answer, err
		}
		s.refresh()
		if try >= maxOwnerTries || !clock.Sleep(ctx, ownerRetryInterval) {
			return answer, err
		}
	}
}

func (s *shards) drawOnce(ctx context.Context, draw *peerpb.Draw) (*peerpb.DrawAnswer, error) {
	vm, address, err := s.ownerOf(draw.GetAvailabilityZone(), int(draw.GetShard()))
	if err != nil {
		if address, err = s.anyPeer(err); err != nil {
			return nil, err
		}
	}
	if vm == s.config.Self.VM {
		return s.lender.HandleDraw(ctx, draw), nil
	}
	answer := &peerpb.DrawAnswer{}
	if err := peer.Ask(ctx, s.config.Pool, address, peer.KindDraw, draw, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// anyPeer returns a node that may know an owner that this node does not know, such as
// after a restart while the platform is down. That node forwards draws.
func (s *shards) anyPeer(unknown error) (netip.AddrPort, error) {
	var peers []netip.AddrPort
	for _, relay := range s.config.Directory.Relays() {
		peers = append(peers, relay.Address)
	}
	peers = append(peers, s.config.Seeds...)
	peers = slices.DeleteFunc(peers, func(p netip.AddrPort) bool { return p == s.config.Address || !p.IsValid() })
	if len(peers) == 0 {
		return netip.AddrPort{}, unknown
	}
	return peers[rand.IntN(len(peers))], nil
}

func (s *shards) onDraw(ctx context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
	var draw peerpb.Draw
	if err := peer.Decode(payload, &draw); err != nil {
		return nil, err
	}
	answer := s.lender.HandleDraw(ctx, &draw)
	if answer.GetNotOwner() && !draw.GetForwarded() {
		return s.forward(ctx, &draw, answer)
	}
	return answer, nil
}

// forward sends a draw to the owner that this VM knows, since a VM that
// hands over a shard knows the next owner before other VMs do.
func (s *shards) forward(ctx context.Context, draw *peerpb.Draw, answer *peerpb.DrawAnswer) (*peerpb.DrawAnswer, error) {
	vm, _, err := s.ownerOf(draw.GetAvailabilityZone(), int(draw.GetShard()))
	if err != nil || vm == s.config.Self.VM {
		return answer, nil
	}
	draw.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return s.drawOnce(ctx, draw)
}
