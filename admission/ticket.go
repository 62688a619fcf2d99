package admission

import (
	"time"

	"auburngap/request"
)

// Ticket is one call at a limiter. The caller sets the exported fields, owns the
// memory, and may reuse it once the call has been finished, cancelled, dropped or
// refused.
type Ticket struct {
	Priority  request.Priority
	Workspace string
	// Weight is the workspace's share of a saturated service; zero counts as 1.
	Weight float64
	// Depth is the number of hops before the call.
	Depth int
	// Hash is derived from the request ID and is the same at every hop.
	Hash uint32
	// Deadline is zero if there is none.
	Deadline time.Time
	// Value is for the caller's use; the limiter ignores it.
	Value any

	state ticketState
	// limiter is the limiter that the ticket was last offered to.
	limiter *Limiter
	offered time.Time
	started time.Time
	flow    *flow
	key     queueKey
	// minIndex and maxIndex are the ticket's indexes in the queue's two heaps.
	minIndex, maxIndex int
	older, newer       *Ticket
}

type ticketState uint8

const (
	ticketInactive ticketState = iota
	ticketQueued
	ticketRunning
)

// depthClasses is the number of depths that the queue distinguishes.
const depthClasses = 3

// class orders tickets ahead of fair queueing: by priority, then by depth. Deeper
// calls go first, since they belong to work in progress.
func (t *Ticket) class() int {
	depth := min(max(t.Depth, 0), depthClasses-1)
	return int(t.Priority)*depthClasses + depthClasses - 1 - depth
}

func (t *Ticket) weight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// missesDeadline reports whether a call that starts at the given time and takes the
// given latency ends after the ticket's deadline.
func (t *Ticket) missesDeadline(start time.Time, latency time.Duration) bool {
	return !t.Deadline.IsZero() && start.Add(latency).After(t.Deadline)
}
