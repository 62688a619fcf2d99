package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// dialMux starts the multiplexer of a session that this node opened. keepAlive
// sends the session's heartbeats in place of yamux.
func dialMux(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error) {
	config.EnableKeepAlive = false
	return yamux.Client(conn, config)
}

// keepAlive pings the peer at each interval and closes the session if it does not
// respond. While calls are in progress it pings at each checkInterval, as they
// would never end if the peer became unresponsive.
func (s *Session) keepAlive(checkInterval, interval time.Duration) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	lastPing := time.Now()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticker.C:
		}
		if s.calls() == 0 && time.Since(lastPing) < interval {
			continue
		}
		lastPing = time.Now()
		if _, err := s.mux.Ping(); err != nil {
			_ = s.Close()
			return
		}
	}
}

// calls returns the number of streams on which calls are in progress.
func (s *Session) calls() int {
	return s.inUse() - int(s.control.Load())
}
