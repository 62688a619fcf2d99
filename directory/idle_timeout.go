package directory

import (
	"time"

	"auburngap/peer/peerpb"
)

// streamIdleTimeout is the time without a frame after which a stream is closed.
// Nodes send heartbeats, and relays send a status of the platform every
// confirmInterval.
const streamIdleTimeout = 2 * confirmInterval

// idleTimeoutStream is a stream that closes when no frame arrives for
// streamIdleTimeout.
type idleTimeoutStream struct {
	Stream
	timer *time.Timer
}

func newIdleTimeoutStream(stream Stream) *idleTimeoutStream {
	return &idleTimeoutStream{
		Stream: stream,
		timer:  time.AfterFunc(streamIdleTimeout, func() { closeQuietly(stream) }),
	}
}

// Receive implements Stream.
func (h *idleTimeoutStream) Receive() (*peerpb.DirectoryFrame, error) {
	frame, err := h.Stream.Receive()
	if err == nil {
		h.timer.Reset(streamIdleTimeout)
	}
	return frame, err
}

// Close implements Stream.
func (h *idleTimeoutStream) Close() error {
	h.timer.Stop()
	return h.Stream.Close()
}
