package backend

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"auburngap/httpconn"
)

const (
	// connectTimeout bounds the connect to the backend server.
	connectTimeout = time.Second
	// idleTimeout closes connections that were not used for as long.
	idleTimeout = 30 * time.Second
	// connBufferBytes is the size of a connection's buffers.
	connBufferBytes = 4 << 10
)

// connection is a connection to the backend server.
type connection struct {
	conn   *httpconn.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	used   time.Time
}

// connections holds the idle connections to one backend server, the one used
// last first.
type connections struct {
	mu      sync.Mutex
	address netip.AddrPort
	idle    []*connection
}

// get returns an idle connection, or a new one. A fresh one is made where the
// caller must not find that an idle one has just been closed.
func (p *connections) get(ctx context.Context, address netip.AddrPort, fresh bool) (*connection, error) {
	if !fresh {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	wrapped := httpconn.New(conn)
	return &connection{
		conn:   wrapped,
		reader: bufio.NewReaderSize(wrapped, connBufferBytes),
		writer: bufio.NewWriterSize(wrapped, connBufferBytes),
	}, nil
}

func (p *connections) takeIdle(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address {
		p.closeIdle()
		p.address = address
	}
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		// A server that has closed the connection meanwhile is noticed here.
		if c.conn.IsIdle() && time.Since(c.used) < idleTimeout {
			return c
		}
		_ = c.conn.Close()
	}
	return nil
}

// put keeps a connection for the next call, at most limit of them.
func (p *connections) put(c *connection, address netip.AddrPort, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address || len(p.idle) >= limit || c.reader.Buffered() > 0 {
		_ = c.conn.Close()
		return
	}
	c.used = time.Now()
	p.idle = append(p.idle, c)
}

func (p *connections) closeIdle() {
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.idle = nil
}

// close closes the idle connections.
func (p *connections) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}
