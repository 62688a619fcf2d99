package node

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"auburngap/peer"
	"auburngap/peer/peerpb"
	"auburngap/shard"
)

// errNoOwner means that the owner of a shard is not known.
var errNoOwner = errs.NewType("noOwner")

// Gained implements shard.Callbacks.
func (s *shards) Gained(index int, epoch uint64, inherited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A new epoch of a shard that was not lost continues with its current state.
	state := s.takeState(index)
	if !inherited {
		state = &peerpb.ShardState{}
	}
	s.lender.Gained(index, epoch, state.GetShare())
	s.ledgers.Gained(index, epoch, state.GetLedger())
}

// takeState removes and returns the stored state of a lost shard, or ends the
// ownership and returns the current state if the shard was not lost.
func (s *shards) takeState(index int) *peerpb.ShardState {
	if state, ok := s.lostState[index]; ok {
		delete(s.lostState, index)
		return state
	}
	return s.endOwnership(index)
}

// endOwnership ends this VM's ownership of a shard and returns its state.
func (s *shards) endOwnership(index int) *peerpb.ShardState {
	return &peerpb.ShardState{Share: s.lender.Lost(index), Ledger: s.ledgers.Lost(index)}
}

// Lost implements shard.Callbacks.
func (s *shards) Lost(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostState[index] = s.endOwnership(index)
}

// Export implements shard.Callbacks.
func (s *shards) Export(index int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.lostState[index]
	if !ok {
		return nil
	}
	delete(s.lostState, index)
	data, err := proto.Marshal(state)
	if err != nil {
		s.config.Logger.Error("shard: state cannot be handed over", zap.Int("shard", index), zap.Error(err))
		return nil
	}
	return data
}

// Import implements shard.Callbacks.
func (s *shards) Import(index int, data []byte) {
	var state peerpb.ShardState
	if err := proto.Unmarshal(data, &state); err != nil {
		s.config.Logger.Error("shard: state cannot be taken over", zap.Int("shard", index), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostState[index] = &state
}

// VMs implements shard.Peers with the zone's relays, which every node knows
// without the platform.
func (s *shards) VMs() []shard.Peer {
	var peers []shard.Peer
	for _, relay := range s.config.Directory.Relays() {
		if relay.Zone == s.config.Self.Zone {
			peers = append(peers, shard.Peer{VM: relay.VM, Address: relay.Address})
		}
	}
	return peers
}

// Confirm implements shard.Peers.
func (s *shards) Confirm(ctx context.Context, to shard.Peer, query *peerpb.ShardConfirm) (*peerpb.ShardConfirmAnswer, error) {
	answer := &peerpb.ShardConfirmAnswer{}
	if err := peer.Ask(ctx, s.config.Pool, to.Address, peer.KindConfirm, query, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// HandOver implements shard.Peers.
func (s *shards) HandOver(ctx context.Context, to shard.Peer, handover *peerpb.ShardHandover) (*peerpb.ShardHandoverAnswer, error) {
	answer := &peerpb.ShardHandoverAnswer{}
	if err := peer.Ask(ctx, s.config.Pool, to.Address, peer.KindHandover, handover, answer); err != nil {
		return nil, err
	}
	return answer, nil
}
