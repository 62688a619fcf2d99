package directory

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"

	"auburngap/route"
)

// Entry is one node with its backend server, as announced.
type Entry struct {
	VM      string
	Zone    string
	Address netip.AddrPort
	// Incarnation is new at each start of the node; Sequence grows with each
	// change that it announces. Together they order the entries of one VM.
	Incarnation uint64
	Sequence    uint64
	// Service is empty where no backend server has announced itself.
	Service     string
	Slots       int
	Connections int
	// Load is the number of requests running when the entry was announced.
	Load     int
	Draining bool
	// Since is when the backend server started, on the local clock.
	Since time.Time
}

// compareAge is negative where e is older than other, and zero where both tell
// the same.
func (e *Entry) compareAge(other *Entry) int {
	return cmp.Or(cmp.Compare(e.Incarnation, other.Incarnation), cmp.Compare(e.Sequence, other.Sequence))
}

// incarnationRandomBits is the size of the random part of an incarnation.
const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a node that starts now: the time
// in its high bits, and a random part that keeps starts apart whose clocks or
// superseded incarnations are the same.
func NewIncarnation(now time.Time, rng *rand.Rand) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | rng.Uint64()&(1<<incarnationRandomBits-1)
}

// Supersede puts e above an entry of the same VM that relays know. One of an
// earlier start may have higher sequences elsewhere, so only a higher
// incarnation is sure to be above it.
func (e *Entry) Supersede(standing Entry) {
	if standing.Incarnation > e.Incarnation {
		const random = 1<<incarnationRandomBits - 1
		e.Incarnation = (standing.Incarnation>>incarnationRandomBits+1)<<incarnationRandomBits | e.Incarnation&random
	}
	if standing.Incarnation == e.Incarnation {
		e.Sequence = max(e.Sequence, standing.Sequence) + 1
	}
}

// target returns the entry as the choice of backend servers takes it.
func (e *Entry) target() route.Target {
	return route.Target{
		VM:          e.VM,
		Zone:        e.Zone,
		Address:     e.Address,
		Service:     e.Service,
		Slots:       e.Slots,
		Connections: e.Connections,
		Load:        e.Load,
		Draining:    e.Draining,
		Since:       e.Since,
	}
}
