package directory

import (
	"context"
	"net/netip"

	"auburngap/peer/peerpb"
)

// Stream carries frames between a node and a relay. Send and Receive may be
// called by one goroutine each; Close ends both.
type Stream interface {
	Send(frame *peerpb.DirectoryFrame) error
	Receive() (*peerpb.DirectoryFrame, error)
	Close() error
}

// Dialer opens streams to other nodes.
type Dialer interface {
	Open(ctx context.Context, address netip.AddrPort) (Stream, error)
}

// Peer is the other side of an accepted stream, as its session's hello says.
type Peer struct {
	VM   string
	Zone string
}

// BundleSink takes the bundles that may come into force.
type BundleSink interface {
	// Offer hands over a signed bundle; the sink checks it and ignores one that
	// is not above its own.
	Offer(version uint64, raw []byte)
	// ActiveVersion returns the version in force, or zero.
	ActiveVersion() uint64
}

// BundleSource reads bundles from the platform.
type BundleSource interface {
	// Head returns the newest bundle; version zero where there is none yet.
	Head(ctx context.Context) (version uint64, raw []byte, err error)
	// Next waits until the head is above a version and returns that bundle. It
	// may return version zero when it has waited long.
	Next(ctx context.Context, above uint64) (version uint64, raw []byte, err error)
}
