package route

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"auburngap/request"
)

// maxSampleDraws is the number of random draws before a group is searched in order.
const maxSampleDraws = 6

// group is a set of servers from which one is drawn at random, weighted by slots.
type group struct {
	servers []*server
	// cumulativeSlots holds the cumulative sum of the servers' slots.
	cumulativeSlots []int
}

// maxWeight bounds the weight of a server, so that the sum of all weights does not overflow.
const maxWeight = 1 << 20

func newGroup(servers []*server) group {
	g := group{servers: servers, cumulativeSlots: make([]int, 0, len(servers))}
	total := 0
	for _, s := range servers {
		total += min(max(1, s.target.Slots), maxWeight)
		g.cumulativeSlots = append(g.cumulativeSlots, total)
	}
	return g
}

// bestOfTwo draws two servers, weighted by slots, and returns the one that is less
// utilized for the priority, and its utilization. It returns nil if no server other
// than avoid is available.
func (g *group) bestOfTwo(p *Picker, now time.Time, rng *rand.Rand, priority request.Priority, avoid *server) (*server, float64) {
	first := g.sample(now, rng, avoid)
	if first == nil {
		return nil, 0
	}
	firstUtilization := first.utilization(now, p, priority)
	second := g.sample(now, rng, avoid)
	if second == first {
		second = g.sample(now, rng, avoid)
	}
	secondUtilization := second.utilization(now, p, priority)
	if secondUtilization < firstUtilization {
		return second, secondUtilization
	}
	return first, firstUtilization
}

// sample draws an available server other than avoid, with a probability in proportion
// to its slots; nil if there is none.
func (g *group) sample(now time.Time, rng *rand.Rand, avoid *server) *server {
	if len(g.servers) == 0 {
		return nil
	}
	var i int
	for range maxSampleDraws {
		i = g.drawIndex(rng)
		if s := g.servers[i]; s != avoid && s.isAvailable(now) {
			return s
		}
	}
	return g.firstAvailable(i, now, avoid)
}

func (g *group) drawIndex(rng *rand.Rand) int {
	slot := rng.IntN(g.cumulativeSlots[len(g.cumulativeSlots)-1])
	return sort.SearchInts(g.cumulativeSlots, slot+1)
}

// firstAvailable returns the first available server other than avoid, searching in
// order from position start; nil if there is none.
func (g *group) firstAvailable(start int, now time.Time, avoid *server) *server {
	for i := range g.servers {
		s := g.servers[(start+i)%len(g.servers)]
		if s != avoid && s.isAvailable(now) {
			return s
		}
	}
	return nil
}

// canEject reports whether one more server of the group may be ejected. The last
// available server of the group may be ejected only if the other group has one.
func (g *group) canEject(now time.Time, maxEjected float64, other *group) bool {
	remaining, ejected := 0, 0
	for _, s := range g.servers {
		if s.isAvailable(now) {
			remaining++
		} else if now.Before(s.ejectedUntil) {
			ejected++
		}
	}
	allowed := max(1, int(maxEjected*float64(len(g.servers))))
	return ejected < allowed && (remaining > 1 || other.firstAvailable(0, now, nil) != nil)
}

func (g *group) contains(s *server) bool {
	return slices.Contains(g.servers, s)
}
