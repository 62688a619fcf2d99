package peer

import (
	"container/list"
	"context"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// redialDelay is the time after a failed dial until the next one is tried.
	redialDelay = 200 * time.Millisecond
	// redialTimeout bounds the wait for a dial after a failed dial or an ended
	// session: the node may be cut off, and another one may take the call.
	redialTimeout = 100 * time.Millisecond
)

// poolEntry is the session to one address; dialled is closed when its dial ends.
type poolEntry struct {
	address  netip.AddrPort
	session  *Session
	err      error
	failedAt time.Time
	dialled  chan struct{}
	// redial is set if an earlier dial failed or an earlier session ended.
	redial bool

	// element is the entry's element in Pool.recent.
	element *list.Element
	// users counts the callers that are about to use the session. It is incremented
	// only under the pool's lock.
	users atomic.Int64
	// lastControl is when the session was last requested for a control message.
	lastControl time.Time
}

// wait returns an error if the dial has failed or not ended in time.
func (e *poolEntry) wait(ctx context.Context) error {
	select {
	case <-e.dialled:
		return e.err
	default:
	}
	if e.redial {
		bounded, cancel := context.WithTimeout(ctx, redialTimeout)
		defer cancel()
		ctx = bounded
	}
	select {
	case <-e.dialled:
		return e.err
	case <-ctx.Done():
		return ErrUnreachable.Wrap(ctx.Err(), "dial %s", e.address)
	}
}

func (e *poolEntry) release() { e.users.Add(-1) }

// isUsable reports whether the entry needs no new dial: it is being dialled, its
// session is open, or its last dial failed less than redialDelay ago.
func (e *poolEntry) isUsable(now time.Time) bool {
	select {
	case <-e.dialled:
	default:
		return true
	}
	if e.err != nil {
		return now.Sub(e.failedAt) < redialDelay
	}
	return !e.session.IsClosed()
}
