package httpconn

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxEarly bounds the requests of a connection that run before their turn.
	maxEarly = 8
	// aheadBytes bounds what is read of requests before their turn.
	aheadBytes = 16 << 10
	// readBytes is how much is read at a time.
	readBytes = 1 << 10
)

// chunks are read into before it is known which request they belong to.
var chunks = sync.Pool{New: func() any { return new([readBytes]byte) }}

var headEnd = []byte("\r\n\r\n")

// Early is a request that runs while answers to requests before it on its
// connection are still to come.
type Early struct {
	// Context ends when the caller has gone.
	Context  context.Context
	cancel   context.CancelFunc
	response *fasthttp.Response
	done     chan struct{}
}

// NewEarly returns a request that runs.
func NewEarly() *Early {
	ctx, cancel := context.WithCancel(context.Background())
	return &Early{Context: ctx, cancel: cancel, done: make(chan struct{})}
}

// Finish ends the run with its answer.
func (e *Early) Finish(response *fasthttp.Response) {
	e.response = response
	close(e.done)
}

// Deliver waits for the answer and writes it to ctx, whose turn it is. The
// caller's end cancels the run meanwhile.
func (e *Early) Deliver(conn *Conn, ctx *fasthttp.RequestCtx) {
	conn.Watch(e.cancel)
	<-e.done
	conn.Unwatch()
	e.response.CopyTo(&ctx.Response)
	if e.response.IsBodyStream() {
		// A copy has no stream.
		ctx.Response.SetBodyStream(e.response.BodyStream(), e.response.Header.ContentLength())
	}
}

// PipelineConfig configures ListenPipelined.
type PipelineConfig struct {
	// IdleTimeout closes idle connections, if it is not zero.
	IdleTimeout time.Duration
	Begin       Begin
}

// Begin starts a request whose head was read before its turn; it returns nil
// where the request has to wait for that.
type Begin func(head []byte) *Early

// pipeline cuts what a caller sends into requests, so that a server reads one
// at a time and those behind it can begin. Requests with a body end that: from
// the first of them on, bytes are passed on as they come.
type pipeline struct {
	begin Begin
	// buffer begins with left bytes of the request whose turn it is, then holds
	// the requests of queue and what has come behind them.
	buffer []byte
	left   int
	queue  []queuedRequest
	// current is the request whose turn it is, where it has begun before.
	current *Early
	// opaque is set from the first request with a body on.
	opaque bool
}

// queuedRequest is a whole request before its turn.
type queuedRequest struct {
	size int
	// early is nil where the request has not begun.
	early *Early
}

// scanned is the part of the buffer that is cut already.
func (p *pipeline) scanned() int {
	scanned := p.left
	for _, request := range p.queue {
		scanned += request.size
	}
	return scanned
}

// scan begins the whole requests that have come behind those of the queue.
func (p *pipeline) scan() {
	rest := p.buffer[p.scanned():]
	for !p.opaque && len(p.queue) < maxEarly {
		size, simple := cutRequest(rest)
		if size == 0 {
			return
		}
		if !simple {
			p.opaque = true
			return
		}
		p.queue = append(p.queue, queuedRequest{size: size, early: p.begin(bytes.Clone(rest[:size]))})
		rest = rest[size:]
	}
}

// next opens the next request for reading; false where more has to come first.
func (p *pipeline) next() bool {
	p.current = nil
	if len(p.queue) > 0 {
		p.left, p.current = p.queue[0].size, p.queue[0].early
		p.queue = p.queue[1:]
		p.scan()
		return true
	}
	size, simple := cutRequest(p.buffer)
	if size > 0 && !simple || len(p.buffer) > aheadBytes {
		p.opaque = true
	}
	if p.opaque {
		p.left = len(p.buffer)
		return p.left > 0
	}
	if size == 0 {
		return false
	}
	p.left = size
	p.scan()
	return true
}

// read takes bytes of the request whose turn it is.
func (p *pipeline) read(to []byte) int {
	n := copy(to, p.buffer[:p.left])
	p.buffer = p.buffer[n:]
	p.left -= n
	if len(p.buffer) == 0 {
		p.buffer = nil
	}
	return n
}

// cancel ends the runs of requests that nobody waits for any more.
func (p *pipeline) cancel() {
	for _, request := range p.queue {
		if request.early != nil {
			request.early.cancel()
		}
	}
}

// cutRequest returns the size of the head that data begins with, zero where it
// is not whole, and whether that is all of its request.
func cutRequest(data []byte) (size int, simple bool) {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		return 0, false
	}
	size = end + len(headEnd)
	return size, isSimple(data[:size])
}

// bodyHeaders tell of a body, or that the connection changes.
var bodyHeaders = [][]byte{
	[]byte("\ncontent-length:"), []byte("\ntransfer-encoding:"), []byte("\nexpect:"), []byte("\nupgrade:"),
}

// isSimple tells whether a head is that of a request without a body.
func isSimple(head []byte) bool {
	if !bytes.HasPrefix(head, []byte("GET ")) && !bytes.HasPrefix(head, []byte("HEAD ")) {
		return false
	}
	lower := bytes.ToLower(head)
	for _, name := range bodyHeaders {
		if bytes.Contains(lower, name) {
			return false
		}
	}
	return true
}

// ListenPipelined is ListenMany for a server that lets requests begin before
// their turn.
func ListenPipelined(listener net.Listener, config PipelineConfig) (net.Listener, error) {
	return listenMany(listener, config.IdleTimeout, idleAfter, config.Begin)
}

// TakeEarly returns the request whose turn it is, where it has begun before.
func (c *Conn) TakeEarly() *Early {
	if c.pipeline == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	early := c.pipeline.current
	c.pipeline.current = nil
	return early
}

// readPipelined reads bytes of one request and no more.
func (c *Conn) readPipelined(to []byte) (int, error) {
	for {
		c.mu.Lock()
		if c.pipeline.left > 0 || c.pipeline.next() {
			n := c.pipeline.read(to)
			c.mu.Unlock()
			return n, nil
		}
		opaque, idle := c.pipeline.opaque, len(c.pipeline.buffer) == 0
		c.mu.Unlock()
		if opaque {
			return c.Conn.Read(to)
		}
		if err := c.fill(idle); err != nil {
			return 0, err
		}
	}
}

// fill reads more of a request; idle tells that nothing of it has come yet.
func (c *Conn) fill(idle bool) error {
	chunk := chunks.Get().(*[readBytes]byte)
	defer chunks.Put(chunk)
	read := c.Conn.Read
	if idle && c.between && c.idle != nil {
		read = c.readFirst
	}
	n, err := read(chunk[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipeline.buffer = append(c.pipeline.buffer, chunk[:n]...)
	if n > 0 || err == nil {
		return nil
	}
	if len(c.pipeline.buffer) > 0 {
		// The server is to see the request that broke off.
		c.pipeline.opaque = true
		return nil
	}
	return err
}

// watchPipelined reads requests before their turn until the caller has gone,
// the watch ends, or enough has come.
func (c *Conn) watchPipelined(onClosed func()) {
	chunk := chunks.Get().(*[readBytes]byte)
	defer chunks.Put(chunk)
	for {
		n, err := c.Conn.Read(chunk[:])
		c.mu.Lock()
		p := c.pipeline
		p.buffer = append(p.buffer, chunk[:n]...)
		p.scan()
		enough := p.opaque || len(p.buffer) > aheadBytes || len(p.queue) >= maxEarly
		stopping := c.stopping
		c.mu.Unlock()
		if err != nil && !stopping {
			onClosed()
			c.cancelEarly()
		}
		if err != nil || stopping || enough {
			return
		}
	}
}

func (c *Conn) cancelEarly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipeline != nil {
		c.pipeline.cancel()
	}
}
