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
