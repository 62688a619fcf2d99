package shard

import (
	"context"
	"net/netip"
	"time"

	"auburngap/peer/peerpb"
)

// Peer is a VM of the zone with its node's address.
type Peer struct {
	VM      string
	Address netip.AddrPort
}

// Peers sends messages to the other VMs of the zone.
type Peers interface {
	// VMs returns the VMs of the zone that are known without the platform.
	VMs() []Peer
	// Confirm sends a request to a witness and returns its answer.
	Confirm(ctx context.Context, to Peer, request *peerpb.ShardConfirm) (*peerpb.ShardConfirmAnswer, error)
	// HandOver sends the state of a shard and returns once it has arrived.
	HandOver(ctx context.Context, to Peer, handover *peerpb.ShardHandover) (*peerpb.ShardHandoverAnswer, error)
}

func requestToMessage(vm string, r Request) (*peerpb.ShardConfirm, error) {
	table, err := encodeTable(r.Table)
	if err != nil {
		return nil, err
	}
	return &peerpb.ShardConfirm{
		Round: r.Round, Version: r.Version, Table: table, Extend: r.Extend,
		TermMicros: r.Term.Microseconds(), Released: r.Released, Vm: vm,
	}, nil
}

func requestFromMessage(m *peerpb.ShardConfirm) (Request, error) {
	table, err := decodeTable(m.GetTable())
	if err != nil {
		return Request{}, err
	}
	return Request{
		Round: m.GetRound(), Version: m.GetVersion(), Table: table, Extend: m.GetExtend(),
		Term: time.Duration(m.GetTermMicros()) * time.Microsecond, Released: m.GetReleased(),
	}, nil
}

func answerToMessage(a Answer) (*peerpb.ShardConfirmAnswer, error) {
	table, err := encodeTable(a.Table)
	if err != nil {
		return nil, err
	}
	return &peerpb.ShardConfirmAnswer{
		Round: a.Round, Version: a.Version, Confirmed: a.Confirmed, Released: a.Released, Table: table,
	}, nil
}

func answerFromMessage(m *peerpb.ShardConfirmAnswer) (Answer, error) {
	table, err := decodeTable(m.GetTable())
	if err != nil {
		return Answer{}, err
	}
	return Answer{
		Round: m.GetRound(), Version: m.GetVersion(), Confirmed: m.GetConfirmed(), Released: m.GetReleased(), Table: table,
	}, nil
}

func encodeTable(t *Table) ([]byte, error) {
	if t == nil {
		return nil, nil
	}
	return t.Encode()
}

func decodeTable(value []byte) (*Table, error) {
	if len(value) == 0 {
		return nil, nil
	}
	t, err := DecodeTable(value)
	return &t, err
}
