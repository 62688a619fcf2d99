package httpconn

import (
	"net"
	"sync"
	"time"
)

// Listen wraps the connections of a listener in Conn. Closing one after an answer does not
// keep the caller from receiving the answer.
func Listen(listener net.Listener) net.Listener {
	return &wrappingListener{Listener: listener}
}

type wrappingListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newAccepted(conn), nil
}

// newAccepted wraps a connection on which answers are sent.
func newAccepted(conn net.Conn) *Conn {
	c := New(conn)
	c.closeTimeout = answerCloseTimeout
	return c
}

// ListenPolling wraps the connections of a listener in Conn, and holds idle ones
// without a goroutine or a buffer: for the server they end, and they are accepted
// again with their next request. They are closed after idleTimeout, if it is not
// zero. The server must be created by NewServer.
func ListenPolling(listener net.Listener, idleTimeout time.Duration) (net.Listener, error) {
	return listenPolling(listener, idleTimeout, defaultIdleDelay, nil)
}

func listenPolling(listener net.Listener, idleTimeout, idleDelay time.Duration, begin Begin) (*pollingListener, error) {
	if idleTimeout > 0 {
		idleDelay = min(idleDelay, idleTimeout)
	}
	l := &pollingListener{Listener: listener, begin: begin, accepted: make(chan acceptResult), done: make(chan struct{})}
	idle, err := newIdleConns(idleDelay, idleTimeout, l.wake)
	if err != nil {
		return nil, err
	}
	l.idle = idle
	go l.acceptLoop()
	return l, nil
}

// acceptResult is the result of an Accept.
type acceptResult struct {
	conn *Conn
	err  error
}

type pollingListener struct {
	net.Listener
	idle *idleConns
	// begin is set if requests may run before their turn.
	begin    Begin
	accepted chan acceptResult
	done     chan struct{}
	once     sync.Once
}

// acceptLoop accepts new connections until the listener fails.
func (l *pollingListener) acceptLoop() {
	for {
		conn, err := l.Listener.Accept()
		l.deliver(l.wrap(conn), err)
		if timeout, ok := err.(net.Error); err != nil && !(ok && timeout.Timeout()) {
			return
		}
	}
}

// wrap returns conn as a Conn, or nil if conn is nil.
func (l *pollingListener) wrap(conn net.Conn) *Conn {
	if conn == nil {
		return nil
	}
	c := l.newConn(conn)
	// A TLS handshake that was interrupted cannot be resumed.
	_, secured := conn.(interface{ NetConn() net.Conn })
	c.betweenRequests = !secured
	return c
}

func (l *pollingListener) newConn(conn net.Conn) *Conn {
	c := newAccepted(conn)
	c.idle = l.idle
	if l.begin != nil {
		c.pipeline = &pipeline{begin: l.begin}
	}
	return c
}

// wake delivers a connection that was idle to the server again.
func (l *pollingListener) wake(conn net.Conn) {
	c := l.newConn(conn)
	c.betweenRequests = true
	l.deliver(c, nil)
}

// deliver passes a connection to Accept, or closes it if the listener is closed.
func (l *pollingListener) deliver(conn *Conn, err error) {
	select {
	case l.accepted <- acceptResult{conn: conn, err: err}:
	case <-l.done:
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// Accept implements net.Listener.
func (l *pollingListener) Accept() (net.Conn, error) {
	select {
	case next := <-l.accepted:
		if next.err != nil {
			return nil, next.err
		}
		return next.conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It also closes the idle connections.
func (l *pollingListener) Close() error {
	err := net.ErrClosed
	l.once.Do(func() {
		close(l.done)
		l.idle.close()
		err = l.Listener.Close()
	})
	return err
}
