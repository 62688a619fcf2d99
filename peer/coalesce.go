package peer

import (
	"encoding/binary"
	"net"
)

const (
	// muxHeaderBytes is the size of the multiplexer's frame header.
	muxHeaderBytes = 12
	// muxData is the type of the frames that may carry a payload.
	muxData = 0
)

// coalescingConn sends each header of the multiplexer in one write with its
// payload. The multiplexer writes them separately, and two packets would wake the
// other node twice. The multiplexer writes from one goroutine.
type coalescingConn struct {
	net.Conn
	// pendingHeader is a header whose payload has not been written yet; empty if
	// there is none.
	pendingHeader []byte
}

// Write implements net.Conn. An error that concerns a header may be returned by
// the write of its payload.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 {
		if !expectsPayload(p) {
			return c.Conn.Write(p)
		}
		if c.pendingHeader == nil {
			c.pendingHeader = getBuffer()
		}
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	joined := append(c.pendingHeader, p...)
	n, err := c.Conn.Write(joined)
	c.pendingHeader = resetOrRelease(joined)
	return max(n-muxHeaderBytes, 0), err
}

// expectsPayload reports whether p is a header whose payload comes with the next
// write.
func expectsPayload(p []byte) bool {
	return len(p) == muxHeaderBytes && p[1] == muxData && binary.BigEndian.Uint32(p[8:]) > 0
}
