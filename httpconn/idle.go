package httpconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"auburngap/tcpconn"
)

const (
	// defaultIdleDelay is how long a connection is idle before it goes to the poller.
	defaultIdleDelay = time.Second
	// sweepsPerTimeout is the number of checks for expired connections in one idle timeout.
	sweepsPerTimeout = 8
	// maxEvents is the most readable connections that one system call returns.
	maxEvents = 64
)

// idleConns holds idle connections and waits for all of them in one goroutine. It
// uses its own epoll instance, which the runtime's poller polls in turn.
type idleConns struct {
	idleDelay time.Duration
	timeout   time.Duration
	// wake is called with a connection that has become readable or was closed by the caller.
	wake   func(net.Conn)
	poller *os.File
	raw    syscall.RawConn

	mu     sync.Mutex
	conns  map[int32]idleConn
	closed bool
}

type idleConn struct {
	net.Conn
	since time.Time
}

func newIdleConns(idleDelay, timeout time.Duration, wake func(net.Conn)) (*idleConns, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	// The runtime polls only non-blocking descriptors.
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, errors.Join(os.NewSyscallError("fcntl", err), syscall.Close(fd))
	}
	r := &idleConns{
		idleDelay: idleDelay,
		timeout:   timeout,
		wake:      wake,
		poller:    os.NewFile(uintptr(fd), "idle connections"),
		conns:     make(map[int32]idleConn),
	}
	raw, err := r.poller.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, r.poller.Close())
	}
	r.raw = raw
	go r.run()
	return r, nil
}

// add adds a connection to the poller, or closes it if that fails.
func (r *idleConns) add(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || conn.SetReadDeadline(time.Time{}) != nil || r.register(conn) != nil {
		_ = conn.Close()
	}
}

func (r *idleConns) register(conn net.Conn) error {
	return withDescriptor(conn, func(fd int) error {
		// Input that arrived before the registration is reported too.
		event := syscall.EpollEvent{Events: syscall.EPOLLIN | syscall.EPOLLRDHUP | syscall.EPOLLONESHOT, Fd: int32(fd)}
		if err := r.pollerControl(syscall.EPOLL_CTL_ADD, fd, &event); err != nil {
			return err
		}
		r.conns[int32(fd)] = idleConn{Conn: conn, since: time.Now()}
		return nil
	})
}

func (r *idleConns) pollerControl(operation, fd int, event *syscall.EpollEvent) error {
	var result error
	err := r.raw.Control(func(poller uintptr) {
		result = syscall.EpollCtl(int(poller), operation, fd, event)
	})
	return errors.Join(err, result)
}

// withDescriptor runs f with the descriptor of a connection, which may use TLS.
func withDescriptor(conn net.Conn, f func(fd int) error) error {
	source, ok := tcpconn.Raw(conn).(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) { result = f(int(fd)) })
	return errors.Join(err, result)
}

// run wakes connections until close.
func (r *idleConns) run() {
	var events [maxEvents]syscall.EpollEvent
	for {
		count, err := r.wait(events[:])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.expire(time.Now())
			continue
		}
		if err != nil {
			return
		}
		for _, event := range events[:count] {
			if conn := r.take(event.Fd); conn != nil {
				r.wake(conn)
			}
		}
	}
}

// wait returns once connections are readable, or with os.ErrDeadlineExceeded when
// expired connections are to be closed.
func (r *idleConns) wait(events []syscall.EpollEvent) (int, error) {
	if r.timeout > 0 {
		if err := r.poller.SetReadDeadline(time.Now().Add(r.timeout / sweepsPerTimeout)); err != nil {
			return 0, err
		}
	}
	count := 0
	var failed error
	err := r.raw.Read(func(fd uintptr) bool {
		count, failed = syscall.EpollWait(int(fd), events, 0)
		if errors.Is(failed, syscall.EINTR) {
			count, failed = 0, nil
		}
		return count > 0 || failed != nil
	})
	return max(count, 0), errors.Join(err, failed)
}

// take removes a connection from the poller and returns it, or nil if it was removed
// already or the removal fails.
func (r *idleConns) take(fd int32) net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	conn, ok := r.conns[fd]
	if !ok {
		return nil
	}
	delete(r.conns, fd)
	if err := r.pollerControl(syscall.EPOLL_CTL_DEL, int(fd), nil); err != nil {
		_ = conn.Close()
		return nil
	}
	return conn.Conn
}

// expire closes the connections that have been idle for too long.
func (r *idleConns) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for fd, conn := range r.conns {
		if r.idleDelay+now.Sub(conn.since) >= r.timeout {
			delete(r.conns, fd)
			// Closing it removes it from the poller.
			_ = conn.Close()
		}
	}
}

// close closes all connections. Connections that are added later are closed at once.
func (r *idleConns) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for fd, conn := range r.conns {
		delete(r.conns, fd)
		_ = conn.Close()
	}
	_ = r.poller.Close()
}
