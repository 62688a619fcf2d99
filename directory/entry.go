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
	// Incarnation is new at each start of the node, and Sequence grows with each
	// change that it announces. Together they order the entries of one VM.
	Incarnation uint64
	Sequence    uint64
	// Service is empty if no backend server has announced itself.
	Service     string
	Slots       int
	Connections int
	// Load is the number of running requests when the entry was announced.
	Load     int
	Draining bool
	// Since is when the backend server started, on the local clock.
	Since time.Time
}

// compareVersion compares incarnation and sequence. It is negative if e is older
// than other, and zero if both are the same version.
func (e *Entry) compareVersion(other *Entry) int {
	return cmp.Or(cmp.Compare(e.Incarnation, other.Incarnation), cmp.Compare(e.Sequence, other.Sequence))
}

// incarnationRandomBits is the size of the random part of an incarnation.
const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a node that starts now. The high bits
// hold the time. The random low bits distinguish starts with the same clock
// reading or the same superseded incarnation.
func NewIncarnation(now time.Time, rng *rand.Rand) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | rng.Uint64()&(1<<incarnationRandomBits-1)
}

// Supersede makes e newer than an entry of the same VM that relays hold. An
// entry of an earlier start may have higher sequences elsewhere, so only a
// higher incarnation is certain to be newer.
func (e *Entry) Supersede(current Entry) {
	if current.Incarnation > e.Incarnation {
		const random = 1<<incarnationRandomBits - 1
		e.Incarnation = (current.Incarnation>>incarnationRandomBits+1)<<incarnationRandomBits | e.Incarnation&random
	}
	if current.Incarnation == e.Incarnation {
		e.Sequence = max(e.Sequence, current.Sequence) + 1
	}
}

// target converts the entry to a route.Target.
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
