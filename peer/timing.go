package peer

import (
	"cmp"
	"time"
)

// Timing bounds the time until an unresponsive node is detected. Each field's
// comment ends with its default.
type Timing struct {
	// Dial bounds the TCP connect of a session; 2 s.
	Dial time.Duration
	// Hello bounds the exchange of hellos, with the TLS handshake; 3 s.
	Hello time.Duration
	// KeepAlive is the time between a session's heartbeats; 30 s.
	KeepAlive time.Duration
	// Check is the time between heartbeats while calls wait for the peer, at the side
	// that opened the session; 5 s.
	Check time.Duration
	// Patience is the time after which a session is closed if the peer does not answer
	// a heartbeat or does not read; 5 s.
	Patience time.Duration
	// Quiet is the time without data from the peer after which a call is sent only
	// once the peer has answered a probe; 1 s.
	Quiet time.Duration
	// QuietInUse is the same while other calls wait for answers, when more than
	// heartbeats is expected from the peer; Quiet.
	QuietInUse time.Duration
}

func (t Timing) withDefaults() Timing {
	t.Dial = cmp.Or(t.Dial, 2*time.Second)
	t.Hello = cmp.Or(t.Hello, 3*time.Second)
	t.KeepAlive = cmp.Or(t.KeepAlive, 30*time.Second)
	t.Check = cmp.Or(t.Check, 5*time.Second)
	t.Patience = cmp.Or(t.Patience, 5*time.Second)
	t.Quiet = cmp.Or(t.Quiet, time.Second)
	t.QuietInUse = cmp.Or(t.QuietInUse, t.Quiet)
	return t
}
