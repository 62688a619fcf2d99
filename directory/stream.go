package directory

import (
	"context"
	"net/netip"

	"auburngap/peer/peerpb"
)

// Stream carries frames between a node and a relay. Send and Receive may each be
// called by one goroutine at a time. Close ends both.
type Stream interface {
	Send(frame *peerpb.DirectoryFrame) error
	Receive() (*peerpb.DirectoryFrame, error)
	Close() error
}

// Dialer opens streams to other nodes.
type Dialer interface {
	Open(ctx context.Context, address netip.AddrPort) (Stream, error)
}

// Peer identifies the node that opened an accepted stream, as stated in its
// session's hello.
type Peer struct {
	VM   string
	Zone string
}

// BundleSink receives the bundles that may become active.
type BundleSink interface {
	// Offer passes a signed bundle to the sink. The sink checks it, and ignores it
	// if its version is not above the sink's own.
	Offer(version uint64, raw []byte)
	// ActiveVersion returns the active version, or zero if there is none.
	ActiveVersion() uint64
}

// BundleSource reads bundles from the platform.
type BundleSource interface {
	// Head returns the newest bundle, or version zero if there is none yet.
	Head(ctx context.Context) (version uint64, raw []byte, err error)
	// Next waits until the head is above a version and returns that bundle. It
	// may return version zero after a long wait.
	Next(ctx context.Context, above uint64) (version uint64, raw []byte, err error)
}
