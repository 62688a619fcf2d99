// Package peer implements the protocol between nodes: yamux sessions over TCP,
// with mutual TLS, in which each call and control message has a stream. Streams of
// calls may be reused, one call after the other.
//
// # Usage
//
//	server := peer.NewServer(peer.ServerConfig{Self: self, TLS: tls, Calls: handler, Logger: logger})
//	server.Handle(peer.KindDraw, onDraw)
//	go server.Serve(ctx, listener)
//
//	pool := peer.NewPool(peer.PoolConfig{Self: self, TLS: tls, Logger: logger})
//	answer, err := pool.Call(ctx, address, call)
//	err = peer.Ask(ctx, pool, address, peer.KindDraw, request, reply)
//
// A session opens with a Hello in both directions. The first frame of each stream
// determines the stream's purpose. A malformed or oversized frame ends only its
// stream; a refused hello ends only its session.
package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/singleflight"

	"auburngap/peer/peerpb"
)

const (
	// ProtocolVersion is the highest version that this program supports.
	ProtocolVersion = 1
	// streamBacklog is the number of streams that may wait to be accepted.
	streamBacklog = 256
	// streamCloseTimeout is the time after which a stream is freed if the peer does
	// not close its side.
	streamCloseTimeout = 10 * time.Second
	// sessionCloseTimeout is how long a session that ends in order waits until the peer has
	// received the last answers.
	sessionCloseTimeout = 500 * time.Millisecond
	// maxNameBytes bounds the names in a hello.
	maxNameBytes = 256
)

// Identity identifies a process of a node.
type Identity struct {
	VM   string
	Zone string
	// Incarnation is new at each start of the process.
	Incarnation uuid.UUID
}

func (id Identity) hello() *peerpb.Hello {
	return &peerpb.Hello{
		Version:          ProtocolVersion,
		Vm:               id.VM,
		AvailabilityZone: id.Zone,
		Incarnation:      id.Incarnation[:],
	}
}

// Session is an open connection to another node.
type Session struct {
	mux     *yamux.Session
	conn    *endingConn
	streams *openStreams
	idle    idleStreams
	// control counts the open streams that carry no calls.
	control  atomic.Int64
	activity *activityConn
	// probeAfter is the time without data from the peer after which it is probed
	// before a call is sent; probeAfterInUse is the same while other calls wait.
	probeAfter, probeAfterInUse time.Duration
	// waiting holds the calls that are abandoned once the peer is unresponsive.
	waiting waitingCalls
	// probes lets concurrent calls share one probe.
	probes singleflight.Group
	// Peer is the identity that the peer sent in its hello.
	Peer Identity
}

func muxConfig(timing Timing) *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = streamBacklog
	config.KeepAliveInterval = timing.KeepAlive
	config.ConnectionWriteTimeout = timing.ResponseTimeout
	config.StreamOpenTimeout = timing.ResponseTimeout
	config.StreamCloseTimeout = streamCloseTimeout
	config.LogOutput = io.Discard
	return config
}

// open sends this side's hello, reads the peer's and starts the multiplexer.
func open(conn net.Conn, self Identity, timing Timing, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*Session, error) {
	if err := conn.SetDeadline(time.Now().Add(timing.HelloTimeout)); err != nil {
		return nil, ErrHello.Wrap(err, "set deadline")
	}
	if err := sendHello(conn, self); err != nil {
		return nil, err
	}
	identity, err := readHello(conn)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, ErrHello.Wrap(err, "clear deadline")
	}
	heard := newActivityConn(conn)
	streams := &openStreams{}
	ending := &endingConn{Conn: &coalescingConn{Conn: heard}, transport: conn, streams: streams}
	mux, err := start(ending, muxConfig(timing))
	if err != nil {
		return nil, ErrHello.Wrap(err, "start session")
	}
	return &Session{mux: mux, conn: ending, streams: streams, activity: heard, probeAfter: timing.ProbeAfter, probeAfterInUse: timing.ProbeAfterInUse, Peer: identity}, nil
}

func sendHello(conn net.Conn, self Identity) error {
	w := NewFrameWriter(conn)
	defer w.Release()
	if err := w.Add(KindHello, self.hello()); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return ErrHello.Wrap(err, "send hello")
	}
	return nil
}

// readHello reads without a buffer, as the bytes after the hello belong to the
// multiplexer.
func readHello(conn net.Conn) (Identity, error) {
	reader := FrameReader{in: conn}
	var hello peerpb.Hello
	if err := reader.Expect(KindHello, &hello); err != nil {
		return Identity{}, ErrHello.Wrap(err, "read hello")
	}
	return checkHello(&hello)
}

func checkHello(hello *peerpb.Hello) (Identity, error) {
	if hello.GetVersion() < 1 {
		return Identity{}, ErrHello.New("protocol version %d", hello.GetVersion())
	}
	if hello.GetVm() == "" || len(hello.GetVm()) > maxNameBytes || len(hello.GetAvailabilityZone()) > maxNameBytes {
		return Identity{}, ErrHello.New("bad VM or availability zone name")
	}
	incarnation, err := uuid.FromBytes(hello.GetIncarnation())
	if err != nil {
		return Identity{}, ErrHello.Wrap(err, "incarnation")
	}
	return Identity{VM: hello.GetVm(), Zone: hello.GetAvailabilityZone(), Incarnation: incarnation}, nil
}

// OpenStream opens a stream, or returns ErrUnreachable if ctx ends first. The peer's
// handlers do not see the stream before its first frame arrives.
func (s *Session) OpenStream(ctx context.Context) (net.Conn, error) {
	opened := make(chan openResult, 1)
	go func() {
		stream, err := s.mux.OpenStream()
		opened <- openResult{stream, err}
	}()
	select {
	case result := <-opened:
		if result.err != nil {
			return nil, ErrUnreachable.Wrap(result.err, "open stream to %s", s.Peer.VM)
		}
		return s.streams.opened(result.stream), nil
	case <-ctx.Done():
		go func() {
			if result := <-opened; result.err == nil {
				_ = result.stream.Close()
			}
		}()
		return nil, ErrUnreachable.Wrap(ctx.Err(), "open stream to %s", s.Peer.VM)
	}
}

// openResult is what the multiplexer returned for a new stream.
type openResult struct {
	stream *yamux.Stream
	err    error
}

// acceptStream waits for a stream that the peer opens.
func (s *Session) acceptStream() (net.Conn, error) {
	stream, err := s.mux.AcceptStream()
	if err != nil {
		return nil, err
	}
	return s.streams.accepted(stream), nil
}

// openControl opens a stream that carries no calls.
func (s *Session) openControl(ctx context.Context) (net.Conn, error) {
	stream, err := s.OpenStream(ctx)
	if err != nil {
		return nil, err
	}
	s.control.Add(1)
	return &controlStream{Conn: stream, session: s}, nil
}

// controlStream is a stream that Session.control counts while it is open.
type controlStream struct {
	net.Conn
	session *Session
	closed  atomic.Bool
}

// Close implements net.Conn.
func (c *controlStream) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.session.control.Add(-1)
	}
	return c.Conn.Close()
}

// inUse returns the number of open streams that are not idle.
func (s *Session) inUse() int {
	return s.mux.NumStreams() - s.idle.count()
}

// Close ends the session and all of its streams.
func (s *Session) Close() error {
	s.streams.end()
	return s.mux.Close()
}

// CloseGracefully is Close after the last answers: it returns once the peer has received
// them or sessionCloseTimeout has passed.
func (s *Session) CloseGracefully() error {
	s.conn.closesGracefully.Store(true)
	return s.Close()
}

// IsClosed reports whether the session has ended.
func (s *Session) IsClosed() bool {
	return s.mux.IsClosed()
}
