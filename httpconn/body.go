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

// Body is an incoming body, read whole where it is small.
type Body struct {
	// Reader is nil where there is no body.
	Reader io.Reader
	// Size is in bytes, or -1 where it is not known beforehand.
	Size int64
	// Replay returns the body from its start again; nil for a streamed body.
	Replay func() io.Reader
}

// ReadBody returns the body behind a stream of the stated size.
func ReadBody(stream io.Reader, size int64) (Body, error) {
	if stream == nil || size == 0 {
		return Body{Replay: request.Replay(nil)}, nil
	}
	if !request.IsBufferable(size) {
		return Body{Reader: &countingReader{in: stream, left: size}, Size: size}, nil
	}
	data, err := request.ReadBuffered(stream, size)
	if err != nil {
		return Body{}, ErrTruncated
	}
	replay := request.Replay(data)
	return Body{Reader: replay(), Size: size, Replay: replay}, nil
}

// Prefixed is a body of which the first part was read already.
type Prefixed struct {
	io.Reader
	io.Closer
}

// ReadUnsized returns the body behind a stream of unknown size: whole where it
// turns out to be small, else as a stream.
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

// countingReader turns an early end of a sized body into an error.
type countingReader struct {
	in   io.Reader
	left int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.in.Read(p)
	if c.left < 0 {
		return n, err
	}
	c.left -= int64(n)
	if errors.Is(err, io.EOF) && c.left > 0 {
		return n, ErrTruncated
	}
	if c.left <= 0 && err == nil {
		c.left = 0
		return n, io.EOF
	}
	return n, err
}

// headerSetter is what request and response headers have in common.
type headerSetter interface {
	AddBytesKV(key, value []byte)
	SetBytesKV(key, value []byte)
	AddTrailerBytes(trailer []byte) error
}

// AddHeaders writes headers onto an outgoing head; a Trailer header announces
// its names. Names that may not be trailers are left out.
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

// Close implements io.Closer where the body does.
func (t *trailerReader) Close() error {
	if closer, ok := t.in.(io.Closer); ok {
		return closer.Close()
	}
	return nil
}

// trailerSource is what request and response headers have in common.
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
