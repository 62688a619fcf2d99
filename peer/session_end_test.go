package peer

import (
	"io"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"
)

const (
	// waitingStreams is how many streams of a session wait when it ends.
	waitingStreams = 300
	// slowClose is how long a slowConn takes to close.
	slowClose = 400 * time.Millisecond
)

// slowConn is a connection whose Close takes slowClose, as on a busy machine.
type slowConn struct {
	net.Conn
	// closed is closed once the connection is.
	closed chan struct{}
}

// Close implements net.Conn.
func (c slowConn) Close() error {
	defer close(c.closed)
	time.Sleep(slowClose)
	return c.Conn.Close()
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// connPair returns the two ends of a TCP connection.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.Check(t, listener.Close()) }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// holdOpen opens a session on the far end of a connection and reads what arrives,
// without an answer.
func holdOpen(t *testing.T, far net.Conn) {
	session, err := open(far, identity("far"), Timing{}.withDefaults(), withoutKeepAlive(yamux.Server))
	assert.Check(t, err)
	for err == nil {
		var stream net.Conn
		if stream, err = session.acceptStream(); err == nil {
			go func() { _, _ = io.Copy(io.Discard, stream) }()
		}
	}
}

// TestEndedSessionDoesNotSpin: a session ended while calls waited for their peer. Until its
// connection was closed, the waiting readers used all the processor time of a node with one
// core, so that the close itself had to wait for its turn among them.
func TestEndedSessionDoesNotSpin(t *testing.T) {
	ends := map[string]func(session *Session, far *net.TCPConn){
		"closed here": func(session *Session, _ *net.TCPConn) { _ = session.Close() },
		"reset by the peer": func(_ *Session, far *net.TCPConn) {
			assert.Check(t, far.SetLinger(0))
			assert.Check(t, far.Close())
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			near, far := connPair(t)
			go holdOpen(t, far)
			closed := make(chan struct{})
			session, err := open(slowConn{near, closed}, identity("near"), Timing{}.withDefaults(), withoutKeepAlive(dialMux))
			assert.NilError(t, err)
			var waiting sync.WaitGroup
			for range waitingStreams {
				stream, err := session.OpenStream(t.Context())
				assert.NilError(t, err)
				waiting.Go(func() {
					_, err := stream.Read(make([]byte, 1))
					assert.Check(t, err == io.EOF, "%v", err)
				})
			}
			time.Sleep(50 * time.Millisecond)
			startedAt, before := time.Now(), processorTime(t)
			end(session, far)
			<-closed
			waiting.Wait()
			took, used := time.Since(startedAt), processorTime(t)-before
			t.Logf("ended after %v, processor time %v", took, used)
			assert.Check(t, took < 2*slowClose, "%v", took)
			assert.Check(t, used < slowClose/4, "processor time: %v", used)
		})
	}
}
