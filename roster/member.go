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
	// Incarnation is new at each start of the process.
	Incarnation string `json:"incarnation"`
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

// decodeMember decodes the node that an entry describes. It returns ErrInvalidMember for an
// invalid entry.
func decodeMember(entry kv.Entry) (Member, error) {
	var member Member
	if err := json.Unmarshal(entry.Value, &member); err != nil {
		return Member{}, ErrInvalidMember.Wrap(err, "entry %s", entry.Key)
	}
	if member.VM == "" || !member.Address.IsValid() {
		return Member{}, ErrInvalidMember.New("entry %s has no VM or no address", entry.Key)
	}
	return member, nil
}
