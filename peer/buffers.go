package peer

import "sync"

// mostKeptBytes bounds the buffers that are kept for later frames.
const mostKeptBytes = 2 * MaxBodyFrameBytes

var buffers = sync.Pool{New: func() any {
	buf := make([]byte, 0, readBufferBytes)
	return &buf
}}

// takeBuffer returns an empty buffer that giveBuffer takes back.
func takeBuffer() []byte {
	return (*buffers.Get().(*[]byte))[:0]
}

// keepSmall empties a buffer to be used again by its owner; a large one is freed, and
// the result is nil.
func keepSmall(buf []byte) []byte {
	if cap(buf) <= readBufferBytes {
		return buf[:0]
	}
	giveBuffer(buf)
	return nil
}

// giveBuffer frees a buffer, which must not be used any more.
func giveBuffer(buf []byte) {
	if cap(buf) > 0 && cap(buf) <= mostKeptBytes {
		buffers.Put(&buf)
	}
}
