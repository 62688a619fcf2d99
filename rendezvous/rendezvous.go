// Package rendezvous orders names by highest-random-weight hashing, so that
// many choosers spread evenly over the names and a name that comes or goes
// changes nobody's choice of the others.
//
// # Usage
//
//	chooser := rendezvous.New("vm-7")
//	slices.SortFunc(relays, func(a, b Relay) int {
//		return cmp.Compare(chooser.Rank(a.VM), chooser.Rank(b.VM))
//	})
package rendezvous

import "github.com/cespare/xxhash/v2"

// Chooser ranks names for one chooser.
type Chooser struct {
	seed uint64
}

// New returns the Chooser of a name, such as that of a VM.
func New(name string) Chooser {
	return Chooser{seed: xxhash.Sum64String(name)}
}

// Rank returns the place of a name in the chooser's order; the lowest is the first choice.
func (c Chooser) Rank(name string) uint64 {
	x := xxhash.Sum64String(name) ^ c.seed
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
