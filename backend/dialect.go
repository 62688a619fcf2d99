package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"auburngap/http1"
	"auburngap/httpconn"
	"auburngap/request"
)

const (
	// maxOtherAnswers is the maximum number of answers to other requests that are
	// skipped before the expected one.
	maxOtherAnswers = 4
	// maxDrainTime bounds how long a refusal waits for its body, which shows whether it is
	// whole and the connection can be kept.
	maxDrainTime = 50 * time.Millisecond
)

var (
	errTooManyOtherAnswers = errors.New("too many answers to other requests")
	errNoAttemptID         = errors.New("answer does not carry the attempt ID of the request")
	errNotExecuted         = errors.New("backend server did not run the request")
	errWrongInstance       = errors.New("address belongs to another instance")
	errFailedAfterDeadline = errors.New("backend server failed after the deadline")
)

// writeDialect sets the headers of the site's dialect.
func (e *exchange) writeDialect(header *fasthttp.RequestHeader, call *request.Call) {
	d := e.client.config.Dialect
	header.SetHost(call.Host)
	header.Set(d.Timeout, timeLeft(call))
	if call.Context.Workspace != "" {
		header.Set(d.Workspace, call.Context.Workspace)
	}
	if call.Caller != "" {
		header.Set(d.Caller, call.Caller)
	}
	if e.instance != "" {
		header.Set(d.Instance, e.instance)
	}
}

// checkAnswer finds the answer that belongs to the call. It reads a small answer
// to its end, so that a truncated one becomes a refusal.
func (e *exchange) checkAnswer(call *request.Call, answer *request.Answer) (*request.Answer, error) {
	answer, err := e.skipOtherAnswers(call, answer)
	if err != nil {
		return nil, err
	}
	d := e.client.config.Dialect
	if e.isRefusal(call) {
		if err := e.readRefusal(); err != nil {
			return nil, err
		}
		return nil, e.notRunError()
	}
	if e.notRunError() != nil || !e.namesAttempt(call) {
		return nil, errNoAttemptID
	}
	answer.Headers = d.ResponseHeaders(answer.Headers)
	return e.readSmallBody(call, answer)
}

// skipOtherAnswers skips answers to other requests and returns the next one.
func (e *exchange) skipOtherAnswers(call *request.Call, answer *request.Answer) (*request.Answer, error) {
	for range maxOtherAnswers {
		if !e.namesOtherAttempt(call) {
			return answer, nil
		}
		e.receivedOther = true
		if _, err := io.Copy(io.Discard, e); err != nil {
			return nil, err
		}
		if err := e.receive(call); err != nil {
			return nil, err
		}
		answer = e.answer(call)
	}
	return nil, errTooManyOtherAnswers
}

func (e *exchange) attemptID() []byte {
	return e.header.Peek(e.client.config.Dialect.AttemptID)
}

// namesAttempt reports whether the answer carries the call's attempt ID. It is
// true for a call without one.
func (e *exchange) namesAttempt(call *request.Call) bool {
	return call.AttemptID == "" || bytes.Equal(e.attemptID(), []byte(call.AttemptID))
}

// isRefusal reports whether the answer says that the call did not run.
func (e *exchange) isRefusal(call *request.Call) bool {
	return e.client.config.Dialect != nil && e.notRunError() != nil && e.mustAnswer(call)
}

// mustAnswer reports whether the answer can only be one to the call: it names the call's
// attempt, or is the first on its connection. One without an ID on a kept connection may be
// an earlier one that the server has repeated.
func (e *exchange) mustAnswer(call *request.Call) bool {
	named := call.AttemptID != "" && e.namesAttempt(call)
	return named || !e.conn.reused && !e.receivedOther
}

// namesOtherAttempt reports whether the answer carries another attempt ID.
func (e *exchange) namesOtherAttempt(call *request.Call) bool {
	return len(e.attemptID()) > 0 && !e.namesAttempt(call)
}

// notRunError returns an error if the answer says that the request did not run.
func (e *exchange) notRunError() error {
	header := &e.header
	if header.StatusCode() == http.StatusMisdirectedRequest {
		return errWrongInstance
	}
	if len(header.Peek(e.client.config.Dialect.NotRun)) > 0 {
		return errNotExecuted
	}
	return nil
}

// readSmallBody reads a small body to its end.
func (e *exchange) readSmallBody(call *request.Call, answer *request.Answer) (*request.Answer, error) {
	if answer.BodySize > request.MaxBufferedBodyBytes || call.Method == fasthttp.MethodHead {
		return answer, nil
	}
	body, err := httpconn.ReadUnsized(e)
	if err != nil {
		return nil, err
	}
	if body.Reader == nil {
		body.Reader = http.NoBody
	}
	answer.Body = &httpconn.Prefixed{Reader: body.Reader, Closer: e}
	if body.Size < 0 {
		return answer, nil
	}
	if answer.BodySize >= 0 && body.Size != answer.BodySize {
		return nil, httpconn.ErrTruncated
	}
	answer.BodySize = body.Size
	return answer, nil
}

// readRefusal reads the body of a refusal as far as it arrives soon, since the refusal does
// not have to wait for the rest. It returns an error if the body is broken: from an answer
// that is not whole nothing follows.
func (e *exchange) readRefusal() error {
	conn := e.conn.conn
	if err := conn.SetReadDeadline(time.Now().Add(maxDrainTime)); err != nil {
		return nil // the call was cancelled; the head has arrived
	}
	if _, err := io.CopyN(io.Discard, e, request.MaxBufferedBodyBytes+1); http1.IsBroken(err) {
		return err
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		e.ended = false
	}
	return nil
}

// refusalFor returns the refusal of a call for an error of checkAnswer or run.
func (e *exchange) refusalFor(ctx context.Context, err error) *request.Refusal {
	refusal := e.refusal(ctx)
	switch {
	case errors.Is(err, errNotExecuted):
		refusal.Cause, refusal.Outcome = request.CauseOverload, request.NotRun
		refusal.ByBackend = true
	case errors.Is(err, errFailedAfterDeadline):
		refusal.Cause = request.CauseDeadline
	case errors.Is(err, errWrongInstance):
		refusal.Cause, refusal.Outcome = request.CauseNoBackend, request.NotRun
	}
	return refusal
}
