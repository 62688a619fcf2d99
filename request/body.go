package request

import (
	"bytes"
	"errors"
	"io"
)

// MaxBufferedBodyBytes is the largest size of a body that is read into memory before it
// is forwarded, so that it can be sent again.
const MaxBufferedBodyBytes = 64 << 10

// ErrBodySize means that the length of a body differs from its stated size.
var ErrBodySize = errors.New("the length of the body differs from its stated size")

// IsBufferable reports whether a body with the stated size in bytes is read into
// memory. A size of -1 means that the size is not known.
func IsBufferable(size int64) bool {
	return size >= 0 && size <= MaxBufferedBodyBytes
}

// ReadBuffered reads a body of the stated size to its end. It returns the body's own
// error, or ErrBodySize.
func ReadBuffered(body io.Reader, size int64) ([]byte, error) {
	// One more byte detects a body that is longer than stated.
	data := make([]byte, size+1)
	n, err := io.ReadFull(body, data)
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return nil, err
	}
	if int64(n) != size {
		return nil, ErrBodySize
	}
	return data[:n], nil
}

// Replay returns a function that returns data as a body, each time from its start.
// The body is nil if data is empty.
func Replay(data []byte) func() io.Reader {
	return func() io.Reader {
		if len(data) == 0 {
			return nil
		}
		return bytes.NewReader(data)
	}
}
