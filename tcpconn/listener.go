package tcpconn

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptPause is the time between a failed accept and the next.
	acceptPause = 20 * time.Millisecond
	// acceptLogInterval is the shortest time between two log lines about failed accepts.
	acceptLogInterval = time.Second
)

// transientErrors are the errors of an accept after which a later one may succeed: the
// connection is gone already, or the process or the machine lacks descriptors or memory.
var transientErrors = []error{
	syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
}

// Listen listens on a TCP address. Accept fails only once the listener is closed or can't
// accept any more: it tries again after an error that may pass, which is logged.
func Listen(address netip.AddrPort, logger *zap.Logger) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	return newListener(listener, logger), nil
}

type retryingListener struct {
	net.Listener
	logger *zap.Logger
	closed chan struct{}
	once   sync.Once

	mu sync.Mutex
	// failures counts the failed accepts since loggedAt, when the last one was logged.
	failures int
	loggedAt time.Time
}

func newListener(listener net.Listener, logger *zap.Logger) *retryingListener {
	return &retryingListener{Listener: listener, logger: logger, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return conn, err
		}
		l.log(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(acceptPause):
		}
	}
}

// Close implements net.Listener.
func (l *retryingListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// log logs a failed accept, with the number of those since the last line.
func (l *retryingListener) log(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	if now := time.Now(); now.Sub(l.loggedAt) >= acceptLogInterval {
		l.logger.Warn("tcp: accept failed, trying again",
			zap.Stringer("address", l.Addr()), zap.Int("failures", l.failures), zap.String("error", err.Error()))
		l.failures, l.loggedAt = 0, now
	}
}

func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
