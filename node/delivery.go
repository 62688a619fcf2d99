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

// maxReroutes bounds how often a call is sent to another node without charging
// the retry budget, which is allowed because no backend server received it.
const maxReroutes = 3

// maxFailureBodyBytes bounds the body of a failed answer that is buffered while the
// call is retried.
const maxFailureBodyBytes = 16 << 10

// delivery is one call on its way to a backend server, with the results of its
// attempts so far.
type delivery struct {
	*router
	call   *request.Call
	picker *servicePicker
	// budget holds the remaining retries; lent is the number of retries lent to the
	// last attempt.
	budget retry.Budget
	lent   int
	// attempts counts the attempts; reroutes counts those that were not charged to the
	// budget.
	attempts, reroutes int
	// attemptStart is when the last attempt began.
	attemptStart time.Time
	// lastChoice is the backend server of the last attempt; lastRefusal is the last refusal.
	lastChoice  *route.Choice
	lastRefusal *request.Refusal
	// mayHaveRun is set once an attempt was refused that may have run.
	mayHaveRun bool
	// failedAnswer is the answer of a backend server that failed. It is passed on if no
	// later attempt gets an answer. It is nil until a failed call is retried.
	failedAnswer *request.Answer
	// downstreamCalls is the largest number of downstream calls that any attempt made.
	downstreamCalls int
}

// run sends the call until a backend server answers it or no other attempt is due.
func (d *delivery) run(ctx context.Context) (*request.Answer, error) {
	for {
		d.attempts++
		d.lendBudget()
		d.attemptStart = time.Now()
		choice, answer, err := d.attempt(ctx, d.call, d.picker, d.lastChoice)
		var resend bool
		if err == nil {
			resend = d.retryFailed(ctx, choice, answer)
		} else {
			resend = d.retryRefused(ctx, choice, request.AsRefusal(err))
		}
		if !resend {
			return d.result(choice, answer)
		}
		d.call.Body = d.call.Replay()
		d.lastChoice = choice
	}
}

// result returns the last attempt's answer. If there is none, it returns the earlier
// failed answer or else the last refusal.
func (d *delivery) result(choice *route.Choice, answer *request.Answer) (*request.Answer, error) {
	switch {
	case answer != nil:
		d.notifyAnswer(d.call, choice, answer, d.attempts)
		return d.withBudget(answer), nil
	case d.failedAnswer != nil:
		return d.withBudget(d.failedAnswer), nil
	}
	if d.mayHaveRun && d.lastRefusal.Outcome == request.NotRun {
		// That is true of the last attempt alone.
		d.lastRefusal.Outcome = request.Unknown
	}
	d.lastRefusal.Report.UnspentRetries = d.budget.Remaining()
	return nil, d.lastRefusal
}

// retryFailed reports whether the call is sent again, after a wait, because the
// backend server that answered it failed. It requires at least as much remaining time
// as the failed attempt took, since a call that failed for lack of time would fail again.
func (d *delivery) retryFailed(ctx context.Context, choice *route.Choice, answer *request.Answer) bool {
	if answer.Status != http.StatusInternalServerError || !d.call.Idempotent || d.failedAnswer != nil {
		return false
	}
	// The downstream calls of a call would be retries as well, and the bounds on
	// retries to their services learn of them only afterwards.
	if d.throttles != nil && !d.throttles.isLeaf(d.call) {
		return false
	}
	if !bufferBody(answer, maxFailureBodyBytes) || time.Until(d.call.Context.Deadline) < time.Since(d.attemptStart) {
		return false
	}
	failure := request.Refuse(request.CauseBackendFailed, request.Unknown, 0)
	failure.ByBackend, failure.Report = true, answer.Report()
	before := d.budget
	d.reclaimBudget(failure.Report)
	if !d.waitToRetry(ctx, failure, d.gate.pathOverloaded(d.call, d.bundle())) {
		d.budget = before
		return false
	}
	d.notifyFailure(d.call, choice, failure, "sent again")
	d.failedAnswer = answer
	return true
}

// retryRefused reports whether a call that got no answer is sent again. A charged
// retry waits first.
func (d *delivery) retryRefused(ctx context.Context, choice *route.Choice, refusal *request.Refusal) bool {
	if choice == nil && (d.lastRefusal != nil || d.failedAnswer != nil) {
		// No other server is left: the result of the previous attempt is final.
		d.budget.Return(d.lent, d.lent)
		return false
	}
	d.lastRefusal = refusal
	d.mayHaveRun = d.mayHaveRun || refusal.Outcome != request.NotRun
	d.reclaimBudget(refusal.Report)
	if d.reroutes < maxReroutes && mayReroute(ctx, d.call, refusal) {
		d.reroutes++
		d.notifyFailure(d.call, choice, refusal, "sent elsewhere")
		return true
	}
	overloaded := d.gate.overloaded(d.call.Service) && !hasSpareCapacity(d.call.Service, refusal)
	if !d.waitToRetry(ctx, refusal, overloaded) {
		d.notifyFailure(d.call, choice, refusal, "given up")
		return false
	}
	d.notifyFailure(d.call, choice, refusal, "sent again")
	return true
}

// reclaimBudget applies what an attempt without a good answer reports of its unspent
// retries and downstream calls.
func (d *delivery) reclaimBudget(report request.Report) {
	d.budget.Return(d.lent, report.UnspentRetries)
	d.downstreamCalls = max(d.downstreamCalls, report.DownstreamCalls)
}

// waitToRetry waits before the next attempt. It returns false if there must be none.
func (d *delivery) waitToRetry(ctx context.Context, refusal *request.Refusal, overloaded bool) bool {
	if d.call.Replay == nil || ctx.Err() != nil {
		return false
	}
	attempt := retry.Attempt{
		Number:          d.attempts,
		Outcome:         refusal.Outcome,
		Cause:           refusal.Cause,
		Idempotent:      d.call.Idempotent,
		Overloaded:      overloaded,
		DownstreamCalls: d.downstreamCalls,
		Deadline:        d.call.Context.Deadline,
	}
	var delay time.Duration
	var ok bool
	d.picker.withRandom(func(random *rand.Rand) {
		delay, ok = d.policy.Next(&d.budget, attempt, time.Now(), random)
	})
	if !ok || d.throttles != nil && !d.throttles.allowRetry(d.call) {
		return false
	}
	d.call.Context.Repeated = true
	return clock.Sleep(ctx, delay)
}

// lendBudget takes the part of the retry budget that is sent with the call.
func (d *delivery) lendBudget() {
	d.lent = 0
	if !d.keepBudget {
		d.lent = d.budget.Lend()
	}
	d.call.Context.RetryBudget = d.lent
}

// withBudget adds the remaining budget to the answer's report.
func (d *delivery) withBudget(answer *request.Answer) *request.Answer {
	report := answer.Report
	answer.Report = func() request.Report {
		complete := report()
		left := d.budget
		left.Return(d.lent, complete.UnspentRetries)
		complete.UnspentRetries = left.Remaining()
		return complete
	}
	return answer
}

// bufferBody reads an answer's body into memory and closes it, so that it holds no
// connection. The body stays readable from its beginning. It returns false if the body
// is longer than limit bytes or incomplete.
func bufferBody(answer *request.Answer, limit int64) bool {
	body, err := peekBody(answer, limit+1)
	if err != nil || int64(len(body)) > limit {
		return false
	}
	err = answer.Body.Close()
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil
}

// peekBody reads the beginning of an answer's body, at most limit bytes. The body stays
// readable from its beginning.
func peekBody(answer *request.Answer, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, limit))
	answer.Body = &httpconn.Prefixed{Reader: io.MultiReader(bytes.NewReader(body), answer.Body), Closer: answer.Body}
	return body, err
}

// hasSpareCapacity reports whether a server refused a call although it had spare
// capacity: another attempt may succeed even though the service sheds requests.
func hasSpareCapacity(service string, refusal *request.Refusal) bool {
	signal := loadSignalOf(service, refusal.Report.Loads)
	return refusal.ByBackend && signal != nil && signal.inFlight.Total() < signal.limit
}

// mayReroute reports whether a refused call may be sent to another node because it
// reached no backend server: its node is leaving or gone.
func mayReroute(ctx context.Context, call *request.Call, refusal *request.Refusal) bool {
	if call.Replay == nil || ctx.Err() != nil || refusal.Outcome != request.NotRun {
		return false
	}
	return refusal.Cause == request.CauseDraining || refusal.Cause == request.CauseNoBackend
}
