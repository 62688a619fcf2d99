package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
)

// probeTimeout bounds the wait for the response to a probe: the node may be cut
// off, and another one may take the call.
const probeTimeout = redialTimeout

// activityConn records when data last arrived from the peer.
type activityConn struct {
	net.Conn
	openedAt time.Time
	// lastRead is a time.Duration since openedAt.
	lastRead atomic.Int64
}

func newActivityConn(conn net.Conn) *activityConn {
	return &activityConn{Conn: conn, openedAt: time.Now()}
}

// Read implements net.Conn.
func (c *activityConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.openedAt)))
	}
	return n, err
}

// sinceLastRead returns the time for which no data has arrived.
func (c *activityConn) sinceLastRead() time.Duration {
	return time.Since(c.openedAt) - time.Duration(c.lastRead.Load())
}

// probeThreshold returns the time without data after which the peer must be probed.
func (s *Session) probeThreshold() time.Duration {
	if s.calls() > 0 {
		return s.probeAfterInUse
	}
	return s.probeAfter
}

// checkResponsive returns at once if data has arrived from the peer within the
// probe threshold. Otherwise it probes the peer, so that no call is sent to a node
// that was cut off without closing its connections.
func (s *Session) checkResponsive(ctx context.Context) error {
	threshold := s.probeThreshold()
	if s.activity.sinceLastRead() < threshold {
		return nil
	}
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	select {
	case <-s.probe():
	case <-timer.C:
	case <-ctx.Done():
		return ErrUnreachable.Wrap(ctx.Err(), "probe of %s", s.Peer.VM)
	}
	if s.activity.sinceLastRead() < threshold {
		return nil
	}
	return ErrUnreachable.New("no data from %s for %v", s.Peer.VM, s.activity.sinceLastRead().Round(time.Millisecond))
}

// probe pings the peer; concurrent calls share one ping. The session is closed if
// no response arrives within the ResponseTimeout of its Timing.
func (s *Session) probe() <-chan singleflight.Result {
	return s.probes.DoChan("", func() (any, error) {
		_, err := s.mux.Ping()
		if err != nil {
			// The session may be closed already; that is fine.
			_ = s.Close()
		}
		return nil, err
	})
}
