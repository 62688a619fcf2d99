package directory_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"auburngap/directory"
	"auburngap/peer/peerpb"
)

// dialer opens in-memory streams.
type dialer struct {
	m *member
	l *nodeRun
}

func (d dialer) Open(_ context.Context, address netip.AddrPort) (directory.Stream, error) {
	s := d.m.site
	time.Sleep(d.m.dialDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.addresses[address]
	if to == nil || to.run == nil || s.unresponsive != nil && (s.unresponsive == to || s.unresponsive == d.m) || to.run.killed.Load() || d.l.killed.Load() {
		return nil, io.ErrClosedPipe
	}
	if s.isolatedZone != "" && (s.isolatedZone == to.zone) != (s.isolatedZone == d.m.zone) {
		return nil, io.ErrClosedPipe
	}
	near, far := newMemoryStreams(d.m, to)
	s.streams[near] = struct{}{}
	target := to.run
	go func() {
		defer near.shut()
		_ = target.directory.Serve(target.ctx, directory.Peer{VM: d.m.vm, Zone: d.m.zone}, far)
		s.mu.Lock()
		delete(s.streams, near)
		s.mu.Unlock()
	}()
	return near, nil
}

// memoryStream is one end of a stream; closing one end closes both.
type memoryStream struct {
	from, to *member
	out, in  chan *peerpb.DirectoryFrame
	closed   chan struct{}
	once     *sync.Once
}

func newMemoryStreams(from, to *member) (near, far *memoryStream) {
	const buffered = 64
	a, b := make(chan *peerpb.DirectoryFrame, buffered), make(chan *peerpb.DirectoryFrame, buffered)
	near = &memoryStream{from: from, to: to, out: a, in: b, closed: make(chan struct{}), once: &sync.Once{}}
	far = &memoryStream{from: from, to: to, out: b, in: a, closed: near.closed, once: near.once}
	return near, far
}

func (s *memoryStream) shut() { s.once.Do(func() { close(s.closed) }) }

func (s *memoryStream) Close() error {
	s.shut()
	return nil
}

func (s *memoryStream) Send(frame *peerpb.DirectoryFrame) error {
	s.from.site.sentBytes.Add(int64(proto.Size(frame)))
	if s.from.site.isUnresponsive(s.from, s.to) {
		return nil
	}
	select {
	case <-s.closed:
		return io.ErrClosedPipe
	case s.out <- frame:
		return nil
	}
}

// Receive also returns the frames that were sent before the stream closed.
func (s *memoryStream) Receive() (*peerpb.DirectoryFrame, error) {
	select {
	case frame := <-s.in:
		return frame, nil
	default:
	}
	select {
	case <-s.closed:
		return nil, io.EOF
	case frame := <-s.in:
		return frame, nil
	}
}
