package admission

import (
	"time"

	"auburngap/request"
)

// Ticket is one call at a limiter. The caller fills in the exported fields,
// owns the memory, and may reuse it once the call has been finished,
// cancelled, dropped or refused.
type Ticket struct {
	Priority  request.Priority
	Workspace string
	// Weight is the workspace's share of a saturated service; zero counts as 1.
	Weight float64
	// Depth is the number of hops behind the call.
	Depth int
	// Hash comes from the request ID and is the same at every hop.
	Hash uint32
	// Deadline is zero where there is none.
	Deadline time.Time
	// Value is the caller's own.
	Value any

	state ticketState
	// limiter is the one that the ticket was offered to last.
	limiter *Limiter
	offered time.Time
	started time.Time
	flow    *flow
	key     queueKey
	// minIndex and maxIndex are the places in the queue's two heaps.
	minIndex, maxIndex int
	older, newer       *Ticket
}

type ticketState uint8

const (
	ticketIdle ticketState = iota
	ticketQueued
	ticketRunning
)

// depthClasses is the number of depths that the queue tells apart.
const depthClasses = 3

// class orders tickets before fair sharing does: by priority, then work in
// progress before new work, the deeper the earlier.
func (t *Ticket) class() int {
	deep := min(max(t.Depth, 0), depthClasses-1)
	return int(t.Priority)*depthClasses + depthClasses - 1 - deep
}

func (t *Ticket) weight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// missesDeadline tells whether a call that starts at the given time and takes
// the given latency ends after the ticket's deadline.
func (t *Ticket) missesDeadline(start time.Time, latency time.Duration) bool {
	return !t.Deadline.IsZero() && start.Add(latency).After(t.Deadline)
}
