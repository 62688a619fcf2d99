// Package node wires the parts of the one process that runs beside each
// backend server.
//
// # Usage
//
//	n, err := node.New(node.Config{Settings: settings, Platform: client, Logger: logger})
//	err = n.Run(ctx) // until the context ends, then drains
//
// A request's path: caller, entry node, node of the chosen backend server,
// backend server, its own node, next service. See docs/DESIGN.md.
package node

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"auburngap/backend"
	"auburngap/bundle"
	"auburngap/caller"
	"auburngap/commitment"
	"auburngap/directory"
	"auburngap/metrics"
	"auburngap/peer"
	"auburngap/platform"
	"auburngap/report"
	"auburngap/retry"
	"auburngap/settings"
)

var (
	errs = errorx.NewNamespace("node")
	// ErrStart means that the node could not start.
	ErrStart = errs.NewType("start")
)

// drainNotice is the time for which a node that drains goes on serving, so that
// other nodes and callers with open connections learn of it first.
const drainNotice = 1500 * time.Millisecond

// Config configures a Node.
type Config struct {
	Settings settings.Node
	Platform platform.Client
	Logger   *zap.Logger
}

// Node is the process beside one backend server.
type Node struct {
	config   Config
	identity peer.Identity
	logger   *zap.Logger

	bundles    *bundle.Follower
	announced  *announcements
	membership *membership
	directory  *directory.Directory
	shards     *shards
	// firstBundle holds the bundle by which the shards are kept.
	firstBundle chan *bundle.Index
	routes      *routes
	local       *localHandler
	tokens      *backend.Tokens
	pool        *peer.Pool

	backendClient *backend.Client
	callers       *caller.Server
	backends      *backend.Server
	peers         *peer.Server
	control       *controlServer
	recorder      *report.Recorder
	metrics       *metrics.Metrics
	counters      *counters
	readiness     *readiness
}

// New returns a node that has not started yet.
func New(config Config) (*Node, error) {
	incarnation, err := uuid.NewV7()
	if err != nil {
		return nil, ErrStart.Wrap(err, "incarnation")
	}
	n := &Node{
		config:      config,
		logger:      config.Logger,
		firstBundle: make(chan *bundle.Index, 1),
		identity: peer.Identity{
			VM:          config.Settings.VM,
			Zone:        config.Settings.AvailabilityZone,
			Incarnation: incarnation,
		},
	}
	if err := n.wire(); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Node) wire() error {
	s := n.config.Settings
	peerTLS, err := tlsOf(s.PeerTLS)
	if err != nil {
		return ErrStart.Wrap(err, "peerTls")
	}
	n.metrics = metrics.New(metrics.Config{VM: s.VM, Zone: s.AvailabilityZone})
	n.counters = newCounters(n.metrics.Scope)
	n.bundles = bundle.NewFollower(bundle.FollowerConfig{
		Client:    n.config.Platform,
		Roots:     rootsOf(s),
		OnForce:   n.apply,
		OnRefused: n.refuseBundle,
	})
	n.announced = newAnnouncements()
	n.tokens = backend.NewTokens()
	n.pool = peer.NewPool(peer.PoolConfig{Self: n.identity, TLS: peerTLS, Logger: n.logger})
	n.routes = newRoutes(n.identity.VM, n.identity.Zone)
	n.directory = directory.New(directory.Config{
		VM:         n.identity.VM,
		Zone:       n.identity.Zone,
		Address:    s.PeerAddress,
		Seeds:      s.Seeds,
		Platform:   n.config.Platform,
		Peers:      directory.NewDialer(n.pool),
		Bundles:    n.bundles,
		Source:     n.bundles,
		Verify:     n.bundles.Verify,
		ProofSince: n.bundles.ProofSince,
		Zones:      n.zones,
		OnTargets:  n.routes.Update,
		Logger:     n.logger,
	})
	n.backendClient = backend.NewClient(backend.ClientConfig{Tokens: n.tokens, Announced: n.announced.Current})
	n.local = &localHandler{
		next:      n.backendClient,
		announced: n.announced,
		guard:     newGuard(n.bundles.Index),
		fence:     commitment.NewFence(commitment.Terms{}),
	}
	n.membership = &membership{directory: n.directory, announced: n.announced, local: n.local, onService: n.resubscribe}
	gate := newGate()
	router := &router{
		self:   n.identity.VM,
		local:  n.local,
		pool:   n.pool,
		routes: n.routes,
		gate:   gate,
		policy: retry.NewPolicy(retry.Config{}),
	}
	n.shards = newShards(shardsConfig{
		Self:      n.identity,
		Address:   s.PeerAddress,
		Seeds:     s.Seeds,
		Platform:  n.config.Platform,
		Pool:      n.pool,
		Directory: n.directory,
		Bundle:    n.bundles.Index,
		Logger:    n.logger,
		Metrics:   n.metrics.Scope,
		Violated:  n.violated,
	})
	n.readiness = newReadiness(n)
	n.local.ready = n.readiness.done
	commitments := &commitments{client: n.shards.commitments, next: router}
	entry := &entry{bundle: n.bundles.Index, rates: n.shards.rates, gate: gate, next: commitments}
	n.recorder = report.NewRecorder(report.Config{VM: s.VM, Zone: s.AvailabilityZone})
	n.callers = caller.New(caller.Config{
		Record:      n.record,
		Ready:       n.local.isReady,
		Stale:       n.isStale,
		Bundle:      n.bundles.Index,
		Next:        entry,
		Logger:      n.logger,
		IdleTimeout: time.Duration(s.IdleTimeout),
	})
	n.backends = backend.NewServer(backend.ServerConfig{
		Tokens:     n.tokens,
		Bundle:     n.bundles.Index,
		Next:       router,
		OnAnnounce: n.announced.Set,
		Logger:     n.logger,
	})
	n.peers = peer.NewServer(peer.ServerConfig{Self: n.identity, TLS: peerTLS, Calls: n.local, Logger: n.logger})
	n.shards.Handle(n.peers)
	n.peers.HandleStream(peer.KindAnnounce, n.directory.HandleStream)
	n.control = newControlServer(n)
	return nil
}

// apply subscribes to the services that a bundle in force makes this node call.
func (n *Node) apply(index *bundle.Index) {
	n.logger.Info("bundle: version in force", zap.Uint64("version", index.Bundle.Version))
	n.shards.Apply(index)
	select {
	case n.firstBundle <- index:
	default:
	}
	n.directory.SetServices(n.calledServices(index))
}

// refuseBundle notes an offer that is forged or broken.
func (n *Node) refuseBundle(version uint64, err error) {
	n.logger.Warn("bundle: offer refused", zap.Uint64("version", version), zap.Error(err))
}

// rootsOf returns who must sign the first bundle.
func rootsOf(s settings.Node) bundle.Trust {
	roots := bundle.Trust{SignOffs: s.OperatorSignOffs}
	for _, operator := range s.Operators {
		roots.Operators = append(roots.Operators, bundle.Operator{Name: operator.Name, PublicKey: operator.PublicKey})
	}
	return roots
}

// isStale tells whether a workspace is refused as the word of the bundle in
// force is too old.
func (n *Node) isStale(workspace *bundle.Workspace) bool {
	return workspace.RefuseWhenOlder > 0 && time.Since(n.directory.Word()) > time.Duration(workspace.RefuseWhenOlder)
}

// violated notes an invariant that does not hold.
func (n *Node) violated(invariant string) {
	n.counters.violations.Inc(1)
	n.logger.Error("node: invariant violated", zap.String("invariant", invariant))
}

// resubscribe subscribes again after the backend server's service has changed.
func (n *Node) resubscribe() {
	if index := n.bundles.Index(); index != nil {
		n.apply(index)
	}
}

// calledServices returns the services of the entry routes and those that this
// VM's own service calls.
func (n *Node) calledServices(index *bundle.Index) []string {
	var services []string
	for _, route := range index.Bundle.Routes {
		services = append(services, route.Service)
	}
	if announced, ok := n.announced.Current(); ok {
		if own, ok := index.Service(announced.Service); ok {
			services = append(services, own.Calls...)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// zones returns the availability zones of the site.
func (n *Node) zones() []string {
	index := n.bundles.Index()
	if index == nil {
		return nil
	}
	return index.ZoneNames()
}

// Run serves until the context ends, then drains and returns.
func (n *Node) Run(ctx context.Context) error {
	s := n.config.Settings
	listeners, err := listenAll(s.CallerAddress, s.PeerAddress, s.BackendAddress, s.ControlAddress)
	if err != nil {
		return err
	}
	callers, peers, backends, control := listeners[0], listeners[1], listeners[2], listeners[3]
	callers, err = withCallerTLS(callers, s.CallerTLS)
	if err != nil {
		return err
	}
	n.logger.Info("node: started", zap.String("vm", s.VM), zap.String("availabilityZone", s.AvailabilityZone))

	serving, stop := context.WithCancel(context.Background())
	defer stop()
	group, _ := errgroup.WithContext(serving)
	group.Go(func() error { return n.callers.Serve(callers) })
	group.Go(func() error { return n.becomeReady(ctx) })
	group.Go(func() error { return n.backends.Serve(backends) })
	group.Go(func() error { return n.control.Serve(control) })
	group.Go(func() error { return n.peers.Serve(serving, peers) })
	group.Go(func() error { return n.directory.Run(serving) })
	group.Go(func() error { return n.shards.Run(serving, n.firstBundle) })
	group.Go(func() error { return n.membership.Run(serving) })
	group.Go(func() error { return n.gaugeUntil(serving) })
	group.Go(func() error {
		<-ctx.Done()
		n.drain()
		stop()
		return nil
	})
	return group.Wait()
}

// becomeReady offers the backend server to others once the node can serve the
// whole path.
func (n *Node) becomeReady(ctx context.Context) error {
	if n.readiness.wait(ctx) {
		n.membership.tell()
	}
	return nil
}

// drain leaves the directory, then lets what runs end: callers first, then the
// calls of other nodes, then those of the backend server.
func (n *Node) drain() {
	n.logger.Info("node: draining")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.config.Settings.DrainTimeout))
	defer cancel()
	n.local.leaving.Store(true)
	n.membership.tell()
	n.callers.Drain()
	time.Sleep(drainNotice)
	n.shutdown(ctx, "callers", n.callers.Shutdown)
	if err := n.peers.Drain(ctx); err != nil {
		n.logger.Warn("node: calls of other nodes were cut", zap.Error(err))
	}
	n.shutdown(ctx, "shards", n.shards.Shutdown)
	n.shutdown(ctx, "backend server", n.backends.Shutdown)
	n.shutdown(ctx, "control", n.control.Shutdown)
	n.pool.Close()
	n.backendClient.Close()
	if err := n.metrics.Close(); err != nil {
		n.logger.Warn("node: metrics did not close", zap.Error(err))
	}
	n.logger.Info("node: drained")
}

func (n *Node) shutdown(ctx context.Context, what string, shutdown func(context.Context) error) {
	if err := shutdown(ctx); err != nil {
		n.logger.Warn("node: shutdown incomplete", zap.String("of", what), zap.Error(err))
	}
}

func listenAll(addresses ...netip.AddrPort) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, ErrStart.Wrap(err, "listen")
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}
