package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// dialMux starts the multiplexing of a session that this node opened, whose
// heartbeats are those of keepAlive.
func dialMux(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error) {
	config.EnableKeepAlive = false
	return yamux.Client(conn, config)
}

// keepAlive closes the session once the peer does not answer; it asks at each
// interval. While calls wait it asks at each check, as a peer that falls silent
// leaves them without an end.
func (s *Session) keepAlive(check, interval time.Duration) {
	ticker := time.NewTicker(check)
	defer ticker.Stop()
	asked := time.Now()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticker.C:
		}
		if s.calls() == 0 && time.Since(asked) < interval {
			continue
		}
		asked = time.Now()
		if _, err := s.mux.Ping(); err != nil {
			_ = s.Close()
			return
		}
	}
}

// calls returns the number of streams on which calls are under way.
func (s *Session) calls() int {
	return s.inUse() - int(s.control.Load())
}
