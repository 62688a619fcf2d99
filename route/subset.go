package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subset returns the size servers that rendezvous hashing gives to a node.
// A server that comes or goes changes at most one place of a node's subset,
// and the nodes of a fleet spread evenly over the servers.
func subset(vm string, servers []*server, size int) []*server {
	if len(servers) <= size {
		return servers
	}
	ranked := make([]rankedServer, len(servers))
	seed := xxhash.Sum64String(vm)
	for i, s := range servers {
		ranked[i] = rankedServer{rank: rendezvousRank(seed, s.target.VM), server: s}
	}
	slices.SortFunc(ranked, func(a, b rankedServer) int { return cmp.Compare(a.rank, b.rank) })
	chosen := make([]*server, size)
	for i := range chosen {
		chosen[i] = ranked[i].server
	}
	return chosen
}

type rankedServer struct {
	rank   uint64
	server *server
}

// rendezvousRank hashes the pair of a node's seed and a server's VM.
func rendezvousRank(seed uint64, vm string) uint64 {
	x := xxhash.Sum64String(vm) ^ seed
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
