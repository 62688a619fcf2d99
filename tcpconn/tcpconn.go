// Package tcpconn closes TCP connections without losing what was sent on them, and accepts
// them without giving up at errors that pass.
//
// A connection that is closed with unread bytes, or that receives bytes after it was
// closed, is reset. The other side then loses what it has not received yet, even if it
// was written long before.
//
// # Usage
//
//	err := tcpconn.CloseGracefully(conn, timeout)
//	source, ok := tcpconn.Raw(conn).(syscall.Conn)
//	listener, err := tcpconn.Listen(address, logger)
package tcpconn

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"
)

// CloseGracefully ends the outgoing side of a connection, and closes the connection once
// the other side has ended its own, which shows that it has received everything, or after
// the timeout. What arrives meanwhile is discarded. A connection that is not TCP, with or
// without TLS, is closed at once.
func CloseGracefully(conn net.Conn, timeout time.Duration) error {
	raw := Raw(conn)
	if err := closeWrite(conn, raw); err == nil {
		discard(raw, timeout)
	}
	return conn.Close()
}

// Raw returns the connection below TLS, or conn if it does not use TLS.
func Raw(conn net.Conn) net.Conn {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return secured.NetConn()
	}
	return conn
}

// closeWrite ends the outgoing side of a connection, after the closing alert of TLS.
func closeWrite(conn, raw net.Conn) error {
	half, ok := raw.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	if secured, ok := conn.(*tls.Conn); ok {
		// It fails if the handshake is incomplete: there is no session to end then.
		_ = secured.CloseWrite()
	}
	return half.CloseWrite()
}

// discard reads until the other side ends the connection or the timeout has passed.
func discard(raw net.Conn, timeout time.Duration) {
	if err := raw.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return
	}
	// Every error ends the connection.
	_, _ = io.Copy(io.Discard, raw)
}
