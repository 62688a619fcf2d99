package shard

import "time"

// MaxClockDrift is the largest fraction by which the clock of a VM or of the
// platform may run fast or slow.
const MaxClockDrift = 0.005

// driftMargin is the fraction by which an owner shortens a promised duration, and
// by which other VMs wait longer. It exceeds 2·MaxClockDrift/(1+MaxClockDrift).
const driftMargin = 0.01

// Timing holds the protocol's durations. They must be the same on every VM.
type Timing struct {
	// LeaseTTL is the time to live of a platform lease.
	LeaseTTL time.Duration
	// PollInterval is the time between two renewals of the lease, and between two reads
	// of the table. It is also the timeout of platform calls.
	PollInterval time.Duration
	// IdlePollInterval is the time between two reads of a VM that holds no lease and
	// receives no answers from other VMs.
	IdlePollInterval time.Duration
	// GossipInterval is the time between two requests for the table that a VM
	// without a lease sends to other VMs.
	GossipInterval time.Duration
	// InformedPollInterval and VacancyPollInterval are the times between two reads of a VM
	// without a lease that receives the table from other VMs. VacancyPollInterval
	// applies while there are fewer witnesses than VMs that may hold leases.
	InformedPollInterval, VacancyPollInterval time.Duration
	// AskInterval is the time between two rounds of requests to witnesses.
	AskInterval time.Duration
	// ConfirmationTerm is how long a witness's confirmation is valid.
	ConfirmationTerm time.Duration
	// Horizon is how long a witness may confirm after its last read of the platform.
	Horizon time.Duration
	// UnreachableAfter is the age of the platform's last answer above which the
	// platform counts as unreachable.
	UnreachableAfter time.Duration
	// SteadyAfter is how long the platform must have been reachable before a missing
	// lease counts as lapsed. It gives owners time to renew after an outage.
	SteadyAfter time.Duration
	// JoinJitter is the range over which VMs that start together spread their
	// requests for leases.
	JoinJitter time.Duration
	// TakeoverDelayPerRank is how much later than the VM ranked before it a VM may take
	// over a shard.
	TakeoverDelayPerRank time.Duration
	// WitnessGrace is how long a witness may lack a lease before it is replaced.
	WitnessGrace time.Duration
	// HandoverTimeout bounds the handover at shutdown.
	HandoverTimeout time.Duration
}

// DefaultTiming returns the durations used in production.
func DefaultTiming() Timing {
	return Timing{
		LeaseTTL:             3 * time.Second,
		PollInterval:         time.Second,
		IdlePollInterval:     5 * time.Second,
		GossipInterval:       20 * time.Second,
		InformedPollInterval: 10 * time.Minute,
		VacancyPollInterval:  time.Minute,
		AskInterval:          500 * time.Millisecond,
		ConfirmationTerm:     3 * time.Second,
		Horizon:              time.Hour,
		UnreachableAfter:     1500 * time.Millisecond,
		SteadyAfter:          2 * time.Second,
		JoinJitter:           1500 * time.Millisecond,
		TakeoverDelayPerRank: 500 * time.Millisecond,
		WitnessGrace:         30 * time.Second,
		HandoverTimeout:      3 * time.Second,
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
