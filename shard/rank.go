package shard

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// score is the rendezvous weight of a VM for a shard.
func score(vm string, shard int) uint64 {
	return xxhash.Sum64String(vm + "/" + strconv.Itoa(shard))
}

// rank returns the number of candidates that precede the VM for a shard.
func rank(vm string, shard int, candidates map[string]Candidate) int {
	localScore := score(vm, shard)
	preceding := 0
	for other := range candidates {
		otherScore := score(other, shard)
		if other != vm && (otherScore > localScore || (otherScore == localScore && other < vm)) {
			preceding++
		}
	}
	return preceding
}

// leaseRankShard is the index used in place of a shard to rank VMs for leases.
const leaseRankShard = -1

// eligible reports whether the VM is among the first MaxCandidates candidates by
// rank. These take shards and serve as witnesses. There are more candidates only
// for a while after many VMs have started at once, or if owners rank lower.
func (m *Machine) eligible(vm string) bool {
	return len(m.view.candidates) <= m.cfg.MaxCandidates || rank(vm, leaseRankShard, m.view.candidates) < m.cfg.MaxCandidates
}

// eligibleCandidates returns the candidates that are eligible.
func (m *Machine) eligibleCandidates() map[string]Candidate {
	if len(m.view.candidates) <= m.cfg.MaxCandidates {
		return m.view.candidates
	}
	eligible := map[string]Candidate{}
	for vm, candidate := range m.view.candidates {
		if m.eligible(vm) {
			eligible[vm] = candidate
		}
	}
	return eligible
}
