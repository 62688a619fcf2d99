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
	// hostedAnnouncementTTL is how long a report of the backend server counts:
	// reports may be seconds late, and a dead server refuses connections.
	hostedAnnouncementTTL = 15 * time.Second
	// backendIdleTimeout is how long an idle connection to the backend server is
	// used again, and unsafeIdleTimeout the same for calls that must not be repeated.
	backendIdleTimeout = 7 * time.Second
	unsafeIdleTimeout  = 2 * time.Second
	// callerIdleTimeout closes callers' idle connections.
	callerIdleTimeout = 2 * time.Minute
	// chainedRepeats is the number of services in a chain of calls whose requests
	// make further calls, and which are each given a part of the bound on repeats.
	chainedRepeats = 3
	// leafRepeats is the part of the bound for requests that make no further calls.
	leafRepeats = 0.9
	// hostedSeries bounds the series of a report, which take up to 60 KB each in the
	// ten minutes that it covers.
	hostedSeries = 64
	// restartPart is the part of its burst that a node has after a restart, as it
	// does not know what it has spent.
	restartPart = 0.25
)

// hostedLimits guard a backend server that takes as many requests as it has
// slots, may slow down when it is nearly full, and in which most requests are calls
// of requests in progress.
var hostedLimits = admission.Config{
	SlotFraction:  0.94,
	StartFraction: 1,
	Fixed:         true,
	MaxSojourn:    250 * time.Millisecond,
	QueueRatio:    3,
	Margin:        0.9,
}

// hostedTiming bounds how long a silent node goes unnoticed.
var hostedTiming = peer.Timing{
	Dial:      time.Second,
	Hello:     time.Second,
	KeepAlive: 5 * time.Second,
	Check:     500 * time.Millisecond,
	Patience:  1500 * time.Millisecond,

	QuietInUse: 250 * time.Millisecond,
}

// wire makes the parts in the order in which they need each other.
func (h *Hosted) wire() {
	c := h.config
	h.metrics = metrics.New(metrics.Config{VM: c.VM, Zone: c.Zone})
	h.counters = newCounters(h.metrics.Scope)
	h.config.Loggers = c.Loggers.Counted(h.counters.event)
	h.logger = h.config.Loggers.Main
	h.recorder = report.NewRecorder(report.Config{VM: c.VM, Zone: c.Zone, MaxSeries: hostedSeries})
	h.announced = newAnnouncements(hostedAnnouncementTTL)
	h.pool = peer.NewPool(peer.PoolConfig{Self: h.identity, Logger: h.logger, Timing: hostedTiming})
	h.routes = newRoutes(c.VM, c.Zone)
	h.gate = newLearningGate()
	h.wireRoster()
	h.wireCalls()
	h.peers = peer.NewServer(peer.ServerConfig{Self: h.identity, Calls: h.local, Logger: h.logger, Timing: hostedTiming})
	h.peers.Handle(peer.KindRoster, h.onRoster)
	h.peers.Handle(peer.KindRenew, h.onRenew)
	h.peers.Handle(peer.KindBorrow, h.portions.onBorrow)
	h.peers.Handle(peer.KindRelease, h.portions.onRelease)
}

func (h *Hosted) wireRoster() {
	c := h.config
	h.follower = roster.NewFollower(roster.FollowerConfig{
		Client:           c.Client,
		Query:            h.ask,
		VM:               c.VM,
		Zone:             c.Zone,
		Prefix:           c.Prefix,
		SuspectReadAfter: c.SuspectReadAfter,
		MemberPrefix:     c.MemberPrefix,
		OnChange:         h.apply,
		OnMalformed:      h.malformed,
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
		start = restartPart
	}
	h.portions = newPortions(portion.Config{SettleTime: c.Limits.MaxWordAge, InitialFill: start}, h.ask, c.VM, c.Zone, func() bool { return h.isStale(nil) }, h.logger)
}

// wireCalls makes what a request passes through.
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
	})
	h.local = &localHandler{
		next:      h.backendClient,
		announced: h.announced,
		guard:     newGuard(h.Index, hostedLimits),
		ready:     h.ready,
	}
	h.router = &router{
		self:   c.VM,
		local:  h.local,
		pool:   h.pool,
		routes: h.routes,
		gate:   h.gate,
		bundle: h.Index,
		policy: retry.NewPolicy(retry.Config{}),
		flat:   true,

		onAnswer:  h.logAnswer,
		onFailure: h.logAttempt,

		throttles: newThrottles(h.gate.isLeaf, h.throttleConfig),
	}
	entry := &entry{bundle: h.Index, rates: h.portions, gate: h.gate, next: h.router}
	h.callers = caller.New(caller.Config{
		Bundle:      h.Index,
		Ready:       func() bool { return h.Index() != nil && !h.closing.Load() },
		Stale:       h.isStale,
		Next:        h.counting(entry),
		Adopt:       func(call *request.Call) request.Handler { return h.counting(h.lineage.Adopt(call, h.router)) },
		Record:      h.record,
		Logger:      h.logger,
		IdleTimeout: callerIdleTimeout,
		Dialect:     c.Dialect,
		Service:     c.Service,
	})
}

// throttleConfig is this node's part of the site's bound on repeats. A repeat
// brings about others below it: a request that makes no further calls may be
// repeated often, as those that were brought about are charged to it.
func (h *Hosted) throttleConfig(leaf bool) retry.ThrottleConfig {
	limits := h.limits.Load()
	nodes := float64(max(1, len(h.follower.Members())))
	ratio := limits.RepeatRatio / chainedRepeats
	if leaf {
		ratio = limits.RepeatRatio * leafRepeats
	}
	return retry.ThrottleConfig{
		Ratio:  ratio,
		Slack:  limits.RepeatSlack / chainedRepeats / nodes,
		Window: limits.RepeatWindow,
	}
}

// counting counts the requests that have no answer yet.
func (h *Hosted) counting(next request.Handler) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, call *request.Call) (*request.Answer, error) {
		h.entered.Add(1)
		answer, err := next.Serve(ctx, call)
		if err != nil {
			h.entered.Add(-1)
			return nil, err
		}
		answer.Body = &onClose{ReadCloser: answer.Body, closed: func() { h.entered.Add(-1) }}
		return answer, nil
	})
}

// ask sends a control message to another node.
func (h *Hosted) ask(ctx context.Context, address netip.AddrPort, kind peer.Kind, message, reply proto.Message) error {
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

// shuffled returns the addresses of other nodes, the own zone's first.
func shuffled(members []roster.Member, vm, zone string) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, i := range rand.Perm(len(members)) {
		member := members[i]
		switch {
		case member.VM == vm || member.Leaving:
		case member.Zone == zone:
			near = append(near, member.Address)
		default:
			far = append(far, member.Address)
		}
	}
	return append(near, far...)
}
