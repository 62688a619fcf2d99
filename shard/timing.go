package shard

import "time"

// RateBound is the most by which any VM's or the platform's clock may run fast
// or slow, as a fraction.
const RateBound = 0.005

// margin shortens what an owner counts on and lengthens what others wait for;
// it exceeds 2·RateBound/(1+RateBound).
const margin = 0.01

// Timing holds the protocol's durations; they must be the same at every VM.
type Timing struct {
	// Lease is the time to live of a platform lease.
	Lease time.Duration
	// Interval lies between two renewals, and between two reads of the table.
	Interval time.Duration
	// IdleInterval lies between two reads of a VM that holds no lease.
	IdleInterval time.Duration
	// GossipInterval lies between two questions for the table of a VM that
	// holds no lease.
	GossipInterval time.Duration
	// HeardInterval and VacancyInterval lie between two reads of a VM without
	// lease that hears of the table from others, the second while fewer VMs
	// than may hold leases are witnesses.
	HeardInterval, VacancyInterval time.Duration
	// AskInterval lies between two rounds of questions to witnesses.
	AskInterval time.Duration
	// Term is how long a witness's confirmation lasts.
	Term time.Duration
	// Horizon is how long after its last read of the platform a witness may confirm.
	Horizon time.Duration
	// Unreachable is the age of the last platform answer from which on the
	// platform counts as out of reach.
	Unreachable time.Duration
	// Steady is how long the platform must have been in reach before a lapsed
	// lease is believed, so that owners can renew first after an outage.
	Steady time.Duration
	// JoinSpread is the time over which VMs that start together ask for leases.
	JoinSpread time.Duration
	// TakeStep delays the taker of each further rank.
	TakeStep time.Duration
	// WitnessGrace is how long a witness may be without a lease before it is replaced.
	WitnessGrace time.Duration
	// Leave bounds the handover at shutdown.
	Leave time.Duration
}

// DefaultTiming returns the durations of production.
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

// shorter is how long an owner may count on what was promised for d.
func shorter(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*margin)
}

// longer is how long others wait for what was promised for d.
func longer(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*margin)
}
