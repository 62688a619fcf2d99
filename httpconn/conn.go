// Package httpconn lets HTTP servers notice that a caller has gone while its
// request is still being worked on, which fasthttp alone does not tell.
//
// # Usage
//
//	listener = httpconn.Listen(listener)
//	// in a fasthttp handler, once the request's body has been read:
//	conn := ctx.Conn().(*httpconn.Conn)
//	conn.Watch(cancel)
//	defer conn.Unwatch()
package httpconn

import (
	"net"
	"sync"
	"time"
)

// past is a deadline that wakes a waiting read.
var past = time.Unix(1, 0)

// Listen wraps the connections of a listener in Conn.
func Listen(listener net.Listener) net.Listener {
	return &wrapped{Listener: listener}
}

type wrapped struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *wrapped) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return New(conn), nil
}

// Conn is a connection that can be watched for its end between reads. Its
// Read must not be called while it is watched.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	done     chan struct{}
	stopping bool
	// ahead is a byte of the next request that the watch has read.
	ahead    byte
	hasAhead bool
}

// New wraps a connection.
func New(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Watch calls onClosed, from another goroutine, if the connection ends before Unwatch.
func (c *Conn) Watch(onClosed func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done != nil || c.hasAhead {
		return
	}
	c.done = make(chan struct{})
	c.stopping = false
	go c.watch(onClosed, c.done)
}

func (c *Conn) watch(onClosed func(), done chan struct{}) {
	defer close(done)
	var one [1]byte
	n, err := c.Conn.Read(one[:])
	c.mu.Lock()
	if n == 1 {
		c.ahead = one[0]
		c.hasAhead = true
	}
	stopping := c.stopping
	c.mu.Unlock()
	if err != nil && !stopping {
		onClosed()
	}
}

// Unwatch ends the watch, after which the connection can be read again.
func (c *Conn) Unwatch() {
	c.mu.Lock()
	done := c.done
	c.stopping = true
	c.mu.Unlock()
	if done == nil {
		return
	}
	// An error here means that the connection is closed, which ends the watch too.
	_ = c.Conn.SetReadDeadline(past)
	<-done
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	c.done = nil
	c.mu.Unlock()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.hasAhead && len(p) > 0 {
		p[0] = c.ahead
		c.hasAhead = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// HasAhead tells whether the watch has read a byte that Read has not returned yet.
func (c *Conn) HasAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasAhead
}
