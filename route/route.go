// Package route chooses the backend server of a call.
//
// A Picker holds the backend servers of one service as one node sees them: a
// subset of those that the directory lists, with the node's own counts of calls
// and the loads that servers report. It has no clock, lock or goroutine; callers
// must serialize access.
//
// # Usage
//
//	picker := route.New(route.Config{VM: "vm-7", Zone: "khomas-1"})
//	picker.Update(now, targets)               // whenever the directory changes
//	choice, ok := picker.Pick(now, rng, priority) // false: no server accepts new work
//	...                                       // send the call to choice.Target.Address
//	picker.Observe(now, choice, inFlight, limit) // the load signal of the answer, if any
//	picker.Done(now, choice, route.Succeeded, latency)
//
// Every Pick must be followed by one Done, even if the server is no longer listed.
// A retry calls PickOther, which avoids the server tried before.
package route

import (
	"cmp"
	"net/netip"
	"time"

	"auburngap/request"
)

// Target is a backend server as the directory lists it.
type Target struct {
	// VM is unique over all availability zones.
	VM string
	// Zone is the availability zone of the VM.
	Zone string
	// Address is the address of the node beside the backend server.
	Address netip.AddrPort
	Service string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Connections is the maximum number of connections that the server accepts.
	Connections int
	// Load is the announced number of running requests. It is seconds old and is
	// used only until the first signal from the server.
	Load int
	// Draining is set when the server accepts no new work.
	Draining bool
	// Since is when the backend server started, on the local clock.
	Since time.Time
}

// Choice is the result of a Pick. The zero Choice holds no server.
type Choice struct {
	// Target must not be modified.
	Target *Target

	server   *server
	priority request.Priority
}

// Result is how a call ended, as far as it matters for the choice of servers.
type Result uint8

// The results of a call.
const (
	// Cancelled says nothing about the server.
	Cancelled Result = iota
	// Succeeded means that the server answered without a failure.
	Succeeded
	// FailedAnswer means that the server answered with a failure, either its own or
	// one of a service that it called.
	FailedAnswer
	// Failed means a broken connection, a timeout or a server's failure.
	Failed
	// Overloaded means that the server refused for lack of slots.
	Overloaded
	// Draining means that the server refused because it is leaving.
	Draining
	// Unreachable means that the server's node could not be reached, or had no
	// backend server to hand the call to.
	Unreachable
)

// Config holds the settings of a Picker; zero fields take their defaults.
type Config struct {
	// VM is the VM of the picking node; it determines the node's subset.
	VM string
	// Zone is the availability zone of the picking node.
	Zone string
	// SubsetSize is how many servers of the local zone are used; default 16.
	SubsetSize int
	// RemoteSubsetSize is how many servers of other zones are used; default 8.
	RemoteSubsetSize int
	// SpillThreshold is the utilization of the local zone, from 0 to 1, above which
	// servers of other zones are considered; default 0.8.
	SpillThreshold float64
	// SpillPenalty is by how much the utilization of a server in another zone must
	// be lower for it to be preferred; default 0.1.
	SpillPenalty float64
	// SlowStart is the time over which the usable fraction of a cold server's slots
	// grows to 1; default 10 s.
	SlowStart time.Duration
	// ReportTTL is the age at which signals, latencies and failures are no longer used;
	// default 3 s.
	ReportTTL time.Duration
	// ConsecutiveFailures is the number of failures in a row that eject a server; default 5.
	ConsecutiveFailures int
	// BaseEjectionTime is the length of the first ejection; it doubles with each
	// further one. Default 1 s.
	BaseEjectionTime time.Duration
	// MaxEjectedFraction is the fraction of the servers, from 0 to 1, that may be ejected at
	// once. One of at least two always may. Default 0.3.
	MaxEjectedFraction float64
	// DrainingTTL is how long a Draining result takes precedence over the directory,
	// which may lag; default 10 s.
	DrainingTTL time.Duration
	// Unreachable is how long an unreachable server is not tried again. There is no
	// bound on the number of such servers. Default 1 s.
	Unreachable time.Duration
}

func (c Config) withDefaults() Config {
	c.SubsetSize = cmp.Or(c.SubsetSize, 16)
	c.RemoteSubsetSize = cmp.Or(c.RemoteSubsetSize, 8)
	c.SpillThreshold = cmp.Or(c.SpillThreshold, 0.8)
	c.SpillPenalty = cmp.Or(c.SpillPenalty, 0.1)
	c.SlowStart = cmp.Or(c.SlowStart, 10*time.Second)
	c.ReportTTL = cmp.Or(c.ReportTTL, 3*time.Second)
	c.ConsecutiveFailures = cmp.Or(c.ConsecutiveFailures, 5)
	c.BaseEjectionTime = cmp.Or(c.BaseEjectionTime, time.Second)
	c.MaxEjectedFraction = cmp.Or(c.MaxEjectedFraction, 0.3)
	c.DrainingTTL = cmp.Or(c.DrainingTTL, 10*time.Second)
	c.Unreachable = cmp.Or(c.Unreachable, time.Second)
	return c
}
