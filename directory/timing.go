package directory

import (
	"cmp"
	"time"
)

// Timing holds the intervals and sizes of a Directory.
type Timing struct {
	// Heartbeat is the time between two heartbeats of a node; default 2 s.
	Heartbeat time.Duration
	// Push is the minimum time between two updates to a subscriber; default 100 ms.
	Push time.Duration
	// Tick is the time between two checks for expired nodes; default 500 ms.
	Tick time.Duration
	// Retry is the first wait after a failure; it doubles up to MaxRetry.
	// Defaults 250 ms and 5 s.
	Retry    time.Duration
	MaxRetry time.Duration
	// Spread is the maximum random delay before a node asks the platform for
	// relays, or moves to another relay; default 2 s.
	Spread time.Duration
	// Lease is the lease duration of a base slot; default 12 s.
	Lease time.Duration
	// ExtraLease is the lease duration of the other slots, of which there are
	// many and each matters less; default 60 s.
	ExtraLease time.Duration
	// ZoneTimeout is the time without a connection to a remote availability zone
	// or to another relay after which the backend servers that it listed are no
	// longer listed; default 20 s.
	ZoneTimeout time.Duration
	// BaseSlots is the number of relays in a zone that watch the platform; default 3.
	BaseSlots int
	// FanOut is the target number of node streams per relay; default 140.
	FanOut int
	// MaxStreams is the number of streams above which a relay refuses more; default 1024.
	MaxStreams int
}

func (t Timing) withDefaults() Timing {
	t.Heartbeat = cmp.Or(t.Heartbeat, 2*time.Second)
	t.Push = cmp.Or(t.Push, 100*time.Millisecond)
	t.Tick = cmp.Or(t.Tick, 500*time.Millisecond)
	t.Retry = cmp.Or(t.Retry, 250*time.Millisecond)
	t.MaxRetry = cmp.Or(t.MaxRetry, 5*time.Second)
	t.Spread = cmp.Or(t.Spread, 2*time.Second)
	t.Lease = cmp.Or(t.Lease, 12*time.Second)
	t.ExtraLease = cmp.Or(t.ExtraLease, time.Minute)
	t.ZoneTimeout = cmp.Or(t.ZoneTimeout, 20*time.Second)
	t.BaseSlots = cmp.Or(t.BaseSlots, 3)
	t.FanOut = cmp.Or(t.FanOut, 140)
	t.MaxStreams = cmp.Or(t.MaxStreams, 1024)
	return t
}
