package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

const (
	// earlyUploadBytes is more than a stream takes before the peer reads from it.
	earlyUploadBytes = 8 << 20
	// earlyDeadline is the deadline of a call with such a body.
	earlyDeadline = 10 * time.Second
)

// newUploadCall returns a call whose body has a size, or is stated to be of size -1.
func newUploadCall(body io.Reader, size int64) *request.Call {
	call := newCall("")
	call.Body, call.BodySize, call.Replay = body, size, nil
	call.Idempotent = false
	call.Context.Deadline = time.Now().Add(earlyDeadline)
	return call
}

// TestEarlyAnswers guards against an answer or a refusal that is ready and waits until the
// deadline of its call, because the peer reads no more of the body and the caller's node
// goes on writing it.
func TestEarlyAnswers(t *testing.T) {
	refusal := request.Refuse(request.CauseOverload, request.NotRun, 0)
	handlers := map[string]request.HandlerFunc{
		"answer": func(context.Context, *request.Call) (*request.Answer, error) {
			return &request.Answer{Status: http.StatusRequestEntityTooLarge, BodySize: 8, Body: io.NopCloser(strings.NewReader("too long"))}, nil
		},
		"refusal": func(context.Context, *request.Call) (*request.Answer, error) { return nil, refusal },
		"answer to a part": func(_ context.Context, call *request.Call) (*request.Answer, error) {
			_, err := io.CopyN(io.Discard, call.Body, earlyUploadBytes/3)
			return &request.Answer{Status: http.StatusRequestEntityTooLarge, BodySize: 8, Body: io.NopCloser(strings.NewReader("too long"))}, err
		},
	}
	for name, handler := range handlers {
		for _, size := range []int64{earlyUploadBytes, -1} {
			t.Run(name, func(t *testing.T) {
				pool, address := newPool(t, nil), startServer(t, handler, nil)
				for range 3 {
					began := time.Now()
					call := newUploadCall(strings.NewReader(strings.Repeat("b", earlyUploadBytes)), size)
					ctx, cancel := context.WithDeadline(t.Context(), call.Context.Deadline)
					answer, err := pool.Call(ctx, address, call)
					if name == "refusal" {
						assert.Equal(t, request.AsRefusal(err).Cause, refusal.Cause)
						assert.Equal(t, request.AsRefusal(err).Outcome, request.NotRun)
					} else {
						assert.NilError(t, err)
						body, err := io.ReadAll(answer.Body)
						assert.NilError(t, err)
						assert.Equal(t, string(body), "too long")
						assert.NilError(t, answer.Body.Close())
					}
					cancel()
					assert.Assert(t, time.Since(began) < earlyDeadline/2, "after %v", time.Since(began))
				}
			})
		}
	}
}

// TestUploadsEnd checks that an upload that the peer reads whole arrives whole, and that
// one that breaks off, or whose call is cancelled, ends its call.
func TestUploadsEnd(t *testing.T) {
	received := make(chan int64, 1)
	address := startServer(t, request.HandlerFunc(func(_ context.Context, call *request.Call) (*request.Answer, error) {
		n, err := io.Copy(io.Discard, call.Body)
		if err != nil {
			return nil, err
		}
		received <- n
		return &request.Answer{Status: http.StatusOK, BodySize: -1, Body: io.NopCloser(strings.NewReader("done"))}, nil
	}), nil)
	pool := newPool(t, nil)
	answer, err := pool.Call(t.Context(), address, newUploadCall(strings.NewReader(strings.Repeat("b", earlyUploadBytes)), -1))
	assert.NilError(t, err)
	assert.Equal(t, <-received, int64(earlyUploadBytes))
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "done")
	assert.NilError(t, answer.Body.Close())

	half := strings.NewReader(strings.Repeat("b", earlyUploadBytes/2))
	_, err = pool.Call(t.Context(), address, newUploadCall(io.MultiReader(half, &failingReader{}), -1))
	assert.Equal(t, request.AsRefusal(err).Outcome, request.Unknown)

	ctx, cancel := context.WithCancel(t.Context())
	cancelling := io.MultiReader(strings.NewReader("b"), readerFunc(func([]byte) (int, error) {
		cancel()
		return 0, errors.New("caller left")
	}))
	_, err = pool.Call(ctx, address, newUploadCall(cancelling, -1))
	assert.Equal(t, request.AsRefusal(err).Cause, request.CauseCancelled)
}

type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
