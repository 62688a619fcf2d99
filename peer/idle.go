package peer

import (
	"net"
	"sync"
	"time"
)

const (
	// maxIdleStreams bounds the idle streams of a session.
	maxIdleStreams = 4
	// maxStreamIdleTime is the idle time after which a stream is not reused.
	maxStreamIdleTime = 10 * time.Second
)

// callStream is a stream that carries calls one after the other.
type callStream struct {
	net.Conn
	lastUsed time.Time
}

// idleStreams holds the streams of a session that can be reused for another call.
// The most recently used one is taken first.
type idleStreams struct {
	mu      sync.Mutex
	streams []*callStream
}

// take returns an idle stream, or nil if there is none.
func (i *idleStreams) take() *callStream {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.streams) == 0 {
		return nil
	}
	last := len(i.streams) - 1
	stream := i.streams[last]
	i.streams = i.streams[:last]
	if time.Since(stream.lastUsed) < maxStreamIdleTime {
		return stream
	}
	// The remaining streams have been idle for even longer.
	_ = stream.Close()
	for _, older := range i.streams {
		_ = older.Close()
	}
	i.streams = nil
	return nil
}

// put keeps a stream for the next call, or closes it if enough are kept.
func (i *idleStreams) put(stream *callStream) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.streams) >= maxIdleStreams {
		_ = stream.Close()
		return
	}
	stream.lastUsed = time.Now()
	i.streams = append(i.streams, stream)
}

// shrinkStream frees the buffer of a stream, which grows with the data received.
func shrinkStream(stream net.Conn) {
	if s, ok := stream.(interface{ Shrink() }); ok {
		s.Shrink()
	}
}

// count returns the number of idle streams.
func (i *idleStreams) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.streams)
}
