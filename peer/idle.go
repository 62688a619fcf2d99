package peer

import (
	"net"
	"sync"
	"time"
)

const (
	// mostIdle bounds the idle streams of a session.
	mostIdle = 4
	// idleTime is after how long an idle stream is not used again.
	idleTime = 10 * time.Second
)

// callStream is a stream that carries calls, one after the other.
type callStream struct {
	net.Conn
	used time.Time
}

// idleStreams holds the streams of a session on which a call has ended whole,
// the one used last first.
type idleStreams struct {
	mu      sync.Mutex
	streams []*callStream
}

// take returns an idle stream; nil where there is none.
func (i *idleStreams) take() *callStream {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.streams) == 0 {
		return nil
	}
	last := len(i.streams) - 1
	stream := i.streams[last]
	i.streams = i.streams[:last]
	if time.Since(stream.used) < idleTime {
		return stream
	}
	// The ones below have been idle for longer still.
	_ = stream.Close()
	for _, older := range i.streams {
		_ = older.Close()
	}
	i.streams = nil
	return nil
}

// put keeps a stream for the next call, or closes it where enough are kept.
func (i *idleStreams) put(stream *callStream) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.streams) >= mostIdle {
		_ = stream.Close()
		return
	}
	stream.used = time.Now()
	i.streams = append(i.streams, stream)
}

// shrinkStream frees the buffer of a stream that has grown with what it has carried.
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
