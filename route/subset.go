package route

import (
	"cmp"
	"slices"

	"auburngap/rendezvous"
)

// subset returns the servers, size of them at most, that rendezvous hashing assigns
// to the node on vm. Adding or removing a server changes at most one member of a
// node's subset, and the nodes are spread evenly over the servers.
func subset(vm string, servers []*server, size int) []*server {
	if len(servers) <= size {
		return servers
	}
	ranked := make([]rankedServer, len(servers))
	chooser := rendezvous.New(vm)
	for i, s := range servers {
		ranked[i] = rankedServer{rank: chooser.Rank(s.target.VM), server: s}
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
