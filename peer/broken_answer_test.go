package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// TestBrokenAnswers guards against a head or trailers that HTTP does not allow and that
// pass because another node has read them: one of an earlier version, while the nodes are
// replaced, takes them for sound.
func TestBrokenAnswers(t *testing.T) {
	sound := request.Header{Name: []byte("!#$%&'*+-.^_`|~9a"), Value: []byte("\xe9 a\tb")}
	field := func(name, value string) request.Header {
		return request.Header{Name: []byte(name), Value: []byte(value)}
	}
	broken := []request.Header{
		field("X Y", "1"), field("X ", "1"), field(" X", "1"), field("", "1"), field("X\x01", "1"), field("X:", "1"), field("Content- Length", "4"),
		field("X", "a\x00b"), field("X", "a\r\nY: b"), field("X", "a\nb"), field("X", "a\x7f"),
	}
	type answer struct {
		status            int
		headers, trailers []request.Header
		passes            bool
	}
	answers := []answer{
		{http.StatusOK, nil, nil, true},
		{599, []request.Header{sound}, []request.Header{sound}, true},
		{0, nil, nil, false},
		{99, nil, nil, false},
		{100, nil, nil, false},
		{199, nil, nil, false},
		{600, nil, nil, false},
		{65736, nil, nil, false},
	}
	for _, header := range broken {
		answers = append(answers, answer{http.StatusOK, []request.Header{sound, header}, nil, false}, answer{http.StatusOK, nil, []request.Header{sound, header}, false})
	}
	for _, a := range answers {
		t.Run(fmt.Sprintf("%d %q %q", a.status, a.headers, a.trailers), func(t *testing.T) {
			address := startServer(t, request.HandlerFunc(func(context.Context, *request.Call) (*request.Answer, error) {
				return &request.Answer{
					Status: a.status, Headers: a.headers, BodySize: -1, Body: io.NopCloser(strings.NewReader("body")),
					Trailers: func() []request.Header { return a.trailers },
				}, nil
			}), nil)
			got, err := newPool(t, nil).Call(t.Context(), address, newCall("x"))
			if err == nil {
				_, err = io.ReadAll(got.Body)
				assert.NilError(t, got.Body.Close())
			}
			assert.Equal(t, err == nil, a.passes, "%v", err)
			if !a.passes {
				assert.Equal(t, request.AsRefusal(err).Outcome, request.Unknown)
				assert.Equal(t, request.AsRefusal(err).Cause, request.CauseBackendFailed)
			}
		})
	}
}
