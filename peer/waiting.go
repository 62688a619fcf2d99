package peer

import "sync"

// waitingCalls holds the calls of a session that wait for the head of their answer
// and may be sent to another node if this one is unresponsive.
type waitingCalls struct {
	mu    sync.Mutex
	calls map[*exchange]struct{}
}

func (w *waitingCalls) add(e *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = make(map[*exchange]struct{})
	}
	w.calls[e] = struct{}{}
}

func (w *waitingCalls) remove(e *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, e)
}

// abandonAll cancels all waiting calls, as no data arrives from the peer. Their
// outcome is unknown; they may be retried. It returns their number.
func (w *waitingCalls) abandonAll() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls := len(w.calls)
	for e := range w.calls {
		e.abandon()
	}
	clear(w.calls)
	return calls
}
