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
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// past is a deadline that wakes a waiting read.
var past = time.Unix(1, 0)

// watchDelay is the time after which a request is worth a watch: most have been
// answered by then.
const watchDelay = 10 * time.Millisecond

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

	mu sync.Mutex
	// timer starts the watch; it is nil while there is none to come or running.
	timer *time.Timer
	// done is closed when the watch has ended; nil before it starts.
	done     chan struct{}
	stopping bool
	// generation tells a timer that fired late from the one of the present watch.
	generation uint64
	// ahead is a byte of the next request that the watch has read.
	ahead    byte
	hasAhead bool
}

// New wraps a connection.
func New(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Watch calls onClosed, from another goroutine, if the connection ends before
// Unwatch. It begins after watchDelay.
func (c *Conn) Watch(onClosed func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil || c.hasAhead {
		return
	}
	c.stopping = false
	c.generation++
	generation := c.generation
	c.timer = time.AfterFunc(watchDelay, func() { c.start(generation, onClosed) })
}

// start begins a watch that is still wanted.
func (c *Conn) start(generation uint64, onClosed func()) {
	c.mu.Lock()
	if c.stopping || c.generation != generation {
		c.mu.Unlock()
		return
	}
	done := make(chan struct{})
	c.done = done
	c.mu.Unlock()
	c.watch(onClosed, done)
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
	done, timer := c.done, c.timer
	c.stopping = true
	c.timer = nil
	c.mu.Unlock()
	if timer != nil {
		timer.Stop()
	}
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

// IsIdle tells whether the connection is open and holds no byte to be read. It
// does not wait.
func (c *Conn) IsIdle() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(peeked, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
