package shard

import "time"

// RateBound is the largest fraction by which the clock of a VM or of the
// platform may run fast or slow.
const RateBound = 0.005

// driftMargin is the fraction by which an owner shortens a promised duration, and
// by which other VMs wait longer. It exceeds 2·RateBound/(1+RateBound).
const driftMargin = 0.01

// Timing holds the protocol's durations. They must be the same on every VM.
type Timing struct {
	// Lease is the time to live of a platform lease.
	Lease time.Duration
	// Interval is the time between two renewals of the lease, and between two reads
	// of the table. It is also the timeout of platform calls.
	Interval time.Duration
	// IdleInterval is the time between two reads of a VM that holds no lease and
	// receives no answers from other VMs.
	IdleInterval time.Duration
	// GossipInterval is the time between two requests for the table that a VM
	// without a lease sends to other VMs.
	GossipInterval time.Duration
	// HeardInterval and VacancyInterval are the times between two reads of a VM
	// without a lease that receives the table from other VMs. VacancyInterval
	// applies while there are fewer witnesses than VMs that may hold leases.
	HeardInterval, VacancyInterval time.Duration
	// AskInterval is the time between two rounds of requests to witnesses.
	AskInterval time.Duration
	// Term is how long a witness's confirmation is valid.
	Term time.Duration
	// Horizon is how long a witness may confirm after its last read of the platform.
	Horizon time.Duration
	// Unreachable is the age of the platform's last answer above which the
	// platform counts as unreachable.
	Unreachable time.Duration
	// Steady is how long the platform must have been reachable before a missing
	// lease counts as lapsed. It gives owners time to renew after an outage.
	Steady time.Duration
	// JoinSpread is the range over which VMs that start together spread their
	// requests for leases.
	JoinSpread time.Duration
	// TakeStep is how much later than the VM ranked before it a VM may take
	// over a shard.
	TakeStep time.Duration
	// WitnessGrace is how long a witness may lack a lease before it is replaced.
	WitnessGrace time.Duration
	// Leave bounds the handover at shutdown.
	Leave time.Duration
}

// DefaultTiming returns the durations used in production.
func DefaultTiming() Timing {
	return Timing{
		Lease:           3 * time.Second,
		Interval:        time.Second,
		IdleInterval:    5 * time.Second,
		GossipInterval:  20 * time.Second,
		HeardInterval:   10 * time.Minute,
		VacancyInterval: time.Minute,
		AskInterval:     500 * time.Millisecond,
		Term:            3 * time.Second,
		Horizon:         time.Hour,
		Unreachable:     1500 * time.Millisecond,
		Steady:          2 * time.Second,
		JoinSpread:      1500 * time.Millisecond,
		TakeStep:        500 * time.Millisecond,
		WitnessGrace:    30 * time.Second,
		Leave:           3 * time.Second,
	}
}

// shortenByMargin returns how long an owner may rely on a promise made for d.
func shortenByMargin(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*driftMargin)
}

// extendByMargin returns how long other VMs wait for a promise made for d to expire.
func extendByMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*driftMargin)
}
