package peer

import (
	"cmp"
	"time"
)

// Timing bounds the time until an unresponsive node is detected. Each field's
// comment ends with its default.
type Timing struct {
	// DialTimeout bounds the TCP connect of a session; 2 s.
	DialTimeout time.Duration
	// HelloTimeout bounds the exchange of hellos, with the TLS handshake; 3 s.
	HelloTimeout time.Duration
	// KeepAlive is the time between a session's heartbeats; 30 s.
	KeepAlive time.Duration
	// KeepAliveInUse is the time between heartbeats while calls wait for the peer, at the side
	// that opened the session; 5 s.
	KeepAliveInUse time.Duration
	// ResponseTimeout is the time after which a session is closed if the peer does not answer
	// a heartbeat or does not read; 5 s.
	ResponseTimeout time.Duration
	// ProbeAfter is the time without data from the peer after which a call is sent only
	// once the peer has answered a probe; 1 s.
	ProbeAfter time.Duration
	// ProbeAfterInUse is the same while other calls wait for answers, when more than
	// heartbeats is expected from the peer. The default is ProbeAfter.
	ProbeAfterInUse time.Duration
}

func (t Timing) withDefaults() Timing {
	t.DialTimeout = cmp.Or(t.DialTimeout, 2*time.Second)
	t.HelloTimeout = cmp.Or(t.HelloTimeout, 3*time.Second)
	t.KeepAlive = cmp.Or(t.KeepAlive, 30*time.Second)
	t.KeepAliveInUse = cmp.Or(t.KeepAliveInUse, 5*time.Second)
	t.ResponseTimeout = cmp.Or(t.ResponseTimeout, 5*time.Second)
	t.ProbeAfter = cmp.Or(t.ProbeAfter, time.Second)
	t.ProbeAfterInUse = cmp.Or(t.ProbeAfterInUse, t.ProbeAfter)
	return t
}
