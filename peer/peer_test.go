package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/request"
)

func identity(vm string) Identity {
	return Identity{VM: vm, Zone: "palermo", Incarnation: uuid.MustParse("01890000-0000-7000-8000-000000000001")}
}

// startServer serves calls with handler and returns the server's address.
func startServer(t *testing.T, handler request.Handler, config *tls.Config) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(ServerConfig{Self: identity("server"), TLS: config, Calls: handler, Logger: zap.NewNop()})
	done := make(chan error, 1)
	go func() { done <- server.Serve(t.Context(), listener) }()
	t.Cleanup(func() { assert.NilError(t, <-done) })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// acceptAll serves each connection to a new address until the test ends.
func acceptAll(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func newPool(t *testing.T, config *tls.Config) *Pool {
	t.Helper()
	pool := NewPool(PoolConfig{Self: identity("client"), TLS: config, Logger: zap.NewNop()})
	t.Cleanup(pool.Close)
	return pool
}

func newCall(body string) *request.Call {
	call := &request.Call{
		Context:  request.Context{ID: uuid.New(), Workspace: "school", Priority: 2, Deadline: time.Now().Add(5 * time.Second), RetryBudget: 3},
		Service:  "orders",
		Method:   "POST",
		URI:      []byte("/42?x=1"),
		Headers:  []request.Header{{Name: []byte("X-Mug"), Value: []byte("blue")}},
		BodySize: int64(len(body)),
	}
	if body != "" {
		call.Body = strings.NewReader(body)
	}
	return call
}

// echo answers with the call's body, a header and a trailer.
func echo(_ context.Context, call *request.Call) (*request.Answer, error) {
	var body []byte
	if call.Body != nil {
		var err error
		if body, err = io.ReadAll(call.Body); err != nil {
			return nil, request.Refuse(request.CauseBadRequest, request.Unknown, 0)
		}
	}
	return &request.Answer{
		Status:   200,
		Headers:  append(call.Headers, request.Header{Name: []byte("X-Uri"), Value: call.URI}),
		Body:     io.NopCloser(bytes.NewReader(body)),
		BodySize: int64(len(body)),
		Trailers: func() []request.Header { return []request.Header{{Name: []byte("X-Sum"), Value: []byte("1")}} },
		Report:   func() request.Report { return request.Report{UnspentRetries: 2, DownstreamCalls: 7} },
	}, nil
}

func TestCallRoundTrip(t *testing.T) {
	cases := []struct {
		name string
		size int
	}{{"no body", 0}, {"small body", 100}, {"a full frame", MaxBodyFrameBytes}, {"streamed body", 3 << 20}}
	address := startServer(t, request.HandlerFunc(echo), nil)
	pool := newPool(t, nil)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sent := strings.Repeat("m", c.size)
			answer, err := pool.Call(t.Context(), address, newCall(sent))
			assert.NilError(t, err)
			got, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Assert(t, string(got) == sent)
			assert.Equal(t, answer.Status, 200)
			assert.Equal(t, string(answer.Headers[1].Value), "/42?x=1")
			assert.Equal(t, string(answer.Trailers()[0].Value), "1")
			assert.Equal(t, answer.Report().UnspentRetries, 2)
			assert.Equal(t, answer.Report().DownstreamCalls, 7)
			assert.NilError(t, answer.Body.Close())
		})
	}
}

// TestConcurrentAnswersMatchCalls sends many calls at once whose answers are delayed
// and arrive in another order.
func TestConcurrentAnswersMatchCalls(t *testing.T) {
	late := request.HandlerFunc(func(ctx context.Context, call *request.Call) (*request.Answer, error) {
		time.Sleep(time.Duration(call.Context.ID[15]%8) * time.Millisecond)
		return echo(ctx, call)
	})
	address := startServer(t, late, nil)
	pool := newPool(t, nil)
	var group sync.WaitGroup
	for range 200 {
		group.Go(func() {
			call := newCall("")
			call.Body = strings.NewReader(call.Context.ID.String())
			call.BodySize = 36
			answer, err := pool.Call(t.Context(), address, call)
			if err != nil {
				t.Error(err)
				return
			}
			got, err := io.ReadAll(answer.Body)
			if err != nil || string(got) != call.Context.ID.String() {
				t.Errorf("got %q, %v", got, err)
			}
			_ = answer.Body.Close()
		})
	}
	group.Wait()
}

// TestStreamsAreReused sends calls one after the other, among them refused ones,
// which end their stream.
func TestStreamsAreReused(t *testing.T) {
	refuses := request.HandlerFunc(func(ctx context.Context, call *request.Call) (*request.Answer, error) {
		if call.Service == "refused" {
			return nil, request.Refuse(request.CauseOverload, request.NotRun, 0)
		}
		return echo(ctx, call)
	})
	address := startServer(t, refuses, nil)
	pool := newPool(t, nil)
	for i := range 20 {
		call := newCall("three mugs")
		if i%5 == 4 {
			call.Service = "refused"
			_, err := pool.Call(t.Context(), address, call)
			assert.Equal(t, request.AsRefusal(err).Cause, request.CauseOverload)
			continue
		}
		answer, err := pool.Call(t.Context(), address, call)
		assert.NilError(t, err)
		got, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "three mugs")
		assert.NilError(t, answer.Body.Close())
		session, err := pool.session(t.Context(), address)
		assert.NilError(t, err)
		assert.Equal(t, len(session.idle.streams), 1)
	}
}

func TestCancellationReachesPeer(t *testing.T) {
	entered := make(chan struct{})
	cancelled := make(chan struct{})
	waits := request.HandlerFunc(func(ctx context.Context, _ *request.Call) (*request.Answer, error) {
		close(entered)
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	})
	address := startServer(t, waits, nil)
	pool := newPool(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	_, err := pool.Call(ctx, address, newCall("mug"))
	var refusal *request.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Cause, request.CauseCancelled)
	assert.Equal(t, refusal.Outcome, request.Unknown)
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the cancellation did not reach the other node")
	}
}

// TestBrokenBody checks that an answer that breaks off is never taken for a complete one.
func TestBrokenBody(t *testing.T) {
	breaks := request.HandlerFunc(func(ctx context.Context, call *request.Call) (*request.Answer, error) {
		answer, err := echo(ctx, call)
		answer.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), &failingReader{}))
		answer.BodySize = -1
		return answer, err
	})
	address := startServer(t, breaks, nil)
	answer, err := newPool(t, nil).Call(t.Context(), address, newCall("x"))
	assert.NilError(t, err)
	got, err := io.ReadAll(answer.Body)
	assert.Equal(t, string(got), "half")
	assert.Assert(t, err != nil)
	assert.NilError(t, answer.Body.Close())
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection lost") }

// TestBadFrames checks that a bad frame ends only its own stream.
func TestBadFrames(t *testing.T) {
	cases := []struct {
		name  string
		bytes []byte
	}{
		{"oversized", []byte{byte(KindCall), 0xff, 0xff, 0xff, 0xff}},
		{"unknown kind", []byte{200, 0, 0, 0, 0}},
		{"not a message", []byte{byte(KindCall), 0, 0, 0, 3, 0xff, 0xff, 0xff}},
		{"no context", []byte{byte(KindCall), 0, 0, 0, 0}},
		{"truncated", []byte{byte(KindCall), 0, 0}},
	}
	address := startServer(t, request.HandlerFunc(echo), nil)
	pool := newPool(t, nil)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stream, err := pool.OpenStream(t.Context(), address)
			assert.NilError(t, err)
			_, err = stream.Write(c.bytes)
			assert.NilError(t, err)
			if c.name == "truncated" {
				assert.NilError(t, stream.Close())
			}
			assert.NilError(t, stream.SetReadDeadline(time.Now().Add(5*time.Second)))
			_, err = stream.Read(make([]byte, 1))
			assert.Assert(t, err != nil)
			answer, err := pool.Call(t.Context(), address, newCall("still served"))
			assert.NilError(t, err)
			assert.NilError(t, answer.Body.Close())
		})
	}
}

// TestBodySizeMismatch checks that a small call does not run if its body is shorter
// or longer than its stated size.
func TestBodySizeMismatch(t *testing.T) {
	handler := request.HandlerFunc(func(context.Context, *request.Call) (*request.Answer, error) {
		t.Error("the call has run")
		return nil, request.Refuse(request.CauseBadRequest, request.Unknown, 0)
	})
	address := startServer(t, handler, nil)
	pool := newPool(t, nil)
	for _, size := range []int64{0, 4, 6} {
		call := newCall("three")
		call.BodySize = size
		_, err := pool.Call(t.Context(), address, call)
		assert.Equal(t, request.AsRefusal(err).Cause, request.CauseBackendFailed)
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	_, err = newPool(t, nil).Call(t.Context(), address, newCall("x"))
	refusal := request.AsRefusal(err)
	assert.Equal(t, refusal.Outcome, request.NotRun)
	assert.Equal(t, refusal.Report.UnspentRetries, 3)
}

func TestMutualTLS(t *testing.T) {
	trusted, untrusted := newTLSConfig(t), newTLSConfig(t)
	address := startServer(t, request.HandlerFunc(echo), trusted)
	cases := []struct {
		name   string
		config *tls.Config
		ok     bool
	}{{"same authority", trusted, true}, {"another authority", untrusted, false}, {"plain", nil, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer, err := newPool(t, c.config).Call(t.Context(), address, newCall("x"))
			assert.Equal(t, err == nil, c.ok)
			if err == nil {
				assert.NilError(t, answer.Body.Close())
			}
		})
	}
}

func FuzzFrames(f *testing.F) {
	f.Add([]byte{byte(KindCall), 0, 0, 0, 1, 0})
	f.Add([]byte{byte(KindBody), 0, 0, 0, 3, 'm', 'u', 'g', byte(KindEnd), 0, 0, 0, 0})
	f.Add([]byte{byte(KindEnd), 0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		body := &bodyReader{frames: NewFrameReader(bytes.NewReader(data))}
		got, err := io.ReadAll(body)
		if len(got) > len(data) {
			t.Fatal("more bytes than were sent")
		}
		if err == nil && !body.ended {
			t.Fatal("a body without an End frame was taken for complete")
		}
	})
}

// TestRedialDoesNotBlockCalls opens streams to a node that accepts connections and
// sends nothing, as one that is cut off: after the first dial has failed, no call
// waits for later dials to end.
func TestRedialDoesNotBlockCalls(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	address := netip.MustParseAddrPort(listener.Addr().String())
	pool := newPool(t, nil)
	_, err = pool.OpenStream(t.Context(), address)
	assert.Assert(t, errorx.IsOfType(err, ErrUnreachable), "%v", err)
	time.Sleep(redialDelay)
	for range 3 {
		began := time.Now()
		_, err = pool.OpenStream(t.Context(), address)
		assert.Assert(t, errorx.IsOfType(err, ErrUnreachable), "%v", err)
		assert.Assert(t, time.Since(began) < Timing{}.withDefaults().HelloTimeout/2)
	}
}
