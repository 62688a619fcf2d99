package share

import "slices"

// waiter is a draw that waits for the tokens that it needs.
type waiter struct {
	need float64
}

// queue holds the draws that wait for one workspace's tokens, in order of arrival.
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

// needUpTo returns the need of a waiter and of those before it.
func (q *queue) needUpTo(w *waiter) float64 {
	sum := 0.0
	for _, other := range q.waiters {
		sum += other.need
		if other == w {
			break
		}
	}
	return sum
}

// totalNeed returns the need of all waiters.
func (q *queue) totalNeed() float64 {
	totalNeed := 0.0
	for _, w := range q.waiters {
		totalNeed += w.need
	}
	return totalNeed
}
