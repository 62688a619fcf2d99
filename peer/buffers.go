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

// giveBuffer frees a buffer, which must not be used any more.
func giveBuffer(buf []byte) {
	if cap(buf) > 0 && cap(buf) <= mostKeptBytes {
		buffers.Put(&buf)
	}
}
