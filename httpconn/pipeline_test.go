package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// pipelinedServer answers each request with its method, path and body after a delay,
// and lets GET requests start before their turn.
type pipelinedServer struct {
	work      time.Duration
	began     atomic.Int64
	cancelled atomic.Int64
	// streams is true if answers are written as streams.
	streams atomic.Bool
	address string

	mu sync.Mutex
	// early are the requests that began before their turn.
	early []*Early
}

func newPipelinedServer(t *testing.T, work time.Duration) *pipelinedServer {
	t.Helper()
	s := &pipelinedServer{work: work}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener, err := ListenPipelined(inner, PipelineConfig{Begin: s.begin})
	assert.NilError(t, err)
	server := NewServer(ServerConfig{Handler: s.handle, Logger: zap.NewNop()})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { assert.NilError(t, server.Shutdown()) })
	s.address = inner.Addr().String()
	return s
}

func (s *pipelinedServer) handle(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn().(*Conn)
	if early := conn.TakeEarly(); early != nil {
		early.Deliver(conn, ctx)
		return
	}
	var body []byte
	if stream := ctx.RequestBodyStream(); stream != nil {
		body, _ = io.ReadAll(stream) // if the body breaks off, the answer does not match
	}
	gone, cancel := context.WithCancel(context.Background())
	defer cancel()
	if len(body) == 0 {
		conn.Watch(cancel)
		defer conn.Unwatch()
	}
	s.answer(gone, ctx, body)
}

func (s *pipelinedServer) begin(head []byte) *Early {
	s.began.Add(1)
	var in fasthttp.Request
	if err := in.Read(bufio.NewReader(bytes.NewReader(head))); err != nil {
		return nil
	}
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&in, nil, nil)
	early := NewEarly(context.Background())
	s.mu.Lock()
	s.early = append(s.early, early)
	s.mu.Unlock()
	go func() {
		s.answer(early.Context, ctx, nil)
		early.Finish(&ctx.Response)
	}()
	return early
}

func (s *pipelinedServer) answer(gone context.Context, ctx *fasthttp.RequestCtx, body []byte) {
	select {
	case <-time.After(s.work):
	case <-gone.Done():
		s.cancelled.Add(1)
	}
	text := string(ctx.Method()) + " " + string(ctx.Path()) + " " + string(body)
	if s.streams.Load() {
		ctx.SetBodyStream(strings.NewReader(text), -1)
		return
	}
	ctx.SetBodyString(text)
}

// exchange writes the pieces and reads the given number of answers.
func (s *pipelinedServer) exchange(t *testing.T, pieces []string, answers int) []string {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer conn.Close()
	go func() {
		for _, piece := range pieces {
			_, _ = io.WriteString(conn, piece)
			time.Sleep(time.Millisecond)
		}
	}()
	reader := bufio.NewReader(conn)
	var got []string
	for range answers {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		got = append(got, string(body))
	}
	return got
}

func getRequest(i int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i) }

func postRequest(i int) string {
	return fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", i)
}

func chunkedRequest(i int) string {
	return fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", i)
}

// TestAnswersInRequestOrder sends requests of all kinds, whole, in pieces and many
// at once: each gets its own answer, in the order of the requests.
func TestAnswersInRequestOrder(t *testing.T) {
	s := newPipelinedServer(t, 5*time.Millisecond)
	kinds := map[byte]func(int) string{'g': getRequest, 'p': postRequest, 'c': chunkedRequest}
	for _, mix := range []string{"g", "ggg", "gggggggggggggggggggg", "pgg", "gpg", "ggpggcgg", "cg", "ppp"} {
		var text strings.Builder
		var want []string
		for i := range mix {
			text.WriteString(kinds[mix[i]](i))
			if mix[i] == 'g' {
				want = append(want, fmt.Sprintf("GET /%d ", i))
			} else {
				want = append(want, fmt.Sprintf("POST /%d body", i))
			}
		}
		whole := text.String()
		assert.DeepEqual(t, s.exchange(t, []string{whole}, len(mix)), want)
		var bytewise, chunked []string
		for i := range whole {
			bytewise = append(bytewise, whole[i:i+1])
		}
		for i := 0; i < len(whole); i += 37 {
			chunked = append(chunked, whole[i:min(len(whole), i+37)])
		}
		if len(whole) < 400 {
			assert.DeepEqual(t, s.exchange(t, bytewise, len(mix)), want)
		}
		assert.DeepEqual(t, s.exchange(t, chunked, len(mix)), want)
	}
}

// TestPipelinedRequestsRunConcurrently covers a caller that sends further requests
// before the first is answered.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	const work = 200 * time.Millisecond
	s := newPipelinedServer(t, work)
	began := time.Now()
	s.exchange(t, []string{getRequest(0), getRequest(1), getRequest(2), getRequest(3)}, 4)
	assert.Assert(t, time.Since(began) < 2*work, "four requests took %v", time.Since(began))
}

// TestAnsweredRequestsEnd guards against requests that began before their turn and stay
// registered with what can end them all, so that memory grows with each.
func TestAnsweredRequestsEnd(t *testing.T) {
	for _, streams := range []bool{false, true} {
		s := newPipelinedServer(t, time.Millisecond)
		s.streams.Store(streams)
		s.exchange(t, []string{getRequest(0) + getRequest(1) + getRequest(2)}, 3)
		s.mu.Lock()
		assert.Assert(t, len(s.early) > 0)
		for _, early := range s.early {
			select {
			case <-early.Context.Done():
			case <-time.After(2 * time.Second):
				t.Errorf("a request has not ended (stream: %v)", streams)
			}
		}
		s.mu.Unlock()
	}
}

// TestDisconnectCancelsRequests closes the connection while requests run: all are
// cancelled.
func TestDisconnectCancelsRequests(t *testing.T) {
	s := newPipelinedServer(t, 10*time.Second)
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, getRequest(0)+getRequest(1)+getRequest(2))
	assert.NilError(t, err)
	for s.began.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * watchDelay)
	assert.NilError(t, conn.Close())
	disconnected := time.Now()
	for s.cancelled.Load() < 3 {
		assert.Assert(t, time.Since(disconnected) < 2*time.Second, "%d cancelled", s.cancelled.Load())
		time.Sleep(time.Millisecond)
	}
}

// TestEarlyRequestsAreBounded checks the bound of the requests that run before their
// turn.
func TestEarlyRequestsAreBounded(t *testing.T) {
	s := newPipelinedServer(t, 300*time.Millisecond)
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer conn.Close()
	for i := range 50 {
		_, err := io.WriteString(conn, getRequest(i))
		assert.NilError(t, err)
	}
	time.Sleep(150 * time.Millisecond)
	assert.Equal(t, s.began.Load(), int64(maxEarly))
}
