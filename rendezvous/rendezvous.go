// Package rendezvous orders names by highest-random-weight (rendezvous) hashing.
// Many rankers spread evenly over the names, and adding or removing a name does
// not change a ranker's order of the others.
//
// # Usage
//
//	ranker := rendezvous.New("vm-7")
//	slices.SortFunc(relays, func(a, b Relay) int {
//		return cmp.Compare(ranker.Rank(a.VM), ranker.Rank(b.VM))
//	})
package rendezvous

import "github.com/cespare/xxhash/v2"

// Ranker ranks names on behalf of one node, such as a VM.
type Ranker struct {
	seed uint64
}

// New returns the Ranker for the node of the given name.
func New(name string) Ranker {
	return Ranker{seed: xxhash.Sum64String(name)}
}

// Rank returns the rank of a name for this Ranker. The name with the lowest rank
// is the first choice.
func (c Ranker) Rank(name string) uint64 {
	x := xxhash.Sum64String(name) ^ c.seed
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
