package directory

import (
	"context"
	"net"
	"net/netip"

	"auburngap/peer"
	"auburngap/peer/peerpb"
)

// PeerDialer opens directory streams over the sessions between nodes.
type PeerDialer struct {
	pool *peer.Pool
}

// NewDialer returns a Dialer over a pool of sessions.
func NewDialer(pool *peer.Pool) *PeerDialer { return &PeerDialer{pool: pool} }

// Open implements Dialer.
func (d *PeerDialer) Open(ctx context.Context, address netip.AddrPort) (Stream, error) {
	conn, err := d.pool.OpenStream(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConnStream(conn, nil), nil
}

// HandleStream adapts Serve to a peer.Server. Register it for peer.KindAnnounce.
func (d *Directory) HandleStream(ctx context.Context, from peer.Identity, first []byte, conn net.Conn) error {
	frame := &peerpb.DirectoryFrame{}
	if err := peer.Decode(first, frame); err != nil {
		return err
	}
	stream := newConnStream(conn, frame)
	defer closeQuietly(stream)
	return d.Serve(ctx, Peer{VM: from.VM, Zone: from.Zone}, stream)
}

// connStream carries frames over a stream of a session.
type connStream struct {
	conn   net.Conn
	reader *peer.FrameReader
	// first is a frame that was read before the stream was handed over.
	first *peerpb.DirectoryFrame
}

func newConnStream(conn net.Conn, first *peerpb.DirectoryFrame) *connStream {
	return &connStream{conn: conn, reader: peer.NewFrameReader(conn), first: first}
}

// Send implements Stream.
func (s *connStream) Send(frame *peerpb.DirectoryFrame) error {
	w := peer.NewFrameWriter(s.conn)
	defer w.Release()
	if err := w.Add(peer.KindAnnounce, frame); err != nil {
		return err
	}
	return w.Flush()
}

// Receive implements Stream.
func (s *connStream) Receive() (*peerpb.DirectoryFrame, error) {
	if s.first != nil {
		frame := s.first
		s.first = nil
		return frame, nil
	}
	frame := &peerpb.DirectoryFrame{}
	if err := s.reader.Expect(peer.KindAnnounce, frame); err != nil {
		return nil, err
	}
	return frame, nil
}

// Close implements Stream.
func (s *connStream) Close() error { return s.conn.Close() }
