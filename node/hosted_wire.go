package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"auburngap/admission"
	"auburngap/backend"
	"auburngap/caller"
	"auburngap/kv"
	"auburngap/metrics"
	"auburngap/peer"
	"auburngap/peer/peerpb"
	"auburngap/portion"
	"auburngap/report"
	"auburngap/request"
	"auburngap/retry"
	"auburngap/roster"
)

const (
	// hostedAnnouncementTTL is how long a report of the backend server is valid.
	// Reports may be seconds late, and a dead server refuses connections.
	hostedAnnouncementTTL = 15 * time.Second
	// backendIdleTimeout is how long an idle connection to the backend server may be
	// reused, and unsafeIdleTimeout the same for calls that must not be repeated.
	backendIdleTimeout = 7 * time.Second
	unsafeIdleTimeout  = 2 * time.Second
	// callerIdleTimeout closes callers' idle connections.
	callerIdleTimeout = 2 * time.Minute
	// chainedServices is the number of services in a chain of calls whose requests
	// make further calls. The bound on retries is divided among them.
	chainedServices = 3
	// leafRetryFraction is the fraction of the bound for requests that make no further calls.
	leafRetryFraction = 0.9
	// hostedMaxSeries bounds the number of series in a report. Each takes up to 60 KB
	// for the ten minutes that the report covers.
	hostedMaxSeries = 64
	// restartFill is the fraction of its burst that a node has after a restart, since it
	// does not know how many tokens it has spent.
	restartFill = 0.25
)

// hostedLimits protects a backend server that accepts as many requests as it has
// slots, may slow down when it is nearly full, and receives mostly downstream calls of
// requests that are already in progress.
var hostedLimits = admission.Config{
	SlotFraction:  0.94,
	StartFraction: 1,
	Fixed:         true,
	MaxSojourn:    250 * time.Millisecond,
	QueueRatio:    3,
	Margin:        0.9,
}

// hostedTiming bounds how long an unresponsive node goes undetected.
var hostedTiming = peer.Timing{
	DialTimeout:     time.Second,
	HelloTimeout:    time.Second,
	KeepAlive:       5 * time.Second,
	KeepAliveInUse:  500 * time.Millisecond,
	ResponseTimeout: 1500 * time.Millisecond,

	ProbeAfterInUse: 250 * time.Millisecond,
}

// wire creates the components in the order of their dependencies.
func (h *Hosted) wire() {
	c := h.config
	h.metrics = metrics.New(metrics.Config{VM: c.VM, Zone: c.Zone})
	h.counters = newCounters(h.metrics.Scope)
	h.config.Loggers = c.Loggers.Counted(h.counters.event)
	h.logger = h.config.Loggers.Main
	h.recorder = report.NewRecorder(report.Config{VM: c.VM, Zone: c.Zone, MaxSeries: hostedMaxSeries})
	h.announced = newAnnouncements(hostedAnnouncementTTL)
	h.pool = peer.NewPool(peer.PoolConfig{Self: h.identity, Logger: h.logger, Timing: hostedTiming})
	h.routes = newRoutes(c.VM, c.Zone)
	h.gate = newLearningGate()
	h.wireRoster()
	h.wireCalls()
	h.peers = peer.NewServer(peer.ServerConfig{Self: h.identity, Calls: h.local, Logger: h.logger, Timing: hostedTiming})
	h.peers.Handle(peer.KindRoster, h.onRoster)
	h.peers.Handle(peer.KindSync, h.onSync)
	h.peers.Handle(peer.KindRenew, h.onRenew)
	h.peers.Handle(peer.KindBorrow, h.portions.onBorrow)
	h.peers.Handle(peer.KindRelease, h.portions.onRelease)
}

func (h *Hosted) wireRoster() {
	c := h.config
	h.follower = roster.NewFollower(roster.FollowerConfig{
		Client:           c.Client,
		Query:            h.query,
		VM:               c.VM,
		Zone:             c.Zone,
		FirstStart:       c.FirstStart,
		Prefix:           c.Prefix,
		SuspectReadAfter: c.SuspectReadAfter,
		MemberPrefix:     c.MemberPrefix,
		CompareOthers:    h.compareConfigs,
		OnChange:         h.apply,
		OnMalformed:      h.logMalformed,
		Logger:           h.logger,
	})
	key := c.MemberPrefix + c.VM
	h.publisher = roster.NewPublisher(roster.PublisherConfig{
		Client:       c.Client,
		Key:          key,
		CurrentEntry: func() (kv.Entry, bool) { return h.follower.Entry(key) },
		Renew:        h.renewThroughPeer,
		Logger:       h.logger,
	})
	start := 1.0
	if !c.FirstStart {
		start = restartFill
	}
	h.portions = newPortions(portion.Config{SettleTime: c.Limits.MaxConfigAge, InitialFill: start}, h.query, c.VM, c.Zone, func() bool { return h.isStale(nil) }, h.logger)
}

// wireCalls creates the components on the path of a request.
func (h *Hosted) wireCalls() {
	c := h.config
	h.lineage = &backend.Lineage{}
	h.backendClient = backend.NewClient(backend.ClientConfig{
		Tokens:            backend.NewTokens(),
		Announced:         h.announced.Current,
		Dialect:           c.Dialect,
		Lineage:           h.lineage,
		IdleTimeout:       backendIdleTimeout,
		UnsafeIdleTimeout: unsafeIdleTimeout,
		OnBroken:          newBrokenAnswers(h.logger, h.metrics.Scope).record,
	})
	h.local = &localHandler{
		next:      h.backendClient,
		announced: h.announced,
		guard:     newGuard(h.Index, hostedLimits),
		ready:     h.ready,
	}
	h.router = &router{
		localVM:    c.VM,
		local:      h.local,
		pool:       h.pool,
		routes:     h.routes,
		gate:       h.gate,
		bundle:     h.Index,
		policy:     retry.NewPolicy(retry.Config{}),
		keepBudget: true,

		onAnswer:  h.logAnswer,
		onFailure: h.logAttempt,

		throttles: newThrottles(h.gate.isLeaf, h.throttleConfig),
	}
	entry := &entry{bundle: h.Index, rates: h.portions, gate: h.gate, next: h.router}
	h.callers = caller.New(caller.Config{
		Bundle: h.Index,
		Stale:  h.isStale,
		Next:   h.countInFlight(h.refuseLate(entry)),
		AttributeCall: func(call *request.Call) request.Handler {
			handler, attributed := h.lineage.AttributeCall(call, h.router)
			if !attributed {
				handler = h.refuseLate(handler)
			}
			return h.countInFlight(handler)
		},
		Record:      h.record,
		Logger:      h.logger,
		IdleTimeout: callerIdleTimeout,
		Dialect:     c.Dialect,
		Service:     c.Service,
	})
}

// throttleConfig returns this node's part of the site's bound on retries. A retry
// causes further retries downstream. Requests that make no further calls may be retried
// often, since the retries that upstream retries cause are charged to them.
func (h *Hosted) throttleConfig(leaf bool) retry.ThrottleConfig {
	limits := h.limits.Load()
	nodes := float64(max(1, len(h.follower.Members())))
	ratio := limits.RetryRatio / chainedServices
	if leaf {
		ratio = limits.RetryRatio * leafRetryFraction
	}
	return retry.ThrottleConfig{
		Ratio:  ratio,
		Slack:  limits.RetrySlack / chainedServices / nodes,
		Window: limits.RetryWindow,
	}
}

// countInFlight counts the requests that have no answer yet.
func (h *Hosted) countInFlight(next request.Handler) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, call *request.Call) (*request.Answer, error) {
		h.inFlight.Add(1)
		answer, err := next.Serve(ctx, call)
		if err != nil {
			h.inFlight.Add(-1)
			return nil, err
		}
		answer.Body = &observedBody{ReadCloser: answer.Body, onClose: func() { h.inFlight.Add(-1) }}
		return answer, nil
	})
}

// query sends a control message to another node.
func (h *Hosted) query(ctx context.Context, address netip.AddrPort, kind peer.Kind, message, reply proto.Message) error {
	return peer.Ask(ctx, h.pool, address, kind, message, reply)
}

func (h *Hosted) onRoster(ctx context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
	var query peerpb.RosterQuery
	if err := peer.Decode(payload, &query); err != nil {
		return nil, err
	}
	return h.follower.Answer(ctx, &query), nil
}

// record counts a request of a caller.
func (h *Hosted) record(sample caller.Sample) {
	counted := sampleOf(sample)
	h.logRequest(sample)
	h.recorder.Record(counted, time.Now())
	h.counters.request(counted)
}

// shuffledPeers returns the addresses of other nodes in random order, those of the
// local zone first.
func shuffledPeers(members []roster.Member, vm, zone string) []netip.AddrPort {
	var sameZone, otherZones []netip.AddrPort
	for _, i := range rand.Perm(len(members)) {
		member := members[i]
		switch {
		case member.VM == vm || member.Leaving:
		case member.Zone == zone:
			sameZone = append(sameZone, member.Address)
		default:
			otherZones = append(otherZones, member.Address)
		}
	}
	return append(sameZone, otherZones...)
}
