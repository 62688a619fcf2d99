package node

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"auburngap/clock"
	"auburngap/report"
	"auburngap/request"
)

// gaugeInterval is the time between two readings of the gauges.
const gaugeInterval = time.Second

// counters holds the metrics of a node's request path.
type counters struct {
	// requests counts customer requests by the cause of their refusal; CauseNone counts
	// those that a backend server answered.
	requests   [request.Causes]tally.Counter
	latency    tally.Histogram
	violations tally.Counter

	inFlight, limit, liveCalls, bundleVersion tally.Gauge
	// viewAge is the time in seconds since the node's view was last confirmed.
	viewAge tally.Gauge

	scope tally.Scope
	// events holds the counters of log lines by their message.
	events sync.Map
}

// latencyBuckets are the bounds of the latency histogram.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		scope:         scope,
		latency:       scope.Histogram("request_latency", latencyBuckets),
		violations:    scope.Counter("invariant_violations"),
		inFlight:      scope.Gauge("in_flight"),
		limit:         scope.Gauge("concurrency_limit"),
		liveCalls:     scope.Gauge("live_calls"),
		bundleVersion: scope.Gauge("bundle_version"),
		viewAge:       scope.Gauge("view_age_seconds"),
	}
	for cause := range request.Causes {
		c.requests[cause] = scope.Tagged(map[string]string{"cause": cause.String()}).Counter("requests")
	}
	return c
}

// event counts a log line. Messages are constants, so there are few.
func (c *counters) event(message string) {
	counter, ok := c.events.Load(message)
	if !ok {
		counter, _ = c.events.LoadOrStore(message, c.scope.Tagged(map[string]string{"event": message}).Counter("events"))
	}
	counter.(tally.Counter).Inc(1)
}

// request counts a customer request.
func (c *counters) request(sample report.Sample) {
	c.requests[sample.Cause].Inc(1)
	c.latency.RecordDuration(sample.Latency)
}

// gaugeUntil reads the gauges until the context ends.
func (n *Node) gaugeUntil(ctx context.Context) error {
	for clock.Sleep(ctx, gaugeInterval) {
		load := n.local.guard.load(false)
		n.counters.inFlight.Update(float64(load.InFlight.Total()))
		n.counters.limit.Update(float64(load.Limit))
		n.counters.liveCalls.Update(float64(n.tokens.Count()))
		n.counters.bundleVersion.Update(float64(n.bundles.ActiveVersion()))
	}
	return nil
}

// onViolation counts and logs an invariant that does not hold.
func (n *Node) onViolation(invariant string) {
	n.counters.violations.Inc(1)
	n.logger.Error("node: invariant violated", zap.String("invariant", invariant))
}
