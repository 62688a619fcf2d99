// Package node wires the components of the process that runs beside each
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

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"auburngap/backend"
	"auburngap/bundle"
	"auburngap/caller"
	"auburngap/directory"
	"auburngap/kv"
	"auburngap/metrics"
	"auburngap/peer"
	"auburngap/report"
	"auburngap/settings"
	"auburngap/tcpconn"
)

var (
	errs = errorx.NewNamespace("node")
	// ErrStart means that the node could not start.
	ErrStart = errs.NewType("start")
)

// Config configures a Node.
type Config struct {
	Settings settings.Node
	Platform kv.Client
	Logger   *zap.Logger
}

// Node is the process beside one backend server.
type Node struct {
	config   Config
	identity peer.Identity
	logger   *zap.Logger

	bundles    *bundle.Follower
	announced  *announcements
	gate       *gate
	router     *router
	membership *membership
	directory  *directory.Directory
	shards     *shards
	// firstBundle holds the first bundle, which configures shard ownership.
	firstBundle chan *bundle.Index
	routes      *routes
	// subscriptions are the services that this node follows.
	subscriptions *subscriptions
	local         *localHandler
	tokens        *backend.Tokens
	pool          *peer.Pool

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

// Run serves until the context ends, then drains and returns.
func (n *Node) Run(ctx context.Context) error {
	s := n.config.Settings
	listeners, err := listenAll(n.logger, s.CallerAddress, s.PeerListener(), s.BackendAddress, s.ControlAddress)
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
	group, failed := errgroup.WithContext(serving)
	group.Go(func() error { return n.callers.Serve(callers) })
	group.Go(func() error { return n.becomeReady(ctx) })
	group.Go(func() error { return n.backends.Serve(backends) })
	group.Go(func() error { return n.control.Serve(control) })
	group.Go(func() error { return n.peers.Serve(serving, peers) })
	group.Go(func() error { return n.directory.Run(serving) })
	group.Go(func() error { return n.shards.Run(serving, n.firstBundle) })
	group.Go(func() error { return n.subscriptions.Run(serving) })
	group.Go(func() error { return n.membership.Run(serving) })
	group.Go(func() error { return n.gaugeUntil(serving) })
	group.Go(func() error { return releaseMemoryUntil(serving) })
	group.Go(func() error {
		defer stop()
		// The failure of one component stops the node.
		select {
		case <-ctx.Done():
		case <-failed.Done():
		}
		n.drain()
		return nil
	})
	return group.Wait()
}

// becomeReady publishes the backend server once the node can serve requests end to
// end.
func (n *Node) becomeReady(ctx context.Context) error {
	if n.readiness.wait(ctx) {
		n.membership.publish()
	}
	return nil
}

func listenAll(logger *zap.Logger, addresses ...netip.AddrPort) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		listener, err := tcpconn.Listen(address, logger)
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
