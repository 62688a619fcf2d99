package shard

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// score is the rendezvous weight of a VM for a shard.
func score(vm string, shard int) uint64 {
	return xxhash.Sum64String(vm + "/" + strconv.Itoa(shard))
}

// rank returns how many of the candidates come before the VM for a shard.
func rank(vm string, shard int, candidates map[string]Candidate) int {
	own := score(vm, shard)
	before := 0
	for other := range candidates {
		s := score(other, shard)
		if other != vm && (s > own || (s == own && other < vm)) {
			before++
		}
	}
	return before
}

// seatShard stands in for a shard where VMs are ranked for leases.
const seatShard = -1

// seated tells whether the VM is among the first in rank of the candidates,
// who take shards and serve as witnesses. There are more candidates only for
// a while after many VMs have started at once, or if owners rank lower.
func (m *Machine) seated(vm string) bool {
	return len(m.view.candidates) <= m.cfg.MaxCandidates || rank(vm, seatShard, m.view.candidates) < m.cfg.MaxCandidates
}

// seats returns the candidates that are seated.
func (m *Machine) seats() map[string]Candidate {
	if len(m.view.candidates) <= m.cfg.MaxCandidates {
		return m.view.candidates
	}
	seats := map[string]Candidate{}
	for vm, candidate := range m.view.candidates {
		if m.seated(vm) {
			seats[vm] = candidate
		}
	}
	return seats
}
