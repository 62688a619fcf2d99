package tcpconn

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// failingListener fails as often as there are errors, then accepts conn.
type failingListener struct {
	net.Listener
	errors []error
	conn   net.Conn
	closed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return l.conn, nil
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

func (l *failingListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:1"))
}

func (l *failingListener) Close() error {
	l.closed = true
	return nil
}

// TestAcceptOutlivesErrors guards against a process that ends because one accept fails
// while it has no descriptor left, or for a connection that is already gone.
func TestAcceptOutlivesErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, other := net.Pipe()
		defer func() { _, _ = conn.Close(), other.Close() }()
		failing := &failingListener{conn: conn}
		for range 100 {
			failing.errors = append(failing.errors, syscall.EMFILE, syscall.ECONNABORTED)
		}
		logged, logs := observer.New(zap.WarnLevel)
		accepted, err := newListener(failing, zap.New(logged)).Accept()
		assert.NilError(t, err)
		assert.Equal(t, accepted, conn)
		// 200 failures, 20 ms apart.
		assert.Equal(t, logs.Len(), 4)
		assert.Equal(t, logs.All()[1].ContextMap()["failures"], int64(50))
	})
}

// TestAcceptEnds checks that Accept returns other errors at once, and ends with Close
// during a pause.
func TestAcceptEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failing := &failingListener{errors: []error{syscall.EINVAL}}
		_, err := newListener(failing, zap.NewNop()).Accept()
		assert.Assert(t, errors.Is(err, syscall.EINVAL))

		failing.errors = []error{syscall.EMFILE}
		listener := newListener(failing, zap.NewNop())
		done := make(chan error)
		go func() {
			_, err := listener.Accept()
			done <- err
		}()
		synctest.Wait()
		assert.NilError(t, listener.Close())
		assert.Assert(t, errors.Is(<-done, net.ErrClosed))
		assert.Assert(t, failing.closed)
	})
}
