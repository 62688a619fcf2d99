// Package httpconn lets HTTP servers detect that a caller has disconnected while
// its request is still being processed, which fasthttp does not report by itself.
// It also holds idle connections cheaply, runs pipelined requests concurrently, and
// converts headers and bodies between fasthttp and package request.
//
// # Usage
//
//	listener = httpconn.Listen(listener)
//	// or, where thousands of connections are idle at a time:
//	listener, err := httpconn.ListenPolling(listener, idleTimeout)
//	// in a fasthttp handler, once the request's body has been read:
//	conn := ctx.Conn().(*httpconn.Conn)
//	conn.Watch(cancel)
//	defer conn.Unwatch()
package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"auburngap/tcpconn"
)

// pastDeadline is a deadline that unblocks a waiting read.
var pastDeadline = time.Unix(1, 0)

// watchDelay is the time after which a connection is watched: most requests are
// answered sooner.
const watchDelay = 10 * time.Millisecond

// answerCloseTimeout is how long a connection stays open after its last answer while the
// caller has not closed its side. Requests and the rest of a body that arrive meanwhile
// are discarded.
const answerCloseTimeout = 5 * time.Second

// Conn is a connection that can be watched between reads, to detect that it is
// closed. Its Read must not be called while it is watched.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// watchTimer starts the watch; it is nil while no watch is scheduled or running.
	watchTimer *time.Timer
	// watchDone is closed when the watch has ended; nil before it starts.
	watchDone chan struct{}
	stopping  bool
	// generation distinguishes the timer of the current watch from one that fired late.
	generation uint64
	// buffered is a byte of the next request that the watch has read.
	buffered    byte
	hasBuffered bool

	// pipeline splits the input into requests; nil if the server reads it directly.
	pipeline *pipeline
	// idle holds the connection while it is idle between two requests; it may be nil.
	idle *idleConns
	// betweenRequests is true until the first byte of a request was read.
	betweenRequests bool
	// busy is true while a request has no answer yet.
	busy  bool
	state atomic.Int32
	// closeTimeout is how long Close waits for the caller to receive the last answer; zero
	// closes the connection at once.
	closeTimeout time.Duration
	// answered is set once an answer was written, until the caller closes its side.
	answered atomic.Bool
	// reading is true during a Read.
	reading atomic.Bool
}

// The states of a connection.
const (
	// connOpen: the server uses the connection.
	connOpen = iota
	// connIdle: the connection goes to the poller as soon as the server closes it.
	connIdle
	// connDetached: the connection no longer belongs to the server.
	connDetached
)

// New wraps a connection.
func New(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// setBusy sets whether a request has no answer yet, and counts the connection in busy,
// which may be nil.
func (c *Conn) setBusy(isBusy bool, busy *atomic.Int64) {
	if busy == nil || c.busy == isBusy {
		return
	}
	c.busy = isBusy
	if isBusy {
		busy.Add(1)
	} else {
		busy.Add(-1)
	}
}

// Watch calls onClosed, from another goroutine, if the connection is closed before
// Unwatch. The watch starts after watchDelay.
func (c *Conn) Watch(onClosed func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchTimer != nil || c.hasBuffered {
		return
	}
	c.stopping = false
	c.generation++
	generation := c.generation
	c.watchTimer = time.AfterFunc(watchDelay, func() { c.startWatch(generation, onClosed) })
}

// startWatch runs the watch unless it was stopped or replaced before its timer fired.
func (c *Conn) startWatch(generation uint64, onClosed func()) {
	c.mu.Lock()
	if c.stopping || c.generation != generation {
		c.mu.Unlock()
		return
	}
	done := make(chan struct{})
	c.watchDone = done
	c.mu.Unlock()
	c.watch(onClosed, done)
}

func (c *Conn) watch(onClosed func(), done chan struct{}) {
	defer close(done)
	if c.pipeline != nil {
		c.watchPipelined(onClosed)
		return
	}
	var one [1]byte
	n, err := c.Conn.Read(one[:])
	c.mu.Lock()
	if n == 1 {
		c.buffered = one[0]
		c.hasBuffered = true
	}
	stopping := c.stopping
	c.mu.Unlock()
	if err != nil && !stopping {
		onClosed()
	}
}

// Unwatch ends the watch. The connection can then be read again.
func (c *Conn) Unwatch() {
	c.mu.Lock()
	done, timer := c.watchDone, c.watchTimer
	c.stopping = true
	c.watchTimer = nil
	c.mu.Unlock()
	if timer != nil {
		timer.Stop()
	}
	if done == nil {
		return
	}
	// An error here means that the connection is closed, which ends the watch too.
	_ = c.Conn.SetReadDeadline(pastDeadline)
	<-done
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	c.watchDone = nil
	c.mu.Unlock()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.answered.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	n, err := c.read(p)
	if n == 0 && err != nil {
		c.answered.Store(false)
	}
	return n, err
}

func (c *Conn) read(p []byte) (int, error) {
	if c.pipeline != nil {
		return c.readPipelined(p)
	}
	c.mu.Lock()
	if c.hasBuffered && len(p) > 0 {
		p[0] = c.buffered
		c.hasBuffered = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	if c.betweenRequests && c.idle != nil {
		return c.readFirst(p)
	}
	return c.Conn.Read(p)
}

// readFirst reads the first bytes of a request. If none arrive soon, it returns
// io.EOF, so that the server closes the connection.
func (c *Conn) readFirst(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.idle.idleDelay)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.state.CompareAndSwap(connOpen, connIdle)
		return 0, io.EOF
	}
	c.betweenRequests = false
	if cleared := c.Conn.SetReadDeadline(time.Time{}); err == nil {
		err = cleared
	}
	return n, err
}

// Close implements net.Conn. A connection that readFirst found idle is not closed:
// the poller keeps it open until the next request. After an answer, Close returns once
// the caller has received it or closeTimeout has passed, unless the server waits for the
// next request.
func (c *Conn) Close() error {
	if c.state.CompareAndSwap(connIdle, connDetached) {
		c.idle.add(c.Conn)
		return nil
	}
	if c.state.Load() == connDetached {
		return nil
	}
	c.cancelEarly()
	if c.closeTimeout > 0 && c.answered.Load() && !c.reading.Load() {
		return tcpconn.CloseGracefully(c.Conn, c.closeTimeout)
	}
	return c.Conn.Close()
}

// IsIdle reports whether the connection is open and has no byte to read. It does
// not block.
func (c *Conn) IsIdle() bool { return tcpconn.IsIdle(c.Conn) }
