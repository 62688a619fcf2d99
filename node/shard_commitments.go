package node

import (
	"context"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"auburngap/peer"
	"auburngap/peer/peerpb"
)

// Begin implements commitment.Peers.
func (s *shards) Begin(ctx context.Context, begin *peerpb.Begin) (*peerpb.BeginAnswer, error) {
	vm, address, err := s.ownerOf(begin.GetAvailabilityZone(), int(begin.GetShard()))
	if err != nil {
		return nil, err
	}
	if vm == s.config.Self.VM {
		return s.ledgers.HandleBegin(ctx, begin), nil
	}
	answer := &peerpb.BeginAnswer{}
	return answer, s.askOwner(ctx, address, peer.KindBegin, begin, answer)
}

// Finish implements commitment.Peers.
func (s *shards) Finish(ctx context.Context, finish *peerpb.Finish) (*peerpb.FinishAnswer, error) {
	permission := finish.GetPermission()
	vm, address, err := s.ownerOf(permission.GetAvailabilityZone(), int(permission.GetShard()))
	if err != nil {
		return nil, err
	}
	if vm == s.config.Self.VM {
		return s.ledgers.HandleFinish(ctx, finish), nil
	}
	answer := &peerpb.FinishAnswer{}
	return answer, s.askOwner(ctx, address, peer.KindFinish, finish, answer)
}

// askOwner sends a message to a shard's owner. It refreshes the table of owners on an
// error, since an owner that is not reached may have lost the shard.
func (s *shards) askOwner(ctx context.Context, address netip.AddrPort, kind peer.Kind, message, answer proto.Message) error {
	err := peer.Ask(ctx, s.config.Pool, address, kind, message, answer)
	if err != nil {
		s.refresh()
	}
	return err
}

func (s *shards) onBegin(ctx context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
	var begin peerpb.Begin
	if err := peer.Decode(payload, &begin); err != nil {
		return nil, err
	}
	return s.ledgers.HandleBegin(ctx, &begin), nil
}

func (s *shards) onFinish(ctx context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
	var finish peerpb.Finish
	if err := peer.Decode(payload, &finish); err != nil {
		return nil, err
	}
	return s.ledgers.HandleFinish(ctx, &finish), nil
}
