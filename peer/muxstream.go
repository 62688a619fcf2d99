package peer

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// pastDeadline is a deadline that ends every read and write at once.
var pastDeadline = time.Unix(1, 0)

// muxStream is a stream of a session. Its reads and writes end when the stream is closed
// or the session ends.
//
// A yamux stream does not block from the moment its session shuts down until the session
// has closed the stream: a waiting Read or Write then uses the processor all the time. A
// deadline that has passed keeps them from waiting at all.
type muxStream struct {
	*yamux.Stream
	session *openStreams
}

// Read implements io.Reader. It returns io.EOF once the session has ended.
func (s *muxStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if errors.Is(err, yamux.ErrTimeout) && s.session.hasEnded() {
		return n, io.EOF
	}
	return n, err
}

// Write implements io.Writer. It returns yamux.ErrSessionShutdown once the session has
// ended.
func (s *muxStream) Write(p []byte) (int, error) {
	n, err := s.Stream.Write(p)
	if errors.Is(err, yamux.ErrTimeout) && s.session.hasEnded() {
		return n, yamux.ErrSessionShutdown
	}
	return n, err
}

// Close implements io.Closer. It unblocks a Read in progress.
func (s *muxStream) Close() error {
	s.session.remove(s)
	return errors.Join(s.Stream.SetDeadline(pastDeadline), s.Stream.Close())
}

// SetDeadline implements net.Conn.
func (s *muxStream) SetDeadline(t time.Time) error {
	return s.session.keepEnded(s, s.Stream.SetDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (s *muxStream) SetReadDeadline(t time.Time) error {
	return s.session.keepEnded(s, s.Stream.SetReadDeadline(t))
}

// SetWriteDeadline implements net.Conn.
func (s *muxStream) SetWriteDeadline(t time.Time) error {
	return s.session.keepEnded(s, s.Stream.SetWriteDeadline(t))
}

// openStreams holds the open streams of a session, to unblock them before the session
// shuts down. The zero value is ready to use.
type openStreams struct {
	mu      sync.Mutex
	streams map[*muxStream]struct{}
	ended   bool
}

// add returns the stream that wraps a stream of the session.
func (o *openStreams) add(stream *yamux.Stream) *muxStream {
	s := &muxStream{Stream: stream, session: o}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		_ = stream.SetDeadline(pastDeadline) // it never fails
		return s
	}
	if o.streams == nil {
		o.streams = make(map[*muxStream]struct{})
	}
	o.streams[s] = struct{}{}
	return s
}

func (o *openStreams) remove(s *muxStream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.streams, s)
}

// end unblocks the reads and writes of all streams.
func (o *openStreams) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
	for s := range o.streams {
		_ = s.Stream.SetDeadline(pastDeadline) // it never fails
	}
	clear(o.streams)
}

func (o *openStreams) hasEnded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ended
}

// keepEnded sets the past deadline again after another one was set, if the session has
// ended.
func (o *openStreams) keepEnded(s *muxStream, err error) error {
	if o.hasEnded() {
		_ = s.Stream.SetDeadline(pastDeadline) // it never fails
	}
	return err
}

// endingConn is the connection of a session. It ends the session's streams as soon as
// nothing more can be read, and before the connection is closed.
type endingConn struct {
	net.Conn
	streams *openStreams
}

// Read implements net.Conn.
func (c *endingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && err != nil {
		c.streams.end()
	}
	return n, err
}

// Close implements net.Conn.
func (c *endingConn) Close() error {
	c.streams.end()
	return c.Conn.Close()
}
