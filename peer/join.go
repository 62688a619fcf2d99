package peer

import (
	"encoding/binary"
	"net"
)

const (
	// muxHeaderBytes is the size of the multiplexer's frame header.
	muxHeaderBytes = 12
	// muxData is the type of the frames that a payload follows.
	muxData = 0
)

// joiningConn sends each header of the multiplexer in one write with its
// payload, which the multiplexer writes apart: two packets would wake the other
// node twice. The multiplexer writes from one goroutine.
type joiningConn struct {
	net.Conn
	// held is a header whose payload is still to come; empty where there is none.
	held []byte
}

// Write implements net.Conn; an error may be told by the write of the payload.
func (c *joiningConn) Write(p []byte) (int, error) {
	if len(c.held) == 0 {
		if !announcesPayload(p) {
			return c.Conn.Write(p)
		}
		if c.held == nil {
			c.held = takeBuffer()
		}
		c.held = append(c.held, p...)
		return len(p), nil
	}
	joined := append(c.held, p...)
	n, err := c.Conn.Write(joined)
	c.held = keepSmall(joined)
	return max(n-muxHeaderBytes, 0), err
}

// announcesPayload tells whether p is a header whose payload comes with the
// next write.
func announcesPayload(p []byte) bool {
	return len(p) == muxHeaderBytes && p[1] == muxData && binary.BigEndian.Uint32(p[8:]) > 0
}
