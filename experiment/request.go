package experiment

import (
	"slices"
	"time"

	"auburngap/admission"
	"auburngap/request"
	"auburngap/retry"
	"auburngap/route"
)

// outcome is how a call or a customer request ended.
type outcome struct {
	ok      bool
	cause   request.Cause
	outcome request.Outcome
}

var (
	served          = outcome{ok: true, outcome: request.Answered}
	notRunNoBackend = refusal(request.CauseNoBackend)
	notRunOverload  = refusal(request.CauseOverload)
	failedBelow     = outcome{cause: request.CauseBackendFailed, outcome: request.Answered}
	serverLost      = outcome{cause: request.CauseBackendFailed, outcome: request.Unknown}
	timedOut        = outcome{cause: request.CauseDeadline, outcome: request.Unknown}
)

// result is the outcome as the picker counts it.
func (o outcome) result() route.Result {
	switch {
	case o.ok:
		return route.Succeeded
	case o == notRunNoBackend || o == serverLost:
		return route.Failed
	case o.cause == request.CauseOverload:
		return route.Overloaded
	default:
		return route.Cancelled
	}
}

func refusal(cause request.Cause) outcome {
	return outcome{cause: cause, outcome: request.NotRun}
}

// customer is one customer with one request, which may be retried.
type customer struct {
	workspace, route, zone int
	arrived                time.Time
	retries                int
	measured               bool
}

const (
	// maxRetries and maxAggressiveRetries bound a customer's retries.
	maxRetries, maxAggressiveRetries = 1, 10
	// aggressiveRetryDelay is the delay of a caller that retries at once.
	aggressiveRetryDelay = 20 * time.Millisecond
)

// customerRequest is one attempt of a customer.
type customerRequest struct {
	sim      *sim
	customer *customer
	hash     uint32
	deadline time.Time
	entry    *node
	ended    bool
	failed   bool
	// work is the servers' own time spent so far.
	work time.Duration
	// inFlight holds the attempts that a cancellation has to reach.
	inFlight []*attempt
	budget   retry.Budget
}

func (r *customerRequest) priority() request.Priority {
	return r.sim.site.routes[r.customer.route].priority
}

func (s *sim) arrive(workspace, route int) {
	c := &customer{workspace: workspace, route: route, zone: s.random.IntN(s.site.zones), arrived: s.now, measured: s.active}
	s.record.arrival(s, c)
	s.submit(c)
}

// submit sends a customer's request to a node of its zone.
func (s *sim) submit(c *customer) {
	r := &customerRequest{sim: s, customer: c, hash: s.random.Uint32()}
	r.entry = s.entryNode(c.zone)
	route := &s.site.routes[c.route]
	r.deadline = s.now.Add(route.timeout)
	s.after(s.site.callerDelay, func() { s.enter(r) })
}

func (s *sim) entryNode(zone int) *node {
	for {
		if n := s.nodes[s.random.IntN(len(s.nodes))]; n.zone == zone {
			return n
		}
	}
}

func (s *sim) enter(r *customerRequest) {
	workspace := s.site.workspaces[r.customer.workspace]
	if s.policy.gate && s.scenario.enforceRates && !s.buckets[r.customer.workspace].take(s.now) {
		r.end(refusal(request.CauseRate))
		return
	}
	if s.policy.gate {
		admitted := r.entry.gate.Admit(admission.Request{
			Priority: r.priority(), Workspace: workspace.name, Weight: workspace.weight, Hash: r.hash,
		}, r.entry.paths[r.customer.route], s.now)
		if !admitted {
			r.end(notRunOverload)
			return
		}
	}
	route := &s.site.routes[r.customer.route]
	r.budget = retry.NewBudget(route.budget)
	s.after(r.deadline.Sub(s.now), func() { r.end(timedOut) })
	root := &call{request: r, spec: &route.call, from: r.entry, budget: &r.budget, done: r.end}
	root.try()
}

// end answers the customer and cancels the attempts in flight.
func (r *customerRequest) end(o outcome) {
	if r.ended {
		return
	}
	r.ended, r.failed = true, !o.ok
	if r.failed {
		r.sim.record.wasted += r.work
	}
	if r.sim.policy.cancel {
		for _, a := range slices.Clone(r.inFlight) {
			a.cancel()
		}
	}
	r.sim.after(r.sim.site.callerDelay, func() { r.sim.answer(r, o) })
}

// answer is the customer's reaction to an answer: it is served, retries or gives up.
func (s *sim) answer(r *customerRequest, o outcome) {
	c := r.customer
	s.record.answered(s, c, o)
	if o.ok {
		return
	}
	objective := s.site.routes[c.route].objective
	if s.policy.plainRetryAfter {
		objective = 0
	}
	pause, most := admission.RetryAfter(admission.RetryAfterBase(objective), s.random), maxRetries
	if s.scenario.aggressiveRetries {
		pause, most = aggressiveRetryDelay, maxAggressiveRetries
	}
	if c.retries >= most {
		return
	}
	c.retries++
	s.after(pause, func() { s.submit(c) })
}
