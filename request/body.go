package request

import (
	"bytes"
	"errors"
	"io"
)

// SmallBodyBytes is the size up to which a body is read whole before it is
// passed on, so that it can be sent again.
const SmallBodyBytes = 64 << 10

// ErrBodySize means that a body did not end with its stated size.
var ErrBodySize = errors.New("body is not of its stated size")

// IsSmall tells whether a body of a stated size in bytes is read whole; -1 is
// not known.
func IsSmall(size int64) bool {
	return size >= 0 && size <= SmallBodyBytes
}

// ReadSmall reads a body whole, up to its end. It returns the body's own error,
// or ErrBodySize.
func ReadSmall(body io.Reader, size int64) ([]byte, error) {
	// One byte more tells of a body that is longer than was stated.
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

// Replay returns a function that returns data as a body from its start; the
// body is nil where data is empty.
func Replay(data []byte) func() io.Reader {
	return func() io.Reader {
		if len(data) == 0 {
			return nil
		}
		return bytes.NewReader(data)
	}
}
