package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// The lengths of a response without a stated length, as the library returns them.
const (
	// LengthChunked is that of a body in chunks.
	LengthChunked = -1
	// LengthUnknown is that of a body that ends with its connection.
	LengthUnknown = -2
)

// HasBody reports whether a final response to a request of a method has a body.
func HasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// Body is the body that follows the head of a response. Its Read returns io.EOF only once
// the body has ended as its head says, and ErrBroken if it cannot.
type Body struct {
	reader *bufio.Reader
	header *fasthttp.ResponseHeader
	// source reads the body without its framing.
	source io.Reader
	// size is in bytes, or one of the constants above.
	size int64
	// read is the number of bytes read.
	read int64
	// err is the last error of Read.
	err error
}

// NewBody returns the body that follows a head. Its trailers are added to the head when it
// has ended.
func NewBody(reader *bufio.Reader, header *fasthttp.ResponseHeader) *Body {
	b := &Body{reader: reader, header: header, size: int64(header.ContentLength())}
	switch b.size {
	case LengthChunked:
		b.source = httputil.NewChunkedReader(reader)
	case LengthUnknown:
		b.source = reader
	default:
		b.source = io.LimitReader(reader, b.size)
	}
	return b
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	switch {
	case b.read == b.size:
		b.err = io.EOF
	case errors.Is(err, io.EOF):
		b.err = b.end()
	case err != nil:
		b.err = bodyError(err)
	}
	return n, b.err
}

// end returns the error of a body whose source has ended: io.EOF if it is whole.
func (b *Body) end() error {
	switch {
	case b.size == LengthChunked:
		return b.readTrailers()
	case b.read < b.size:
		return ErrBroken.New("body cut after %d of %d bytes", b.read, b.size)
	}
	return io.EOF
}

// readTrailers reads what follows the last chunk. It returns io.EOF if that is sound.
func (b *Body) readTrailers() error {
	if err := awaitSection(b.reader, checkField); err != nil {
		return bodyError(err)
	}
	if err := b.header.ReadTrailer(b.reader); err != nil {
		return ErrBroken.New("trailers: %.200v", err)
	}
	return io.EOF
}

// bodyError returns the error of a body that does not end as its head says. Errors of the
// connection other than its end, such as a timeout, stay as they are.
func bodyError(err error) error {
	var ofConn net.Error
	if IsBroken(err) || errors.As(err, &ofConn) && !isCut(err) {
		return err
	}
	return ErrBroken.New("body: %.200v", err)
}
