package node

import (
	"crypto/tls"
	"time"

	"auburngap/admission"
	"auburngap/backend"
	"auburngap/bundle"
	"auburngap/caller"
	"auburngap/commitment"
	"auburngap/directory"
	"auburngap/metrics"
	"auburngap/peer"
	"auburngap/report"
	"auburngap/retry"
)

// wire creates the components in the order of their dependencies.
func (n *Node) wire() error {
	s := n.config.Settings
	peerTLS, err := peerTLSConfig(s.PeerTLS)
	if err != nil {
		return ErrStart.Wrap(err, "peerTls")
	}
	n.metrics = metrics.New(metrics.Config{VM: s.VM, Zone: s.AvailabilityZone})
	n.counters = newCounters(n.metrics.Scope)
	n.wireMembership(peerTLS)
	n.wireDecisions()
	n.wireServers(peerTLS)
	return nil
}

// wireMembership creates the components that follow bundles and backend servers.
func (n *Node) wireMembership(peerTLS *tls.Config) {
	s := n.config.Settings
	n.bundles = bundle.NewFollower(bundle.FollowerConfig{
		Client:     n.config.Platform,
		Roots:      rootTrust(s),
		OnActivate: n.apply,
		OnReject:   n.logRefusedBundle,
	})
	n.announced = newAnnouncements(announcementTTL)
	n.tokens = backend.NewTokens()
	n.pool = peer.NewPool(peer.PoolConfig{Self: n.identity, TLS: peerTLS, Logger: n.logger})
	n.routes = newRoutes(n.identity.VM, n.identity.Zone)
	n.subscriptions = newSubscriptions(n.routes)
	n.directory = directory.New(directory.Config{
		VM:             n.identity.VM,
		Zone:           n.identity.Zone,
		Address:        s.PeerAddress,
		Seeds:          s.Seeds,
		ControlAddress: s.ControlAddress,
		Platform:       n.config.Platform,
		Peers:          directory.NewDialer(n.pool),
		Bundles:        n.bundles,
		Source:         n.bundles,
		Verify:         n.bundles.Verify,
		ProofSince:     n.bundles.ProofSince,
		Zones:          n.zones,
		OnTargets:      n.subscriptions.Update,
		Logger:         n.logger,
	})
	n.subscriptions.directory = n.directory
}

// wireDecisions creates the components that decide on calls.
func (n *Node) wireDecisions() {
	s := n.config.Settings
	n.backendClient = backend.NewClient(backend.ClientConfig{
		Tokens:    n.tokens,
		Announced: n.announced.Current,
		OnBroken:  newBrokenAnswers(n.logger, n.metrics.Scope).record,
	})
	n.local = &localHandler{
		announced: n.announced,
		guard:     newGuard(n.bundles.Index, admission.Config{}),
		fence:     commitment.NewFence(commitment.FenceConfig{OnViolation: n.onViolation}),
	}
	n.membership = &membership{directory: n.directory, announced: n.announced, local: n.local, onServiceChange: n.resubscribe}
	n.gate = newGate()
	n.router = &router{
		localVM: n.identity.VM,
		local:   n.local,
		pool:    n.pool,
		routes:  n.routes,
		gate:    n.gate,
		bundle:  n.bundles.Index,
		policy:  retry.NewPolicy(retry.Config{}),

		subscriptions: n.subscriptions,
	}
	n.shards = newShards(shardsConfig{
		Self:        n.identity,
		Address:     s.PeerAddress,
		Seeds:       s.Seeds,
		Platform:    n.config.Platform,
		Pool:        n.pool,
		Directory:   n.directory,
		Logger:      n.logger,
		Metrics:     n.metrics.Scope,
		OnViolation: n.onViolation,
	})
	n.local.next = &dispatcher{client: n.shards.commitments, next: n.backendClient}
	n.readiness = newReadiness(n)
	n.local.ready = n.readiness.done
}

// wireServers creates the servers for callers, backend servers, other nodes and operators.
func (n *Node) wireServers(peerTLS *tls.Config) {
	s := n.config.Settings
	commitments := &commitments{client: n.shards.commitments, next: n.router}
	entry := &entry{bundle: n.bundles.Index, rates: shardRates{client: n.shards.rates}, gate: n.gate, next: commitments}
	confirmed := newConfirmer(n.shards.commitments, entry)
	n.recorder = report.NewRecorder(report.Config{VM: s.VM, Zone: s.AvailabilityZone})
	n.callers = caller.New(caller.Config{
		Record:      n.record,
		Ready:       n.local.isReady,
		Stale:       n.isStale,
		Bundle:      n.bundles.Index,
		Next:        confirmed,
		Logger:      n.logger,
		IdleTimeout: time.Duration(s.IdleTimeout),
	})
	n.backends = backend.NewServer(backend.ServerConfig{
		Tokens:     n.tokens,
		Bundle:     n.bundles.Index,
		Next:       n.router,
		OnAnnounce: n.announced.Set,
		Logger:     n.logger,
	})
	n.peers = peer.NewServer(peer.ServerConfig{Self: n.identity, TLS: peerTLS, Calls: n.local, Logger: n.logger})
	n.shards.Handle(n.peers)
	n.peers.HandleStream(peer.KindAnnounce, n.directory.HandleStream)
	n.control = newControlServer(n)
}
