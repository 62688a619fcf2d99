package tcpconn

import (
	"errors"
	"net"
	"syscall"
)

// IsIdle reports whether a connection is open and has no byte to read. It does not block.
func IsIdle(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
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
