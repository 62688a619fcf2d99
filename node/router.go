package node

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"auburngap/bundle"
	"auburngap/request"
	"auburngap/retry"
	"auburngap/route"
)

// router sends calls to the node of a backend server of their service, and
// retries within the request's retry budget.
type router struct {
	localVM string
	local   request.Handler
	pool    sender
	routes  *routes
	gate    *gate
	bundle  func() *bundle.Index
	policy  *retry.Policy
	// subscriptions knows which services are listed; nil if all are.
	subscriptions *subscriptions
	// throttles bounds the retries to each service; nil if only the retry budgets of
	// requests bound them.
	throttles *throttles
	// onAnswer is called with each call that a backend server answered, and the number of
	// the attempt; it may be nil.
	onAnswer func(call *request.Call, choice *route.Choice, answer *request.Answer, attempt int)
	// onFailure is called with each attempt that got no answer, or one that is not
	// passed on, and what is done next; it may be nil.
	onFailure func(call *request.Call, choice *route.Choice, refusal *request.Refusal, next string)
	// keepBudget is set at sites that have no chain of calls to lend the retry budget to.
	keepBudget bool
}

// sender sends calls to the nodes of other VMs.
type sender interface {
	Call(ctx context.Context, address netip.AddrPort, call *request.Call) (*request.Answer, error)
}

// Serve implements request.Handler.
func (r *router) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	if r.subscriptions != nil {
		if refusal := r.subscriptions.await(ctx, call); refusal != nil {
			return nil, refusal
		}
	}
	if r.throttles != nil {
		r.throttles.countRequest(call)
	}
	d := &delivery{
		router: r,
		call:   call,
		picker: r.routes.of(call.Service),
		budget: retry.NewBudget(call.Context.RetryBudget),
	}
	return d.run(ctx)
}

func (r *router) notifyAnswer(call *request.Call, choice *route.Choice, answer *request.Answer, attempt int) {
	if r.onAnswer != nil {
		r.onAnswer(call, choice, answer, attempt)
	}
}

func (r *router) notifyFailure(call *request.Call, choice *route.Choice, refusal *request.Refusal, next string) {
	if r.onFailure != nil {
		r.onFailure(call, choice, refusal, next)
	}
}

func (r *router) attempt(ctx context.Context, call *request.Call, picker *servicePicker, previous *route.Choice) (*route.Choice, *request.Answer, error) {
	choice, ok := picker.pick(call.Context.Priority, previous)
	if !ok {
		return nil, nil, request.RefuseUnsent(call, request.CauseNoBackend, time.Second)
	}
	start := time.Now()
	answer, err := r.send(ctx, call, choice)
	if err != nil {
		refusal := request.AsRefusal(err)
		r.gate.learn(call.Context.Route, refusal.Report.Loads)
		picker.done(choice, resultOfRefusal(refusal), 0, loadSignalOf(call.Service, refusal.Report.Loads))
		return &choice, nil, err
	}
	report := answer.Report
	answer.Body = &observedBody{ReadCloser: answer.Body, onClose: func() {
		loads := report().Loads
		r.gate.learn(call.Context.Route, loads)
		picker.done(choice, resultOfStatus(answer.Status), time.Since(start), loadSignalOf(call.Service, loads))
	}}
	return &choice, answer, nil
}

func (r *router) send(ctx context.Context, call *request.Call, choice route.Choice) (*request.Answer, error) {
	if choice.Target.VM == r.localVM {
		return r.local.Serve(ctx, call)
	}
	return r.pool.Call(ctx, choice.Target.Address, call)
}

// loadSignalOf returns the load of the server that answered for a service.
func loadSignalOf(service string, loads []request.ServiceLoad) *loadSignal {
	for _, load := range loads {
		if load.Service == service && load.Limit > 0 {
			return &loadSignal{inFlight: load.InFlight, limit: load.Limit}
		}
	}
	return nil
}

// resultOfStatus returns what an answer shows about its server. Only a failure of the
// server counts against it: other statuses depend on the time that was left, or on the
// request.
func resultOfStatus(status int) route.Result {
	switch status {
	case http.StatusServiceUnavailable:
		return route.Overloaded
	case http.StatusInternalServerError:
		return route.FailedAnswer
	}
	return route.Succeeded
}

func resultOfRefusal(refusal *request.Refusal) route.Result {
	switch refusal.Cause {
	case request.CauseOverload:
		return route.Overloaded
	case request.CauseDraining:
		return route.Draining
	case request.CauseNoBackend:
		return route.Unreachable
	case request.CauseCancelled, request.CauseRate:
		return route.Cancelled
	}
	return route.Failed
}
