// Package roster gives every node of a site a view of the site's nodes and of
// its configuration entry, as stored in the key-value service.
//
// Each node publishes its own entry under a lease. Two nodes of each availability
// zone read from the service, and the other nodes of the zone read from those two,
// so that the number of calls to the service grows with the number of zones and
// not of nodes. A node whose usual sources fail reads from any other node that it
// can reach.
//
// # Usage
//
//	follower := roster.NewFollower(roster.FollowerConfig{Client: client, Prefix: "o", MemberPrefix: "online/", ...})
//	go follower.Run(ctx)
//	publisher := roster.NewPublisher(roster.PublisherConfig{Client: client, ...})
//	publisher.Set(member)
//	go publisher.Run(ctx)
//	confirmedAt, ok := follower.ConfirmedAt()
//	age := clock.Boot{}.Now() - confirmedAt
//
// Mirror and SourceSelector hold the logic without I/O; Follower does the calls for them.
package roster

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"auburngap/kv"
)

var (
	errs = errorx.NewNamespace("roster")
	// ErrInvalidMember means that an entry does not describe a valid node.
	ErrInvalidMember = errs.NewType("member")
	// ErrStale means that the view of a source is too old or suspect.
	ErrStale = errs.NewType("old", errorx.Temporary())
)

// Member is what a node publishes about itself.
type Member struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Address is the address at which other nodes reach the node.
	Address netip.AddrPort `json:"address"`
	// Incarnation is new at each start of the process, and higher than the one before.
	Incarnation string `json:"incarnation"`
	// Sequence rises with each change of the entry by one process.
	Sequence uint64 `json:"sequence,omitempty"`
	// Leaving is set when the node accepts no more calls.
	Leaving bool `json:"leaving,omitempty"`
	// Backend is nil while the VM has no backend server.
	Backend *Backend `json:"backend,omitempty"`
}

// Backend is what a node publishes about the backend server on its VM.
type Backend struct {
	Service string `json:"service"`
	// Instance identifies this run of the backend server.
	Instance string `json:"instance"`
	Slots    int    `json:"slots"`
	// Draining is set when the server accepts no new work.
	Draining bool `json:"draining,omitempty"`
	// Started is when this run of the server began; zero if unknown.
	Started time.Time `json:"started,omitzero"`
	// WarmAt is when the server has warmed up to its usual speed.
	WarmAt time.Time `json:"warmAt,omitzero"`
}

// Bounds of what an entry may say. Another writer may have left anything.
const (
	maxMemberBytes = 4 << 10
	maxNameBytes   = 256
	maxSlots       = 1 << 16
	// maxDetailBytes bounds what an error quotes of an entry.
	maxDetailBytes = 160
)

// decodeMember decodes the node that an entry describes. It returns ErrInvalidMember, with
// a short text, for an invalid entry.
func decodeMember(prefix string, entry kv.Entry) (Member, error) {
	if len(entry.Value) > maxMemberBytes {
		return Member{}, ErrInvalidMember.New("more than %d bytes", maxMemberBytes)
	}
	var member Member
	if err := json.Unmarshal(entry.Value, &member); err != nil {
		text := err.Error()
		return Member{}, ErrInvalidMember.New("%q", text[:min(len(text), maxDetailBytes)])
	}
	if prefix+member.VM != entry.Key {
		return Member{}, ErrInvalidMember.New("its VM is not that of its key")
	}
	return member, member.check()
}

// compareMembers compares two entries of a node by the time at which they were written.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence))
}

// check returns ErrInvalidMember if a field is out of range.
func (m *Member) check() error {
	switch {
	case m.VM == "" || len(m.VM) > maxNameBytes || len(m.Zone) > maxNameBytes || len(m.Incarnation) > maxNameBytes:
		return ErrInvalidMember.New("a name is missing or has more than %d bytes", maxNameBytes)
	case !m.Address.IsValid() || m.Address.Port() == 0:
		return ErrInvalidMember.New("no address")
	case m.Backend == nil:
		return nil
	case m.Backend.Service == "" || len(m.Backend.Service) > maxNameBytes || len(m.Backend.Instance) > maxNameBytes:
		return ErrInvalidMember.New("a name of the backend server is missing or has more than %d bytes", maxNameBytes)
	case m.Backend.Slots < 0 || m.Backend.Slots > maxSlots:
		return ErrInvalidMember.New("slots are not from 0 to %d", maxSlots)
	}
	return nil
}
