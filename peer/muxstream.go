package peer

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"auburngap/tcpconn"
)

// pastDeadline is a deadline that ends every read and write at once.
var pastDeadline = time.Unix(1, 0)

// muxStream is a stream of a session. Its reads and writes end when the stream is closed,
// a deadline has passed or the session ends.
//
// A yamux stream does not block from the moment its session shuts down until the session
// has closed the stream: a waiting Read or Write then uses the processor all the time. A
// deadline that has passed keeps them from waiting at all. Besides, a yamux stream waits
// for the connection to take its bytes whatever its deadline is. So the writes to a stream
// that this node opened are done by another goroutine, which goes on after Write has
// returned.
type muxStream struct {
	*yamux.Stream
	session *openStreams
	// written receives the result of each write; nil if the peer opened the stream.
	written chan writeResult
	// ended is closed once writes must not wait any longer.
	ended   chan struct{}
	endOnce sync.Once
}

// writeResult is what a Write of a yamux stream returned.
type writeResult struct {
	n   int
	err error
}

// Read implements io.Reader. It returns io.EOF once the session has ended.
func (s *muxStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if errors.Is(err, yamux.ErrTimeout) && s.session.hasEnded() {
		return n, io.EOF
	}
	return n, err
}

// Write implements io.Writer. After an error the bytes may still be sent.
func (s *muxStream) Write(p []byte) (int, error) {
	if s.written == nil {
		return s.Stream.Write(p)
	}
	select {
	case <-s.ended:
		return 0, yamux.ErrTimeout
	default:
	}
	go s.write(append(getBuffer(), p...))
	select {
	case result := <-s.written:
		return result.n, result.err
	case <-s.ended:
		return 0, yamux.ErrTimeout
	}
}

// write writes a buffer and releases it.
func (s *muxStream) write(buffer []byte) {
	n, err := s.Stream.Write(buffer)
	putBuffer(buffer)
	s.written <- writeResult{n, err}
}

// Close implements io.Closer. It unblocks a Read or Write in progress and does not wait
// until the peer is told.
func (s *muxStream) Close() error {
	s.session.remove(s)
	s.end()
	go func() { _ = s.Stream.Close() }()
	return nil
}

// end unblocks the reads and writes of the stream.
func (s *muxStream) end() {
	s.endOnce.Do(func() { close(s.ended) })
	_ = s.Stream.SetDeadline(pastDeadline) // it never fails
}

// SetDeadline implements net.Conn. A write ends only by a deadline that has already passed.
func (s *muxStream) SetDeadline(t time.Time) error {
	return errors.Join(s.SetReadDeadline(t), s.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (s *muxStream) SetReadDeadline(t time.Time) error {
	err := s.Stream.SetReadDeadline(t)
	s.keepEnded()
	return err
}

// SetWriteDeadline implements net.Conn. A write ends only by a deadline that has already
// passed; further writes then fail too.
func (s *muxStream) SetWriteDeadline(t time.Time) error {
	err := s.Stream.SetWriteDeadline(t)
	if !t.IsZero() && !t.After(time.Now()) {
		s.endOnce.Do(func() { close(s.ended) })
	}
	s.keepEnded()
	return err
}

// keepEnded sets the past deadline again after another one was set, if the session has
// ended.
func (s *muxStream) keepEnded() {
	if s.session.hasEnded() {
		_ = s.Stream.SetDeadline(pastDeadline) // it never fails
	}
}

// openStreams holds the open streams of a session, to unblock them before the session
// shuts down. The zero value is ready to use.
type openStreams struct {
	mu      sync.Mutex
	streams map[*muxStream]struct{}
	ended   bool
}

// opened returns the stream that wraps one that this node has opened.
func (o *openStreams) opened(stream *yamux.Stream) *muxStream {
	// The buffer lets a write end whose result is not received any more.
	return o.add(&muxStream{Stream: stream, session: o, ended: make(chan struct{}), written: make(chan writeResult, 1)})
}

// accepted returns the stream that wraps one that the peer has opened.
func (o *openStreams) accepted(stream *yamux.Stream) *muxStream {
	return o.add(&muxStream{Stream: stream, session: o, ended: make(chan struct{})})
}

func (o *openStreams) add(s *muxStream) *muxStream {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		s.end()
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
		s.end()
	}
	clear(o.streams)
}

func (o *openStreams) hasEnded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ended
}

// endingConn is the connection of a session. It ends the session's streams as soon as
// nothing more can be read, and before the connection is closed.
type endingConn struct {
	net.Conn
	// transport is the TCP or TLS connection below Conn.
	transport net.Conn
	streams   *openStreams
	// closesGracefully is set if Close waits until the peer has received what was sent.
	closesGracefully atomic.Bool
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
	if c.closesGracefully.Load() {
		return tcpconn.CloseGracefully(c.transport, sessionCloseTimeout)
	}
	return c.Conn.Close()
}
