package backend

import (
	"bufio"
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"auburngap/httpconn"
	"auburngap/request"
)

const (
	// connectTimeout is the timeout of connecting to the backend server.
	connectTimeout = time.Second
	// defaultIdleTimeout is the default of ClientConfig.IdleTimeout.
	defaultIdleTimeout = 30 * time.Second
	// connBufferBytes is the size of a connection's buffers.
	connBufferBytes = 4 << 10
	// maxRefusedAttempts bounds the attempts that a connection keeps in mind.
	maxRefusedAttempts = 64
)

// connection is a connection to the backend server.
type connection struct {
	conn     *httpconn.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
	// reused is set once the connection has carried an earlier request.
	reused bool
	// refused holds the attempts that the server has refused on this connection, with
	// their deadlines. A faulty server may repeat such a refusal later.
	refused map[string]time.Time
}

// addRefused records that the server has refused a call on this connection. It returns
// false if the connection must not be used again.
func (c *connection) addRefused(call *request.Call) bool {
	now := time.Now()
	maps.DeleteFunc(c.refused, func(_ string, deadline time.Time) bool { return deadline.Before(now) })
	if len(c.refused) >= maxRefusedAttempts {
		return false
	}
	if c.refused == nil {
		c.refused = make(map[string]time.Time)
	}
	c.refused[call.AttemptID] = call.Context.Deadline
	return true
}

// mayCarry reports whether a refusal that names the attempt could only answer a request
// that is yet to be sent on this connection.
func (c *connection) mayCarry(attemptID string) bool {
	_, refused := c.refused[attemptID]
	return !refused
}

// connections is a pool of the idle connections to one backend server. The most
// recently used one is reused first.
type connections struct {
	// idleTimeout is the maximum time that an idle connection is kept.
	idleTimeout time.Duration

	mu      sync.Mutex
	address netip.AddrPort
	idle    []*connection
}

// get returns a connection that has been idle for less than idleTimeout and may carry
// the attempt, or a new one.
func (p *connections) get(ctx context.Context, address netip.AddrPort, idleTimeout time.Duration, attemptID string) (*connection, error) {
	if c := p.takeIdle(address, idleTimeout, attemptID); c != nil {
		c.reused = true
		return c, nil
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

func (p *connections) takeIdle(address netip.AddrPort, idleTimeout time.Duration, attemptID string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address {
		p.closeIdle()
		p.address = address
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if time.Since(c.lastUsed) >= idleTimeout {
			return nil // the others have been idle for longer
		}
		if !c.mayCarry(attemptID) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		// The server may have closed the connection in the meantime.
		if c.conn.IsIdle() {
			return c
		}
		_ = c.conn.Close()
	}
	return nil
}

// put returns a connection to the pool, which holds at most limit of them.
func (p *connections) put(c *connection, address netip.AddrPort, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address || len(p.idle) >= limit || c.reader.Buffered() > 0 {
		_ = c.conn.Close()
		return
	}
	p.expire(p.idleTimeout)
	c.lastUsed = time.Now()
	p.idle = append(p.idle, c)
}

// expire closes the connections that have been idle for longer than idleTimeout.
func (p *connections) expire(idleTimeout time.Duration) {
	first := 0
	for first < len(p.idle) && time.Since(p.idle[first].lastUsed) >= idleTimeout {
		_ = p.idle[first].conn.Close()
		first++
	}
	p.idle = slices.Delete(p.idle, 0, first)
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
