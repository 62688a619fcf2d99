package httpconn

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxEarly bounds the number of requests of a connection that run before their turn.
	maxEarly = 8
	// maxAheadBytes bounds the bytes that are read of requests before their turn.
	maxAheadBytes = 16 << 10
	// chunkBytes is the size of one read.
	chunkBytes = 1 << 10
)

// chunks holds buffers for input that is not yet assigned to a request.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

var headTerminator = []byte("\r\n\r\n")

// Early is a request that runs before its turn, while earlier requests on its
// connection are not answered yet.
type Early struct {
	// Context is cancelled when the caller has disconnected, and once the answer is
	// written.
	Context  context.Context
	cancel   context.CancelFunc
	response *fasthttp.Response
	done     chan struct{}
}

// NewEarly returns a running request, whose context ends with parent.
func NewEarly(parent context.Context) *Early {
	ctx, cancel := context.WithCancel(parent)
	return &Early{Context: ctx, cancel: cancel, done: make(chan struct{})}
}

// Finish ends the request with its answer.
func (e *Early) Finish(response *fasthttp.Response) {
	e.response = response
	close(e.done)
}

// Deliver waits for the answer and writes it to ctx, when it is the request's turn.
// If the caller disconnects meanwhile, the request is cancelled.
func (e *Early) Deliver(conn *Conn, ctx *fasthttp.RequestCtx) {
	conn.Watch(e.cancel)
	<-e.done
	conn.Unwatch()
	e.response.CopyTo(&ctx.Response)
	if e.response.IsBodyStream() {
		// CopyTo does not copy the stream, whose end is that of the request.
		body := e.response.BodyStream()
		finish := func() {
			_ = closeBody(body) // the answer is written
			e.cancel()
		}
		ctx.Response.SetBodyStream(&closingReader{in: body, finish: finish}, e.response.Header.ContentLength())
		return
	}
	e.cancel()
}

// PipelineConfig configures ListenPipelined.
type PipelineConfig struct {
	// IdleTimeout closes idle connections, if it is not zero.
	IdleTimeout time.Duration
	Begin       Begin
}

// Begin starts a request whose head was read before its turn. It returns nil if the
// request has to wait for its turn.
type Begin func(head []byte) *Early

// pipeline splits the input of a connection into requests, so that a server reads
// one at a time and later ones can start before their turn. This ends with the first
// request that may have a body: from then on, bytes are passed through as they arrive.
type pipeline struct {
	begin Begin
	// buffer begins with currentBytes bytes of the request whose turn it is, followed
	// by the requests of queue and the input after them.
	buffer       []byte
	currentBytes int
	queue        []queuedRequest
	// current is the request whose turn it is, if it was started early.
	current *Early
	// passThrough is set if input is no longer split into requests.
	passThrough bool
}

// queuedRequest is a complete request whose turn has not come.
type queuedRequest struct {
	size int
	// early is nil if the request was not started early.
	early *Early
}

// parsedBytes returns the size of the part of the buffer that is split already.
func (p *pipeline) parsedBytes() int {
	scanned := p.currentBytes
	for _, request := range p.queue {
		scanned += request.size
	}
	return scanned
}

// startQueued queues and starts the complete requests that follow those of the queue.
func (p *pipeline) startQueued() {
	rest := p.buffer[p.parsedBytes():]
	for !p.passThrough && len(p.queue) < maxEarly {
		size, bodyless := parseHead(rest)
		if size == 0 {
			return
		}
		if !bodyless {
			p.passThrough = true
			return
		}
		p.queue = append(p.queue, queuedRequest{size: size, early: p.begin(bytes.Clone(rest[:size]))})
		rest = rest[size:]
	}
}

// next makes the next request readable. It returns false if more input is needed.
func (p *pipeline) next() bool {
	p.current = nil
	if len(p.queue) > 0 {
		p.currentBytes, p.current = p.queue[0].size, p.queue[0].early
		p.queue = p.queue[1:]
		p.startQueued()
		return true
	}
	size, bodyless := parseHead(p.buffer)
	if size > 0 && !bodyless || len(p.buffer) > maxAheadBytes {
		p.passThrough = true
	}
	if p.passThrough {
		p.currentBytes = len(p.buffer)
		return p.currentBytes > 0
	}
	if size == 0 {
		return false
	}
	p.currentBytes = size
	p.startQueued()
	return true
}

// read consumes bytes of the request whose turn it is.
func (p *pipeline) read(to []byte) int {
	n := copy(to, p.buffer[:p.currentBytes])
	p.buffer = p.buffer[n:]
	p.currentBytes -= n
	if len(p.buffer) == 0 {
		p.buffer = nil
	}
	return n
}

// cancelStarted cancels the requests that were started early and not delivered, as no
// caller waits for them.
func (p *pipeline) cancelStarted() {
	if p.current != nil {
		p.current.cancel()
	}
	for _, request := range p.queue {
		if request.early != nil {
			request.early.cancel()
		}
	}
}

// parseHead returns the size of the request head that data begins with, or zero if
// it is incomplete, and whether the request has no body.
func parseHead(data []byte) (size int, bodyless bool) {
	end := bytes.Index(data, headTerminator)
	if end < 0 {
		return 0, false
	}
	size = end + len(headTerminator)
	return size, isBodyless(data[:size])
}

// bodyHeaders are headers of requests that may have a body or change the protocol of
// the connection.
var bodyHeaders = [][]byte{
	[]byte("\ncontent-length:"), []byte("\ntransfer-encoding:"), []byte("\nexpect:"), []byte("\nupgrade:"),
}

// isBodyless reports whether head is of a GET or HEAD request without bodyHeaders.
func isBodyless(head []byte) bool {
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

// ListenPipelined is ListenPolling for a server that lets pipelined requests start
// before their turn.
func ListenPipelined(listener net.Listener, config PipelineConfig) (net.Listener, error) {
	return listenPolling(listener, config.IdleTimeout, defaultIdleDelay, config.Begin)
}

// TakeEarly returns the request whose turn it is, or nil if it was not started early.
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

// HasStarted reports whether a request that waits for its turn was started early.
func (c *Conn) HasStarted() bool {
	if c.pipeline == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.pipeline.queue, func(request queuedRequest) bool { return request.early != nil })
}

// readPipelined reads bytes of a single request.
func (c *Conn) readPipelined(to []byte) (int, error) {
	for {
		c.mu.Lock()
		if c.pipeline.currentBytes > 0 || c.pipeline.next() {
			n := c.pipeline.read(to)
			c.mu.Unlock()
			return n, nil
		}
		passThrough, idle := c.pipeline.passThrough, len(c.pipeline.buffer) == 0
		c.mu.Unlock()
		if passThrough {
			return c.Conn.Read(to)
		}
		if err := c.fill(idle); err != nil {
			return 0, err
		}
	}
}

// fill reads more input; empty means that no byte of the next request has arrived.
func (c *Conn) fill(empty bool) error {
	chunk := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	read := c.Conn.Read
	if empty && c.betweenRequests && c.idle != nil {
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
		// The server must see the incomplete request.
		c.pipeline.passThrough = true
		return nil
	}
	return err
}

// watchPipelined reads requests before their turn until the caller has disconnected,
// the watch ends, or enough was read.
func (c *Conn) watchPipelined(onClosed func()) {
	chunk := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	for {
		n, err := c.Conn.Read(chunk[:])
		c.mu.Lock()
		p := c.pipeline
		p.buffer = append(p.buffer, chunk[:n]...)
		p.startQueued()
		enough := p.passThrough || len(p.buffer) > maxAheadBytes || len(p.queue) >= maxEarly
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
		c.pipeline.cancelStarted()
	}
}
