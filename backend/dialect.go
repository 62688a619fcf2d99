package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/valyala/fasthttp"

	"auburngap/httpconn"
	"auburngap/request"
)

// maxOddAnswers bounds the answers to other requests that are skipped before
// the one that is waited for.
const maxOddAnswers = 4

var (
	errOddAnswers    = errors.New("too many answers to other requests")
	errNotRepeated   = errors.New("answer does not name the request's attempt")
	errNotExecuted   = errors.New("backend server did not run the request")
	errWrongInstance = errors.New("another instance has the address")
	errFailedLate    = errors.New("backend server failed after the deadline")
)

// writeDialect sets the headers of the site's own dialect.
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

// judge finds the answer that belongs to the call and reads it whole where it
// is small, so that one that breaks off becomes a refusal.
func (e *exchange) judge(call *request.Call, answer *request.Answer) (*request.Answer, error) {
	answer, err := e.skipOdd(call, answer)
	if err != nil {
		return nil, err
	}
	d := e.client.config.Dialect
	if err := e.notRun(); err != nil {
		return nil, err
	}
	if !e.names(call) {
		return nil, errNotRepeated
	}
	answer.Headers = d.ResponseHeaders(answer.Headers)
	return e.whole(call, answer)
}

// skipOdd reads on behind answers to other requests.
func (e *exchange) skipOdd(call *request.Call, answer *request.Answer) (*request.Answer, error) {
	for range maxOddAnswers {
		if !e.namesOther(call) {
			return answer, nil
		}
		e.odd = true
		if _, err := io.Copy(io.Discard, e); err != nil {
			return nil, err
		}
		e.ended = false
		if err := e.receive(call); err != nil {
			return nil, err
		}
		answer = e.answer(call)
	}
	return nil, errOddAnswers
}

func (e *exchange) attempt() []byte {
	return e.response.Header.Peek(e.client.config.Dialect.AttemptID)
}

// names tells whether the answer names the call's attempt.
func (e *exchange) names(call *request.Call) bool {
	return call.AttemptID == "" || bytes.Equal(e.attempt(), []byte(call.AttemptID))
}

// namesOther tells whether the answer names another attempt.
func (e *exchange) namesOther(call *request.Call) bool {
	return len(e.attempt()) > 0 && !e.names(call)
}

// notRun returns an error where the answer says that the request did not run.
func (e *exchange) notRun() error {
	header := &e.response.Header
	if header.StatusCode() == http.StatusMisdirectedRequest {
		return errWrongInstance
	}
	if len(header.Peek(e.client.config.Dialect.NotRun)) > 0 {
		return errNotExecuted
	}
	return nil
}

// whole reads a small body to its end.
func (e *exchange) whole(call *request.Call, answer *request.Answer) (*request.Answer, error) {
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

// drained reads the rest of a small answer that is not passed on, and tells
// whether that was all of it.
func (e *exchange) drained() bool {
	_, err := io.CopyN(io.Discard, e, request.MaxBufferedBodyBytes)
	return err == io.EOF
}

// refusalFor tells what an error of judge or run shows of the call's outcome.
func (e *exchange) refusalFor(ctx context.Context, err error) *request.Refusal {
	refusal := e.refusal(ctx)
	switch {
	case errors.Is(err, errNotExecuted):
		refusal.Cause, refusal.Outcome = request.CauseOverload, request.NotRun
		refusal.ByBackend = true
	case errors.Is(err, errFailedLate):
		refusal.Cause = request.CauseDeadline
	case errors.Is(err, errWrongInstance):
		refusal.Cause, refusal.Outcome = request.CauseNoBackend, request.NotRun
	}
	return refusal
}
