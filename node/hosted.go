package node

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"auburngap/backend"
	"auburngap/bundle"
	"auburngap/caller"
	"auburngap/clock"
	"auburngap/httpconn"
	"auburngap/kv"
	"auburngap/logs"
	"auburngap/metrics"
	"auburngap/peer"
	"auburngap/report"
	"auburngap/roster"
)

// maxTimerDelay is the delay of a timer above which it is logged: the process was frozen
// or got no processor time.
const maxTimerDelay = 500 * time.Millisecond

// HostedConfig configures a Hosted.
type HostedConfig struct {
	VM   string
	Zone string
	// Service is the service of the VM's backend server until a report names another.
	Service string
	// CallerAddress accepts the requests of callers and of the backend server.
	CallerAddress netip.AddrPort
	// PeerAddress is where other nodes reach the node.
	PeerAddress netip.AddrPort
	// BackendAddress is where the backend server accepts requests.
	BackendAddress netip.AddrPort
	Client         kv.Client
	// Prefix begins ConfigKey and MemberPrefix.
	Prefix string
	// SuspectReadAfter is how long a read of the service may take until the view is suspect.
	SuspectReadAfter time.Duration
	// ConfigKey is the entry that holds the operators' configuration.
	ConfigKey string
	// MemberPrefix begins the keys of the nodes' entries.
	MemberPrefix string
	// DecodeConfig decodes a value of ConfigKey into a bundle.
	DecodeConfig func(value []byte) (*bundle.Bundle, error)
	Dialect      *httpconn.Dialect
	// Limits may change while the node runs.
	Limits HostedLimits
	// FirstStart is true if no node of the site has run before.
	FirstStart bool
	Loggers    logs.Loggers
}

// HostedLimits are the bounds that a site sets.
type HostedLimits struct {
	// MaxConfigAge is the maximum time since the configuration was last confirmed at which
	// requests with a key are still served.
	MaxConfigAge time.Duration
	// RetryRatio is the fraction of a service's requests that all nodes together may
	// retry in RetryWindow, in addition to RetrySlack requests.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// DrainTime bounds how long a stopping node waits for its calls.
	DrainTime time.Duration
}

// Hosted is a node of a site whose configuration is accepted by the platform's
// key-value service, through which the nodes also find each other. It needs no signed
// bundles, relays, shards or owners of idempotency keys.
type Hosted struct {
	config   HostedConfig
	identity peer.Identity
	logger   *zap.Logger

	limits    atomic.Pointer[HostedLimits]
	index     atomic.Pointer[bundle.Index]
	announced *announcements
	follower  *roster.Follower
	publisher *roster.Publisher
	portions  *portions
	gate      *gate
	local     *localHandler
	routes    *routes
	router    *router
	pool      *peer.Pool
	peers     *peer.Server
	callers   *caller.Server

	backendClient *backend.Client
	lineage       *backend.Lineage
	recorder      *report.Recorder
	metrics       *metrics.Metrics
	counters      *counters
	boot          clock.Boot
	// ready is closed once there is a configuration.
	ready chan struct{}
	// draining is set once the node drains.
	draining atomic.Pointer[drainState]
	// inFlight counts the requests of callers that have no answer yet.
	inFlight atomic.Int64
	// backendMu serializes updates about the backend server; it guards departed, settled
	// and held.
	backendMu sync.Mutex
	// departed holds the runs of the backend server that leave or have left.
	departed []roster.Departure
	// settled is set, and isSettled closed, once other nodes were asked which runs have left.
	settled   bool
	isSettled chan struct{}
	// held is the report that the server is in use, which is applied once settled is set.
	held *heldReport
	// leaveUnpublished receives a value when the key-value service is slow to take that the
	// server leaves.
	leaveUnpublished chan struct{}
	// nodesTold is how many other nodes know that the server leaves.
	nodesTold atomic.Int64
	// publishMu guards published, the entry that was published last; nil before the first.
	publishMu sync.Mutex
	published *roster.Member
	// viewApplied is set, and hasView closed, by the first view of the site.
	viewApplied bool
	hasView     chan struct{}
	// listed are the services that had a backend server at some time.
	listed map[string]bool
	// configRevision is the revision of the last configuration entry that was read.
	configRevision kv.Revision
}

// NewHosted returns a node that has not started yet.
func NewHosted(config HostedConfig) (*Hosted, error) {
	incarnation, err := uuid.NewV7()
	if err != nil {
		return nil, ErrStart.Wrap(err, "incarnation")
	}
	h := &Hosted{
		config:   config,
		identity: peer.Identity{VM: config.VM, Zone: config.Zone, Incarnation: incarnation},
		ready:    make(chan struct{}),
		listed:   make(map[string]bool),
		hasView:  make(chan struct{}),

		isSettled:        make(chan struct{}),
		leaveUnpublished: make(chan struct{}, 1),
	}
	h.limits.Store(&config.Limits)
	h.wire()
	return h, nil
}

// SetLimits changes the bounds that the site sets. It is safe for concurrent use.
func (h *Hosted) SetLimits(limits HostedLimits) {
	h.limits.Store(&limits)
	h.portions.setSettleTime(time.Now(), limits.MaxConfigAge)
}

// Run serves until the context ends, then drains and returns.
func (h *Hosted) Run(ctx context.Context) error {
	listeners, err := listenAll(h.logger, h.config.CallerAddress, h.config.PeerAddress)
	if err != nil {
		return err
	}
	h.logger.Info("node: started",
		zap.String("vm", h.config.VM), zap.String("availabilityZone", h.config.Zone),
		zap.String("service", h.config.Service), zap.Stringer("incarnation", h.identity.Incarnation))
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	group, failed := errgroup.WithContext(serving)
	group.Go(func() error { return h.serveCallers(listeners[0]) })
	group.Go(func() error { return h.peers.Serve(serving, listeners[1]) })
	group.Go(func() error { return h.follower.Run(serving) })
	group.Go(func() error { return h.publisher.Run(serving) })
	group.Go(func() error { return h.publishUntil(serving) })
	group.Go(func() error { return h.spreadDeparturesUntil(serving) })
	group.Go(func() error { return h.gaugeUntil(serving) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
		case <-failed.Done():
		}
		h.drain()
		return nil
	})
	return group.Wait()
}

func (h *Hosted) serveCallers(listener net.Listener) error {
	return h.callers.Serve(listener)
}

// IsReady reports whether callers may send requests to this node.
func (h *Hosted) IsReady() bool {
	return h.index.Load() != nil && h.draining.Load() == nil
}

// Logger returns the logger whose lines the node's metrics count.
func (h *Hosted) Logger() *zap.Logger { return h.logger }

// Metrics returns the node's metrics.
func (h *Hosted) Metrics() *metrics.Metrics { return h.metrics }

// WriteReport answers an operator with the outcomes of the requests of this node's callers.
func (h *Hosted) WriteReport(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, h.recorder.Snapshot(time.Now()))
}

// Index returns the active configuration; nil before the first.
func (h *Hosted) Index() *bundle.Index { return h.index.Load() }

// isStale reports whether the last confirmation of the configuration is too old to
// trust a key.
func (h *Hosted) isStale(*bundle.Workspace) bool {
	confirmedAt, ok := h.follower.ConfirmedAt()
	return !ok || h.boot.Now()-confirmedAt > h.limits.Load().MaxConfigAge
}

// gaugeUntil reads the gauges until the context ends.
func (h *Hosted) gaugeUntil(ctx context.Context) error {
	for {
		startedAt := h.boot.Now()
		if !clock.Sleep(ctx, gaugeInterval) {
			return nil
		}
		if delay := h.boot.Now() - startedAt - gaugeInterval; delay > maxTimerDelay {
			h.logger.Warn("node: timer was late", zap.Duration("by", delay))
		}
		h.readGauges()
	}
}

func (h *Hosted) readGauges() {
	load := h.local.guard.load(false)
	h.counters.inFlight.Update(float64(load.InFlight.Total()))
	h.counters.limit.Update(float64(load.Limit))
	if index := h.index.Load(); index != nil {
		h.counters.bundleVersion.Update(float64(index.Bundle.Version))
	}
	if confirmedAt, ok := h.follower.ConfirmedAt(); ok {
		h.counters.viewAge.Update((h.boot.Now() - confirmedAt).Seconds())
	}
}
