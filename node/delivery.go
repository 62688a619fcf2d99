package node

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"auburngap/clock"
	"auburngap/httpconn"
	"auburngap/request"
	"auburngap/retry"
	"auburngap/route"
)

// maxReroutes bounds how often a call goes to another node without a charge on
// the retry budget, as its backend server never saw it.
const maxReroutes = 3

// keptFailureBytes bounds the body of a failed answer that is kept while the call is
// sent once more.
const keptFailureBytes = 16 << 10

// delivery is one call on its way to a backend server, with what its attempts
// have shown so far.
type delivery struct {
	*router
	call   *request.Call
	picker *servicePicker
	// budget holds the retries that are left, lent those that went with the last attempt.
	budget retry.Budget
	lent   int
	// number counts the attempts, reroutes those of them that were free of charge.
	number, reroutes int
	// began is when the last attempt did.
	began time.Time
	// tried is the backend server of the last attempt, last what came of it.
	tried *route.Choice
	last  *request.Refusal
	// spare is an answer by which a backend server failed; it is passed on where a
	// later attempt brings none. It is nil before.
	spare *request.Answer
	// callsBelow is the most calls that any attempt has made below it.
	callsBelow int
}

// run sends the call until a backend server answers it or no other attempt is due.
func (d *delivery) run(ctx context.Context) (*request.Answer, error) {
	for {
		d.number++
		d.lend()
		d.began = time.Now()
		choice, answer, err := d.attempt(ctx, d.call, d.picker, d.tried)
		var resend bool
		if err == nil {
			resend = d.resendFailed(ctx, choice, answer)
		} else {
			resend = d.resendRefused(ctx, choice, request.AsRefusal(err))
		}
		if !resend {
			return d.end(choice, answer)
		}
		d.call.Body = d.call.Replay()
		d.tried = choice
	}
}

// end returns the last attempt's answer or, where there is none, what stands of
// the attempts before.
func (d *delivery) end(choice *route.Choice, answer *request.Answer) (*request.Answer, error) {
	switch {
	case answer != nil:
		d.answered(d.call, choice, answer, d.number)
		return d.withBudget(answer), nil
	case d.spare != nil:
		return d.withBudget(d.spare), nil
	}
	d.last.Report.UnspentRetries = d.budget.Remaining()
	return nil, d.last
}

// resendFailed tells whether the call is sent once more, after a wait, as the
// backend server that answered it has failed. That needs as much time as the failed
// attempt took: a call that failed for want of time would do so again.
func (d *delivery) resendFailed(ctx context.Context, choice *route.Choice, answer *request.Answer) bool {
	if answer.Status != http.StatusInternalServerError || !d.call.Idempotent || d.spare != nil {
		return false
	}
	// The calls that a call makes would be repeats as well, of which the bounds on
	// repeats to their services know only afterwards.
	if d.throttles != nil && !d.throttles.isLeaf(d.call) {
		return false
	}
	if !readWhole(answer, keptFailureBytes) || time.Until(d.call.Context.Deadline) < time.Since(d.began) {
		return false
	}
	failure := request.Refuse(request.CauseBackendFailed, request.Unknown, 0)
	failure.ByBackend, failure.Report = true, answer.Report()
	before := d.budget
	d.takeBack(failure.Report)
	if !d.again(ctx, failure, d.gate.overloadedBelow(d.call, d.bundle())) {
		d.budget = before
		return false
	}
	d.failed(d.call, choice, failure, "sent again")
	d.spare = answer
	return true
}

// resendRefused tells whether a call that got no answer is sent once more, after a
// wait.
func (d *delivery) resendRefused(ctx context.Context, choice *route.Choice, refusal *request.Refusal) bool {
	if choice == nil && (d.last != nil || d.spare != nil) {
		// No other server is left: what the one tried before said stands.
		d.budget.Return(d.lent, d.lent)
		return false
	}
	d.last = refusal
	d.takeBack(refusal.Report)
	if d.reroutes < maxReroutes && mayReroute(ctx, d.call, refusal) {
		d.reroutes++
		d.failed(d.call, choice, refusal, "sent elsewhere")
		return true
	}
	overloaded := d.gate.overloaded(d.call.Service) && !hasRoom(d.call.Service, refusal)
	if !d.again(ctx, refusal, overloaded) {
		d.failed(d.call, choice, refusal, "given up")
		return false
	}
	d.failed(d.call, choice, refusal, "sent again")
	return true
}

// takeBack takes in what an attempt without a good answer tells of its retries and
// calls.
func (d *delivery) takeBack(report request.Report) {
	d.budget.Return(d.lent, report.UnspentRetries)
	d.callsBelow = max(d.callsBelow, report.DownstreamCalls)
}

// again waits before the next attempt; false where there is none.
func (d *delivery) again(ctx context.Context, refusal *request.Refusal, overloaded bool) bool {
	if d.call.Replay == nil || ctx.Err() != nil {
		return false
	}
	attempt := retry.Attempt{
		Number:          d.number,
		Outcome:         refusal.Outcome,
		Cause:           refusal.Cause,
		Idempotent:      d.call.Idempotent,
		Overloaded:      overloaded,
		DownstreamCalls: d.callsBelow,
		Deadline:        d.call.Context.Deadline,
	}
	var delay time.Duration
	var ok bool
	d.picker.withRandom(func(random *rand.Rand) {
		delay, ok = d.policy.Next(&d.budget, attempt, time.Now(), random)
	})
	if !ok || d.throttles != nil && !d.throttles.repeat(d.call) {
		return false
	}
	d.call.Context.Repeated = true
	return clock.Sleep(ctx, delay)
}

// lend takes out the part of the retry budget that goes with the call.
func (d *delivery) lend() {
	d.lent = 0
	if !d.flat {
		d.lent = d.budget.Lend()
	}
	d.call.Context.RetryBudget = d.lent
}

// withBudget makes the answer's report tell what is left of the budget.
func (d *delivery) withBudget(answer *request.Answer) *request.Answer {
	report := answer.Report
	answer.Report = func() request.Report {
		whole := report()
		left := d.budget
		left.Return(d.lent, whole.UnspentRetries)
		whole.UnspentRetries = left.Remaining()
		return whole
	}
	return answer
}

// readWhole reads an answer's body, which stays readable from its beginning and then
// holds up nothing. False means that it is longer than limit bytes or broke off.
func readWhole(answer *request.Answer, limit int64) bool {
	body, err := peekBody(answer, limit+1)
	if err != nil || int64(len(body)) > limit {
		return false
	}
	err = answer.Body.Close()
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil
}

// peekBody reads the beginning of an answer's body, at most limit bytes, and puts it
// back.
func peekBody(answer *request.Answer, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, limit))
	answer.Body = &httpconn.Prefixed{Reader: io.MultiReader(bytes.NewReader(body), answer.Body), Closer: answer.Body}
	return body, err
}

// hasRoom tells whether a server refused a call that it had room for: another try
// may succeed though the service sheds requests.
func hasRoom(service string, refusal *request.Refusal) bool {
	signal := signalOf(service, refusal.Report.Loads)
	return refusal.ByBackend && signal != nil && signal.inFlight.Total() < signal.limit
}

// mayReroute tells whether a refused call has reached no backend server, as its
// node is leaving or gone.
func mayReroute(ctx context.Context, call *request.Call, refusal *request.Refusal) bool {
	if call.Replay == nil || ctx.Err() != nil || refusal.Outcome != request.NotRun {
		return false
	}
	return refusal.Cause == request.CauseDraining || refusal.Cause == request.CauseNoBackend
}
