package share

import "slices"

// waiter is a draw that waits for its need.
type waiter struct {
	need float64
}

// queue holds the draws that wait for one workspace's tokens, the first to
// arrive first.
type queue struct {
	waiters []*waiter
}

func (q *queue) join(need float64) *waiter {
	w := &waiter{need: need}
	q.waiters = append(q.waiters, w)
	return w
}

func (q *queue) leave(w *waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(other *waiter) bool { return other == w })
}

// upTo returns what a waiter and those before it need.
func (q *queue) upTo(w *waiter) float64 {
	sum := 0.0
	for _, other := range q.waiters {
		sum += other.need
		if other == w {
			break
		}
	}
	return sum
}

// sum returns what all need.
func (q *queue) sum() float64 {
	sum := 0.0
	for _, w := range q.waiters {
		sum += w.need
	}
	return sum
}
