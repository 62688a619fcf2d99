// Package backend communicates with the backend server of this VM over HTTP on
// loopback: it receives its announcements, sends it calls, and accepts the calls
// that it makes to other services.
//
// # Usage
//
//	client := backend.NewClient(backend.ClientConfig{Tokens: tokens, Announced: registry.Current})
//	answer, err := client.Serve(ctx, call)
//
//	server := backend.NewServer(backend.ServerConfig{Tokens: tokens, Next: router, OnAnnounce: registry.Announce})
//	go server.Serve(listener)
//
// A call carries Auburngap-Token, an opaque token that identifies the customer
// request at this node only and expires with the call. The backend server sends
// the token with the calls that it makes. A call without a valid token is refused.
package backend

import (
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
)

var (
	errs = errorx.NewNamespace("backend")
	// ErrAnnouncement means that an announcement is malformed or has a value out of
	// bounds.
	ErrAnnouncement = errs.NewType("announcement")
)

// Announcement is the state that a backend server reports periodically.
type Announcement struct {
	Service string `json:"service"`
	// Instance is the ID of this run of the backend server; empty if it has none.
	Instance string `json:"instance,omitempty"`
	// Address is the loopback address at which the backend server accepts calls.
	Address netip.AddrPort `json:"address"`
	// Slots is the number of calls that it runs concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that it accepts.
	Connections int `json:"connections"`
	// Load is its own estimate of its load, from 0 (idle) to 1 (all slots busy).
	Load float64 `json:"load"`
	// Draining means that it must get no new work.
	Draining bool `json:"draining"`
	// Started is when this run of the backend server began; zero if it is not known.
	Started time.Time `json:"started,omitzero"`
	// WarmAt is when the backend server reaches its usual speed; zero means at once.
	WarmAt time.Time `json:"warmAt,omitzero"`
}

const (
	maxSlots       = 1 << 16
	maxConnections = 1 << 20
	maxServiceName = 128
)

// Check returns ErrAnnouncement if a value is out of bounds.
func (a *Announcement) Check() error {
	switch {
	case a.Service == "" || len(a.Service) > maxServiceName:
		return ErrAnnouncement.New("service: a name of 1 to %d bytes is needed", maxServiceName)
	case !a.Address.IsValid() || !a.Address.Addr().IsLoopback():
		return ErrAnnouncement.New("address: an address on loopback with a port is needed, such as 127.0.0.1:9000")
	case a.Slots < 1 || a.Slots > maxSlots:
		return ErrAnnouncement.New("slots: 1 to %d", maxSlots)
	case a.Connections < 1 || a.Connections > maxConnections:
		return ErrAnnouncement.New("connections: 1 to %d", maxConnections)
	case !(a.Load >= 0):
		return ErrAnnouncement.New("load: a number from 0")
	}
	return nil
}
