package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// mutableConn counts the writes of a session. Once muted it discards them, as if
// the peer's VM had gone without closing its connections.
type mutableConn struct {
	net.Conn
	mute   *atomic.Bool
	writes *atomic.Int64
}

func (w mutableConn) Write(p []byte) (int, error) {
	w.writes.Add(1)
	if w.mute.Load() {
		return len(p), nil
	}
	return w.Conn.Write(p)
}

// withoutKeepAlive starts a multiplexer without yamux's own heartbeats and with a
// short write timeout.
func withoutKeepAlive(start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error) {
	return func(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error) {
		config.EnableKeepAlive = false
		config.ConnectionWriteTimeout = 50 * time.Millisecond
		return start(conn, config)
	}
}

// mutablePair returns a session whose peer answers until mute is set, and the
// number of the session's writes.
func mutablePair(t *testing.T) (session *Session, mute *atomic.Bool, writes *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	go func() {
		conn, err := listener.Accept()
		assert.Check(t, err)
		peerSession, err := open(conn, identity("far"), Timing{}.withDefaults(), withoutKeepAlive(yamux.Server))
		assert.Check(t, err)
		for err == nil {
			var stream net.Conn
			if stream, err = peerSession.mux.AcceptStream(); err == nil {
				go echoEnd(stream)
			}
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	mute, writes = &atomic.Bool{}, &atomic.Int64{}
	session, err = open(mutableConn{conn, mute, writes}, identity("near"), Timing{}.withDefaults(), withoutKeepAlive(dialMux))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	return session, mute, writes
}

// echoEnd closes a stream once the peer has closed its side.
func echoEnd(stream net.Conn) {
	_, _ = io.Copy(io.Discard, stream)
	_ = stream.Close()
}

// TestUnresponsivePeer checks which of the two intervals ends a session to a VM
// that is gone without closing its connections. An interval that must not end the
// session is an hour long.
func TestUnresponsivePeer(t *testing.T) {
	const soon = 20 * time.Millisecond
	cases := []struct {
		name            string
		check, interval time.Duration
		use             func(t *testing.T, s *Session) net.Conn
	}{
		{"with a call in progress", soon, time.Hour, openCall},
		{"with a control stream", soon, 2 * soon, openControl},
		{"idle", soon, 2 * soon, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			session, mute, _ := mutablePair(t)
			mute.Store(c.use == nil)
			if c.use != nil {
				stream := c.use(t, session)
				mute.Store(true)
				defer func() {
					_, err := stream.Read(make([]byte, 1))
					assert.Check(t, err != nil)
				}()
			}
			go session.keepAlive(c.check, c.interval)
			awaitTrue(t, "the session has ended", session.IsClosed)
		})
	}
}

// openCall opens a stream that the peer accepts and does not write to.
func openCall(t *testing.T, s *Session) net.Conn {
	stream, err := s.OpenStream(context.Background())
	assert.NilError(t, err)
	return stream
}

func openControl(t *testing.T, s *Session) net.Conn {
	stream, err := s.openControl(context.Background())
	assert.NilError(t, err)
	return stream
}

// TestNoHeartbeatsWithoutCalls checks that a session without calls in progress is
// not pinged at each check interval, whatever other streams it has.
func TestNoHeartbeatsWithoutCalls(t *testing.T) {
	session, _, writes := mutablePair(t)
	stream := openControl(t, session)
	session.idle.put(&callStream{Conn: openCall(t, session)})
	before := writes.Load()
	go session.keepAlive(time.Millisecond, time.Hour)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, writes.Load(), before)
	call := openCall(t, session)
	awaitTrue(t, "heartbeats while a call is in progress", func() bool { return writes.Load() > before+10 })
	assert.NilError(t, call.Close())
	awaitTrue(t, "the call's stream is gone", func() bool { return session.calls() == 0 })
	assert.NilError(t, stream.Close())
}

// TestProbeWhileCallsWait: a VM is gone without closing its connections while calls
// wait for it. No further call is sent there, though the session was not idle for
// long.
func TestProbeWhileCallsWait(t *testing.T) {
	const inUse = 20 * time.Millisecond
	session, mute, writes := mutablePair(t)
	session.probeAfter, session.probeAfterInUse = time.Hour, inUse
	time.Sleep(2 * inUse)
	before := writes.Load()
	assert.NilError(t, session.checkResponsive(t.Context()))
	assert.Equal(t, writes.Load(), before, "a session that is not in use is probed")

	openCall(t, session)
	time.Sleep(2 * inUse)
	assert.NilError(t, session.checkResponsive(t.Context()), "the peer is alive")

	mute.Store(true)
	time.Sleep(2 * inUse)
	err := session.checkResponsive(t.Context())
	assert.Assert(t, errorx.IsOfType(err, ErrUnreachable), "%v", err)
}

// TestProbeQuietSession checks a session on which no data has arrived for a while
// before calls are sent: no call goes to a VM that is gone without closing its
// connections, whether the session was in use before or not, and concurrent checks
// share one ping.
func TestProbeQuietSession(t *testing.T) {
	const quiet = 20 * time.Millisecond
	session, mute, writes := mutablePair(t)
	session.probeAfter, session.probeAfterInUse = quiet, quiet
	before := writes.Load()
	assert.NilError(t, session.checkResponsive(t.Context()))
	assert.Equal(t, writes.Load(), before, "a session that just received data is probed")

	time.Sleep(2 * quiet)
	assert.NilError(t, session.checkResponsive(t.Context()), "the peer is alive")
	assert.Equal(t, writes.Load(), before+1)

	mute.Store(true)
	time.Sleep(2 * quiet)
	before = writes.Load()
	const callers = 8
	refused := make(chan error, callers)
	began := time.Now()
	for range callers {
		go func() { refused <- session.checkResponsive(t.Context()) }()
	}
	for range callers {
		assert.ErrorType(t, <-refused, func(err error) bool { return errorx.IsOfType(err, ErrUnreachable) })
	}
	assert.Assert(t, time.Since(began) < 10*probeTimeout, "calls hang on an unresponsive session")
	assert.Equal(t, writes.Load()-before, int64(1))
	for !session.IsClosed() {
		time.Sleep(time.Millisecond)
	}
}
