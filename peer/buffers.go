package peer

import "sync"

// maxPooledBytes is the capacity of the largest buffer that is kept for later frames.
const maxPooledBytes = 2 * MaxBodyFrameBytes

var buffers = sync.Pool{New: func() any {
	buf := make([]byte, 0, readBufferBytes)
	return &buf
}}

// getBuffer returns an empty buffer; putBuffer returns it to the pool.
func getBuffer() []byte {
	return (*buffers.Get().(*[]byte))[:0]
}

// resetOrRelease empties a small buffer for reuse by its owner. It releases a
// large one and returns nil.
func resetOrRelease(buf []byte) []byte {
	if cap(buf) <= readBufferBytes {
		return buf[:0]
	}
	putBuffer(buf)
	return nil
}

// putBuffer releases a buffer, which must not be used afterwards.
func putBuffer(buf []byte) {
	if cap(buf) > 0 && cap(buf) <= maxPooledBytes {
		buffers.Put(&buf)
	}
}
