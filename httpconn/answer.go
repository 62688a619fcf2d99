package httpconn

import (
	"context"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"auburngap/request"
)

// Exchange carries one request from a fasthttp handler to a request.Handler
// and its answer back.
type Exchange struct {
	Handler request.Handler
	// OnDone is called when the answer has ended or the request was refused.
	OnDone func(status int, refusal *request.Refusal)
	// Dialect replaces this project's own headers; nil keeps them.
	Dialect *Dialect
}

// Run serves the call and writes the answer to ctx. The context of the call ends at
// its deadline, when the caller's connection is closed and when the answer ends.
func (e Exchange) Run(parent context.Context, ctx *fasthttp.RequestCtx, call *request.Call) {
	callContext, cancel := context.WithDeadline(parent, call.Context.Deadline)
	// While a body is still being read, its reader detects a broken connection.
	conn, watched := ctx.Conn().(*Conn)
	if watched && call.Replay != nil {
		conn.Watch(cancel)
		defer conn.Unwatch()
	}
	answer, err := e.Handler.Serve(callContext, call)
	if err != nil {
		cancel()
		refusal := request.AsRefusal(err)
		e.Dialect.Refuse(ctx, refusal)
		e.done(refusal.Cause.Status(), refusal)
		return
	}
	e.writeAnswer(ctx, answer, cancel)
}

func (e Exchange) done(status int, refusal *request.Refusal) {
	if e.OnDone != nil {
		e.OnDone(status, refusal)
	}
}

func (e Exchange) writeAnswer(ctx *fasthttp.RequestCtx, answer *request.Answer, cancel context.CancelFunc) {
	response := &ctx.Response
	response.Header.SetNoDefaultContentType(true)
	response.SetStatusCode(answer.Status)
	AddHeaders(&response.Header, answer.Headers)
	if e.Dialect == nil {
		response.Header.Set(HeaderOutcome, request.Answered.String())
	}

	end := func(status int, refusal *request.Refusal) {
		_ = answer.Body.Close()
		cancel()
		e.done(status, refusal)
	}
	finish := func() { end(answer.Status, nil) }
	if ctx.IsHead() {
		response.SkipBody = true
		if answer.BodySize > 0 {
			response.Header.SetContentLength(int(answer.BodySize))
		}
		finish()
		return
	}
	if request.IsBufferable(answer.BodySize) {
		e.writeBuffered(ctx, answer, end)
		return
	}
	body := WithTrailers(answer.Body, answer.Trailers, &response.Header)
	response.SetBodyStream(&closingReader{in: body, finish: finish}, int(answer.BodySize))
}

// writeBuffered reads a small body whole, so that a body that breaks off results in
// a refusal instead of a truncated answer.
func (e Exchange) writeBuffered(ctx *fasthttp.RequestCtx, answer *request.Answer, end func(int, *request.Refusal)) {
	data, err := request.ReadBuffered(answer.Body, answer.BodySize)
	if err != nil {
		ctx.Response.Reset()
		refusal := request.Refuse(request.CauseBackendFailed, request.Unknown, 0)
		e.Dialect.Refuse(ctx, refusal)
		end(refusal.Cause.Status(), refusal)
		return
	}
	ctx.Response.SetBodyRaw(data)
	end(answer.Status, nil)
}

// closingReader ends the exchange when fasthttp closes the body.
type closingReader struct {
	in     io.Reader
	finish func()
}

// Read implements io.Reader.
func (c *closingReader) Read(p []byte) (int, error) {
	return c.in.Read(p)
}

// Close implements io.Closer.
func (c *closingReader) Close() error {
	if c.finish != nil {
		c.finish()
		c.finish = nil
	}
	return nil
}

// WriteRefusal answers with a refusal: its cause, outcome and Retry-After.
func WriteRefusal(ctx *fasthttp.RequestCtx, refusal *request.Refusal) {
	header := &ctx.Response.Header
	ctx.SetStatusCode(refusal.Cause.Status())
	ctx.SetContentType("text/plain; charset=utf-8")
	header.Set(HeaderOutcome, refusal.Outcome.String())
	header.Set(HeaderCause, refusal.Cause.String())
	if refusal.RetryAfter > 0 {
		header.Set(fasthttp.HeaderRetryAfter, retryAfter(refusal.RetryAfter))
	}
	ctx.SetBodyString(refusal.Cause.String() + ", " + refusal.Outcome.String() + "\n")
}

// retryAfter rounds up to whole seconds, as the header requires.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
