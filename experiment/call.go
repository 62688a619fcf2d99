package experiment

import (
	"time"

	"auburngap/admission"
	"auburngap/request"
	"auburngap/retry"
	"auburngap/route"
)

const (
	// connectTime is the time that opening a connection takes.
	connectTime = time.Millisecond
	// connectTimeout is how long a connection attempt waits for an answer.
	connectTimeout = 200 * time.Millisecond
)

// call is one call of a service, with its attempts.
type call struct {
	request *customerRequest
	spec    *callSpec
	from    *node
	budget  *retry.Budget
	depth   int
	parent  *attempt
	number  int
	tried   route.Choice
	done    func(outcome)
}

// attempt is one try of a call at one target.
type attempt struct {
	call   *call
	target *target
	choice route.Choice
	sent   time.Time
	ticket admission.Ticket
	// limiter is the limiter that the ticket was offered to.
	limiter                     *admission.Limiter
	budget                      retry.Budget
	lent                        int
	ended                       bool
	arrived, entered, workStart time.Time
	workTime, own               time.Duration
	working                     bool
	next, pending               int
	signal                      signal
}

// try makes the next attempt.
func (c *call) try() {
	s := c.request.sim
	if c.request.ended && s.policy.cancel {
		return
	}
	c.number++
	choice, ok := c.from.pickers[c.spec.service].PickOther(s.now, s.random, c.routingPriority(), c.tried)
	if !ok {
		c.retryOrFinish(notRunNoBackend)
		return
	}
	t := s.byVM[choice.Target.VM]
	c.tried = choice
	a := &attempt{call: c, target: t, choice: choice, lent: c.budget.Lend(), sent: s.now}
	a.budget = retry.NewBudget(a.lent)
	c.request.inFlight = append(c.request.inFlight, a)
	delay := s.delay(c.from.zone, t.zone)
	if !c.from.connected[t.index] {
		c.from.connected[t.index] = true
		delay += connectTime
	}
	if s.isPartitioned(c.from.zone, t.zone) {
		s.after(connectTimeout, func() { a.fail(notRunNoBackend) })
		return
	}
	s.after(delay, func() {
		if !a.ended {
			t.arrive(a)
		}
	})
}

// routingPriority is the priority used to choose a server. With the lowest priority,
// all calls at a server count equally.
func (c *call) routingPriority() request.Priority {
	if c.request.sim.policy.previous {
		return request.Priorities - 1
	}
	return c.request.priority()
}

// retryOrFinish retries the call if the policy allows it, and ends it otherwise.
func (c *call) retryOrFinish(o outcome) {
	s := c.request.sim
	if o.ok || (c.request.ended && s.policy.cancel) {
		c.done(o)
		return
	}
	delay, again := c.decide(o)
	if !again {
		c.done(o)
		return
	}
	s.record.retries++
	s.after(delay, c.try)
}

func (c *call) decide(o outcome) (time.Duration, bool) {
	s := c.request.sim
	idempotent := s.site.routes[c.request.customer.route].idempotent
	if !s.policy.budget {
		safe := o.outcome == request.NotRun || idempotent
		return 5 * time.Millisecond, safe && c.number <= s.policy.hopRetries
	}
	return s.retries.Next(c.budget, retry.Attempt{
		Number: c.number, Outcome: o.outcome, Cause: o.cause, Idempotent: idempotent,
		Overloaded: c.from.gate.Overloaded(c.from.services[c.spec.service], s.now),
		Deadline:   c.request.deadline,
	}, s.now, s.random)
}

func (a *attempt) fillTicket() {
	r := a.call.request
	a.ticket = admission.Ticket{Value: a}
	if r.sim.policy.fixed && !r.sim.policy.gate {
		return
	}
	a.ticket.Priority = r.priority()
	a.ticket.Depth = a.call.depth
	a.ticket.Hash = r.hash
	a.ticket.Deadline = r.deadline
	if r.sim.policy.fair {
		workspace := r.sim.site.workspaces[r.customer.workspace]
		a.ticket.Workspace, a.ticket.Weight = workspace.name, workspace.weight
	}
}

// work runs the server's own processing, then the downstream calls.
func (a *attempt) work(own time.Duration) {
	s := a.call.request.sim
	if a.entered.IsZero() {
		a.entered = s.now
	}
	a.working, a.workStart, a.workTime = true, s.now, own
	s.after(own, func() {
		if a.ended {
			return
		}
		a.recordWork(own)
		a.own = s.now.Sub(a.entered)
		a.callDownstream()
	})
}

// recordWork adds server time to the request.
func (a *attempt) recordWork(spent time.Duration) {
	a.working = false
	r := a.call.request
	r.sim.record.worked += spent
	r.work += spent
	if r.ended && r.failed {
		r.sim.record.wasted += spent
	}
}

// ownLatency is the time in the server without the downstream calls.
func (a *attempt) ownLatency() time.Duration {
	if a.own > 0 {
		return a.own
	}
	return time.Nanosecond
}

// callDownstream makes the calls to other services.
func (a *attempt) callDownstream() {
	specs := a.call.spec.downstream
	if a.next >= len(specs) {
		if a.pending == 0 {
			a.finish(served)
		}
		return
	}
	first, last := a.next, a.next+1
	if a.call.spec.parallel {
		last = len(specs)
	}
	a.next = last
	a.pending = last - first
	for i := first; i < last; i++ {
		child := &call{
			request: a.call.request, spec: &specs[i], from: a.call.request.sim.nodes[a.target.index],
			budget: &a.budget, depth: a.call.depth + 1, parent: a, done: a.childDone,
		}
		child.try()
	}
}

func (a *attempt) childDone(o outcome) {
	if a.ended {
		return
	}
	a.pending--
	if !o.ok {
		a.finish(failedBelow)
		return
	}
	if a.pending == 0 {
		a.callDownstream()
	}
}

// finish ends an attempt that held a slot.
func (a *attempt) finish(o outcome) {
	a.target.release(a)
	a.target.finishTicket(a, admission.Succeeded)
	a.fail(o)
}

// failServerLost ends an attempt whose server has died.
func (a *attempt) failServerLost() {
	if a.ended {
		return
	}
	if a.working {
		a.recordWork(a.call.request.sim.now.Sub(a.workStart))
	}
	a.fail(serverLost)
}

// fail sends the outcome, good or bad, back to the calling node.
func (a *attempt) fail(o outcome) {
	if a.ended {
		return
	}
	s := a.call.request.sim
	a.ended = true
	a.call.request.inFlight = remove(a.call.request.inFlight, a)
	if s.policy.gate && o != notRunNoBackend {
		a.signal[a.target.service] = a.target.limiter.Level(s.now)
	}
	load, limit := a.target.limiter.Occupancy(), a.target.limiter.Limit()
	s.after(s.delay(a.call.from.zone, a.target.zone), func() { a.answer(o, load, limit) })
}

// answer handles the outcome when it reaches the calling node.
func (a *attempt) answer(o outcome, load request.Occupancy, limit int) {
	c := a.call
	now, picker := c.request.sim.now, c.from.pickers[c.spec.service]
	if c.request.sim.policy.limiter && o.cause != request.CauseNoBackend {
		picker.Observe(now, a.choice, load, limit)
	}
	picker.Done(now, a.choice, o.result(), now.Sub(a.sent))
	c.from.learn(a.signal)
	if c.parent != nil {
		c.parent.merge(a.signal)
	}
	c.budget.Return(a.lent, a.budget.Remaining())
	c.retryOrFinish(o)
}

// merge adds the levels of downstream services to this attempt's answer, so that they
// reach the entry node.
func (a *attempt) merge(deeper signal) {
	for service, level := range deeper {
		if level > 0 {
			a.signal[service] = level
		}
	}
}

// cancel ends an attempt whose request has ended.
func (a *attempt) cancel() {
	if a.ended {
		return
	}
	s := a.call.request.sim
	a.ended = true
	a.call.request.inFlight = remove(a.call.request.inFlight, a)
	s.after(s.delay(a.call.from.zone, a.target.zone), func() {
		if a.working {
			a.recordWork(min(s.now.Sub(a.workStart), a.workTime))
		}
		a.call.from.pickers[a.call.spec.service].Done(s.now, a.choice, route.Cancelled, 0)
		if a.limiter == a.target.limiter {
			a.target.abandon(a)
		}
	})
}
