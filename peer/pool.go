package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// dialTimeout bounds the TCP connect of a session.
	dialTimeout = 2 * time.Second
	// redialAfter is the time for which a failed dial is not repeated.
	redialAfter = 200 * time.Millisecond
	// redialWait bounds the wait for a dial after a dial that failed or a session
	// that ended: the node may be cut off, and another one may take the call.
	redialWait = 100 * time.Millisecond
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Self Identity
	// TLS is nil where sessions are plain.
	TLS    *tls.Config
	Logger *zap.Logger
}

// Pool holds one session to each node that was asked for.
type Pool struct {
	config PoolConfig
	dialer net.Dialer

	mu      sync.Mutex
	entries map[netip.AddrPort]*poolEntry
	closed  bool
}

// poolEntry is the session to one address; dialled is closed when a dial ends.
type poolEntry struct {
	session *Session
	err     error
	failed  time.Time
	dialled chan struct{}
	// again is set where an earlier dial failed or an earlier session ended.
	again bool
}

// NewPool returns an empty pool.
func NewPool(config PoolConfig) *Pool {
	return &Pool{
		config:  config,
		dialer:  net.Dialer{Timeout: dialTimeout},
		entries: make(map[netip.AddrPort]*poolEntry),
	}
}

// OpenStream opens a stream to the node at address, over a new session where
// there is none. It returns ErrUnreachable where nothing can have been sent.
func (p *Pool) OpenStream(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	session, err := p.session(ctx, address)
	if err != nil {
		return nil, err
	}
	return session.OpenStream(ctx)
}

func (p *Pool) session(ctx context.Context, address netip.AddrPort) (*Session, error) {
	entry, dial, err := p.entry(address)
	if err != nil {
		return nil, err
	}
	if dial {
		go p.dial(address, entry)
	}
	if err := entry.wait(ctx); err != nil {
		return nil, ErrUnreachable.Wrap(err, "dial %s", address)
	}
	return entry.session, entry.err
}

// wait returns an error where the dial has not ended in time.
func (e *poolEntry) wait(ctx context.Context) error {
	select {
	case <-e.dialled:
		return nil
	default:
	}
	if e.again {
		bounded, cancel := context.WithTimeout(ctx, redialWait)
		defer cancel()
		ctx = bounded
	}
	select {
	case <-e.dialled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// entry returns the live entry of an address, and whether the caller has to dial.
func (p *Pool) entry(address netip.AddrPort) (*poolEntry, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, ErrUnreachable.New("pool is closed")
	}
	earlier, again := p.entries[address]
	if again && earlier.usable(time.Now()) {
		return earlier, false, nil
	}
	entry := &poolEntry{dialled: make(chan struct{}), again: again}
	p.entries[address] = entry
	return entry, true, nil
}

// usable tells whether an entry need not be dialled (again).
func (e *poolEntry) usable(now time.Time) bool {
	select {
	case <-e.dialled:
	default:
		return true
	}
	if e.err != nil {
		return now.Sub(e.failed) < redialAfter
	}
	return !e.session.IsClosed()
}

func (p *Pool) dial(address netip.AddrPort, entry *poolEntry) {
	defer close(entry.dialled)
	session, err := p.connect(address)
	if err != nil {
		entry.err = ErrUnreachable.Wrap(err, "dial %s", address)
		entry.failed = time.Now()
		p.config.Logger.Info("peer: dial failed", zap.Stringer("address", address), zap.Error(err))
		return
	}
	entry.session = session
	p.closeIfLate(session)
}

func (p *Pool) connect(address netip.AddrPort) (*Session, error) {
	conn, err := p.dialer.Dial("tcp", address.String())
	if err != nil {
		return nil, err
	}
	if p.config.TLS != nil {
		conn = tls.Client(conn, p.config.TLS)
	}
	session, err := open(conn, p.config.Self, yamux.Client)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return session, nil
}

// closeIfLate closes a session that came about after the pool was closed.
func (p *Pool) closeIfLate(session *Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = session.Close()
	}
}

// Peer returns what the node at address said in its hello.
func (p *Pool) Peer(ctx context.Context, address netip.AddrPort) (Identity, error) {
	session, err := p.session(ctx, address)
	if err != nil {
		return Identity{}, err
	}
	return session.Peer, nil
}

// Close ends all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, entry := range p.entries {
		select {
		case <-entry.dialled:
			if entry.session != nil {
				_ = entry.session.Close()
			}
		default:
		}
	}
}

// Ask sends one control message to the node at address and reads its reply.
func Ask(ctx context.Context, p *Pool, address netip.AddrPort, kind Kind, message, reply proto.Message) error {
	stream, err := p.OpenStream(ctx, address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	defer func() { _ = stream.Close() }()

	w := NewFrameWriter(stream)
	defer w.Release()
	if err := w.Add(kind, message); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return ErrBroken.Wrap(err, "send kind %d", kind)
	}
	reader := NewFrameReader(stream)
	defer reader.Release()
	if err := reader.Expect(KindReply, reply); err != nil {
		return ErrBroken.Wrap(err, "reply to kind %d", kind)
	}
	return nil
}
