package httpconn

import (
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"auburngap/request"
)

// ErrTruncated means that a body ended before its stated size.
var ErrTruncated = errors.New("body ended before its stated size")

// Body is an incoming body. A small body is read whole.
type Body struct {
	// Reader is nil if there is no body.
	Reader io.Reader
	// Size is in bytes, or -1 if it is not known beforehand.
	Size int64
	// Replay returns a new reader from the body's start; nil for a streamed body.
	Replay func() io.Reader
}

// ReadBody returns the body of the stated size that stream carries.
func ReadBody(stream io.Reader, size int64) (Body, error) {
	if stream == nil || size == 0 {
		return Body{Replay: request.Replay(nil)}, nil
	}
	if !request.IsBufferable(size) {
		return Body{Reader: &countingReader{in: stream, remaining: size}, Size: size}, nil
	}
	data, err := request.ReadBuffered(stream, size)
	if err != nil {
		return Body{}, ErrTruncated
	}
	replay := request.Replay(data)
	return Body{Reader: replay(), Size: size, Replay: replay}, nil
}

// Prefixed is a body whose first part was read already.
type Prefixed struct {
	io.Reader
	io.Closer
}

// ReadUnsized returns the body of unknown size that stream carries. A small body is
// read whole; a larger one is streamed.
func ReadUnsized(stream io.Reader) (Body, error) {
	data, err := io.ReadAll(io.LimitReader(stream, request.MaxBufferedBodyBytes+1))
	if err != nil {
		return Body{}, ErrTruncated
	}
	if len(data) > request.MaxBufferedBodyBytes {
		return Body{Reader: io.MultiReader(bytes.NewReader(data), stream), Size: -1}, nil
	}
	replay := request.Replay(data)
	return Body{Reader: replay(), Size: int64(len(data)), Replay: replay}, nil
}

// countingReader returns ErrTruncated if a sized body ends early.
type countingReader struct {
	in        io.Reader
	remaining int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.in.Read(p)
	if c.remaining < 0 {
		return n, err
	}
	c.remaining -= int64(n)
	if errors.Is(err, io.EOF) && c.remaining > 0 {
		return n, ErrTruncated
	}
	if c.remaining <= 0 && err == nil {
		c.remaining = 0
		return n, io.EOF
	}
	return n, err
}

// headerSetter is implemented by the headers of requests and responses.
type headerSetter interface {
	AddBytesKV(key, value []byte)
	SetBytesKV(key, value []byte)
	AddTrailerBytes(trailer []byte) error
}

// AddHeaders adds headers to an outgoing head. The names in a Trailer header are
// announced as trailers; names that may not be trailers are left out.
func AddHeaders(to headerSetter, headers []request.Header) {
	for _, h := range headers {
		if bytes.EqualFold(h.Name, []byte(fasthttp.HeaderTrailer)) {
			_ = to.AddTrailerBytes(h.Value)
			continue
		}
		to.AddBytesKV(h.Name, h.Value)
	}
}

// WithTrailers returns a body that sets its trailers on the outgoing head when it ends.
func WithTrailers(body io.Reader, trailers func() []request.Header, to headerSetter) io.Reader {
	if body == nil || trailers == nil {
		return body
	}
	return &trailerReader{in: body, trailers: trailers, to: to}
}

type trailerReader struct {
	in       io.Reader
	trailers func() []request.Header
	to       headerSetter
}

// Read implements io.Reader.
func (t *trailerReader) Read(p []byte) (int, error) {
	n, err := t.in.Read(p)
	if errors.Is(err, io.EOF) {
		for _, h := range t.trailers() {
			t.to.SetBytesKV(h.Name, h.Value)
		}
	}
	return n, err
}

// Close closes the body if it implements io.Closer.
func (t *trailerReader) Close() error { return closeBody(t.in) }

// closeBody closes a body if it implements io.Closer.
func closeBody(body io.Reader) error {
	if closer, ok := body.(io.Closer); ok {
		return closer.Close()
	}
	return nil
}

// trailerSource is implemented by the headers of requests and responses.
type trailerSource interface {
	PeekTrailerKeys() [][]byte
	PeekBytes(key []byte) []byte
}

// Trailers returns the trailers of an incoming message whose body has ended.
func Trailers(from trailerSource) []request.Header {
	keys := from.PeekTrailerKeys()
	trailers := make([]request.Header, 0, len(keys))
	for _, key := range keys {
		if IsHop(key) || IsOwn(key) {
			continue
		}
		trailers = append(trailers, request.Header{
			Name:  bytes.Clone(key),
			Value: bytes.Clone(from.PeekBytes(key)),
		})
	}
	return trailers
}
