package peer

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// defaultSessions is the default of PoolConfig.Sessions.
	defaultSessions = 128
	// controlKeepTime is how long a session is kept after a control message was sent
	// over it: relays and shard owners are contacted repeatedly.
	controlKeepTime = time.Minute
	// evictionInterval is the time between two attempts to evict idle sessions while
	// none is added.
	evictionInterval = time.Second
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Self Identity
	// TLS is nil if sessions are not encrypted.
	TLS    *tls.Config
	Logger *zap.Logger
	// Timing bounds the time until an unresponsive node is detected; zero fields take the defaults.
	Timing Timing
	// Sessions is the number of sessions above which idle ones are closed, the
	// least recently used first; zero takes the default of 128. Sessions in use may
	// exceed it.
	Sessions int
}

// Pool holds one session to each recently used node.
type Pool struct {
	config PoolConfig
	dialer net.Dialer

	mu      sync.Mutex
	entries map[netip.AddrPort]*poolEntry
	// recent lists the entries, the most recently used first.
	recent       list.List
	lastEviction time.Time
	closed       bool
}

// NewPool returns an empty pool.
func NewPool(config PoolConfig) *Pool {
	if config.Sessions == 0 {
		config.Sessions = defaultSessions
	}
	config.Timing = config.Timing.withDefaults()
	return &Pool{
		config:  config,
		dialer:  net.Dialer{Timeout: config.Timing.DialTimeout},
		entries: make(map[netip.AddrPort]*poolEntry),
	}
}

// OpenStream opens a stream for control messages to the node at address, over
// a new session if there is none. It returns ErrUnreachable if nothing can have
// been sent.
func (p *Pool) OpenStream(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	entry, err := p.acquire(ctx, address, true)
	if err != nil {
		return nil, err
	}
	defer entry.release()
	return entry.session.openControl(ctx)
}

// callStream returns a stream for one call to the node at address.
func (p *Pool) callStream(ctx context.Context, address netip.AddrPort) (*Session, *callStream, error) {
	entry, err := p.acquire(ctx, address, false)
	if err != nil {
		return nil, nil, err
	}
	defer entry.release()
	if err := entry.session.checkResponsive(ctx); err != nil {
		if ctx.Err() == nil {
			p.abandonCalls(entry.session)
		}
		return nil, nil, err
	}
	stream, err := entry.session.callStream(ctx)
	return entry.session, stream, err
}

// abandonCalls ends the calls that wait for an unresponsive node and may be sent
// to another one.
func (p *Pool) abandonCalls(session *Session) {
	if calls := session.waiting.abandonAll(); calls > 0 {
		p.config.Logger.Info("peer: calls to a silent node given up", zap.String("peer", session.Peer.VM),
			zap.Duration("silence", session.activity.sinceLastRead()), zap.Int("calls", calls))
	}
}

// acquire returns the entry of an address with its session. The pool does not evict
// the session until the caller has opened a stream and released the entry.
func (p *Pool) acquire(ctx context.Context, address netip.AddrPort, control bool) (*poolEntry, error) {
	entry, dial, err := p.entry(address, control)
	if err != nil {
		return nil, err
	}
	if dial {
		go p.dial(address, entry)
	}
	if err := entry.wait(ctx); err != nil {
		entry.release()
		return nil, err
	}
	return entry, nil
}

// entry returns the live entry of an address, with its user counted, and
// whether the caller has to dial.
func (p *Pool) entry(address netip.AddrPort, control bool) (*poolEntry, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, ErrUnreachable.New("pool is closed")
	}
	now := time.Now()
	entry, exists := p.entries[address]
	created := !exists || !entry.isUsable(now)
	if created {
		if exists {
			p.remove(entry)
		}
		entry = &poolEntry{address: address, dialled: make(chan struct{}), redial: exists}
		entry.element = p.recent.PushFront(entry)
		p.entries[address] = entry
	}
	entry.users.Add(1)
	if control {
		entry.lastControl = now
	}
	p.recent.MoveToFront(entry.element)
	p.evictIdle(now, created)
	return entry, created, nil
}

func (p *Pool) dial(address netip.AddrPort, entry *poolEntry) {
	defer close(entry.dialled)
	session, err := p.connect(address)
	if err != nil {
		entry.err = ErrUnreachable.Wrap(err, "dial %s", address)
		entry.failedAt = time.Now()
		p.config.Logger.Info("peer: dial failed", zap.Stringer("address", address), zap.Error(err))
		return
	}
	entry.session = session
	p.closeIfPoolClosed(session)
}

func (p *Pool) connect(address netip.AddrPort) (*Session, error) {
	conn, err := p.dialer.Dial("tcp", address.String())
	if err != nil {
		return nil, err
	}
	if p.config.TLS != nil {
		conn = tls.Client(conn, p.config.TLS)
	}
	session, err := open(conn, p.config.Self, p.config.Timing, dialMux)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	go session.keepAlive(p.config.Timing.KeepAliveInUse, p.config.Timing.KeepAlive)
	return session, nil
}

// closeIfPoolClosed closes a session that was established after the pool was closed.
func (p *Pool) closeIfPoolClosed(session *Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = session.Close()
	}
}

// Peer returns the identity that the node at address sent in its hello.
func (p *Pool) Peer(ctx context.Context, address netip.AddrPort) (Identity, error) {
	entry, err := p.acquire(ctx, address, true)
	if err != nil {
		return Identity{}, err
	}
	defer entry.release()
	return entry.session.Peer, nil
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
