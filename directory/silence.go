package directory

import (
	"time"

	"auburngap/peer/peerpb"
)

// silentAfter is the time without a frame after which a stream is given up:
// nodes send heartbeats, and relays word of the platform each wordInterval.
const silentAfter = 2 * wordInterval

// heardStream is a stream that closes once nothing comes for silentAfter.
type heardStream struct {
	Stream
	silence *time.Timer
}

func newHeardStream(stream Stream) *heardStream {
	return &heardStream{
		Stream:  stream,
		silence: time.AfterFunc(silentAfter, func() { closeQuietly(stream) }),
	}
}

// Receive implements Stream.
func (h *heardStream) Receive() (*peerpb.DirectoryFrame, error) {
	frame, err := h.Stream.Receive()
	if err == nil {
		h.silence.Reset(silentAfter)
	}
	return frame, err
}

// Close implements Stream.
func (h *heardStream) Close() error {
	h.silence.Stop()
	return h.Stream.Close()
}
