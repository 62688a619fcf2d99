package experiment

import "time"

// event is something that happens at a time since the start of the run.
type event struct {
	at time.Duration
	// sequence keeps events of the same time in the order in which they were added.
	sequence uint64
	run      func()
}

func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// eventQueue is a binary heap of future events. Package container/heap would box each
// event.
type eventQueue struct {
	events   []event
	sequence uint64
}

func (q *eventQueue) push(at time.Duration, run func()) {
	q.sequence++
	q.events = append(q.events, event{at: at, sequence: q.sequence, run: run})
	i := len(q.events) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.events[i].before(&q.events[parent]) {
			return
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}

// pop returns the earliest event; the queue must not be empty.
func (q *eventQueue) pop() event {
	first := q.events[0]
	last := len(q.events) - 1
	q.events[0], q.events[last] = q.events[last], event{}
	q.events = q.events[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if right := child + 1; right < last && q.events[right].before(&q.events[child]) {
			child = right
		}
		if !q.events[child].before(&q.events[i]) {
			return first
		}
		q.events[i], q.events[child] = q.events[child], q.events[i]
		i = child
	}
}
