package backend

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"auburngap/http1"
	"auburngap/httpconn"
	"auburngap/request"
)

// exchange is one call on its connection.
type exchange struct {
	client         *Client
	conn           *connection
	address        netip.AddrPort
	instance       string
	maxConnections int
	// receivedOther is set if the connection delivered an answer to another request.
	receivedOther bool
	// sent is set once the request was written to its end.
	sent bool
	// sentBody is the call's body, if it has one.
	sentBody sentBody
	liveCall *LiveCall
	end      func()
	stop     func() bool
	// header is that of the last answer that was received.
	header fasthttp.ResponseHeader
	// body is nil for an answer without one.
	body *http1.Body
	// ended is set once the answer was read to its end.
	ended bool
	// reportedBroken is set once OnBroken was called.
	reportedBroken bool
	finished       atomic.Bool
}

func (e *exchange) run(call *request.Call, token string) (*request.Answer, error) {
	if err := e.send(call, token); err != nil {
		if e.sentBody.broken {
			// The server may wait for the rest: only an answer that is already there counts.
			_ = e.conn.conn.SetReadDeadline(time.Now().Add(maxDrainTime))
		}
		// A server that answered before it read the whole request may have closed
		// its side of the connection.
		if receiveErr := e.receive(call); receiveErr != nil {
			return nil, err
		}
		return e.answer(call), nil
	}
	if err := e.receive(call); err != nil {
		return nil, err
	}
	return e.answer(call), nil
}

func (e *exchange) send(call *request.Call, token string) error {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	header := &out.Header
	header.SetNoDefaultContentType(true)
	header.SetMethod(call.Method)
	header.SetRequestURIBytes(call.URI)
	header.SetHost(e.address.String())
	httpconn.AddHeaders(header, call.Headers)
	if e.client.config.Dialect != nil {
		e.writeDialect(header, call)
	} else {
		header.Set(httpconn.HeaderToken, token)
		header.Set(httpconn.HeaderRequestID, call.Context.ID.String())
		header.Set(httpconn.HeaderTimeout, timeLeft(call))
		if len(call.IdempotencyKey) > 0 {
			header.SetBytesV(httpconn.HeaderIdempotencyKey, call.IdempotencyKey)
		}
	}
	if call.Body != nil {
		e.sentBody.Reader = httpconn.WithTrailers(call.Body, call.Trailers, header)
		out.SetBodyStream(&e.sentBody, int(call.BodySize))
	}
	if err := out.Write(e.conn.writer); err != nil {
		return err
	}
	if err := e.conn.writer.Flush(); err != nil {
		return err
	}
	e.sent = true
	return nil
}

// sentBody is a call's body on its way to the backend server.
type sentBody struct {
	io.Reader
	// broken is set if the caller's body broke off.
	broken bool
}

// Read implements io.Reader.
func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.broken = true
	}
	return n, err
}

// timeLeft returns the time until a call's deadline in milliseconds, at least 1.
func timeLeft(call *request.Call) string {
	return strconv.FormatInt(max(time.Until(call.Context.Deadline).Milliseconds(), 1), 10)
}

// receive reads the head of the next answer.
func (e *exchange) receive(call *request.Call) error {
	e.body, e.ended = nil, false
	if err := http1.ReadHead(e.conn.reader, &e.header); err != nil {
		e.reportBroken(err)
		return err
	}
	if !http1.HasBody(call.Method, e.header.StatusCode()) {
		e.ended = true
		return nil
	}
	if e.header.ContentLength() == http1.LengthUnknown && !e.sent {
		// It may have been cut: if a reset has ended the write of the request, the socket has
		// reported it there, and a read finds an end in order.
		err := http1.ErrBroken.New("no length, and the request was not written whole")
		e.reportBroken(err)
		return err
	}
	e.body = http1.NewBody(e.conn.reader, &e.header)
	return nil
}

// reportBroken calls OnBroken, once, if an error means that the answer is broken.
func (e *exchange) reportBroken(err error) {
	if e.client.config.OnBroken == nil || e.reportedBroken || !http1.IsBroken(err) {
		return
	}
	e.reportedBroken = true
	e.client.config.OnBroken(e.liveCall.Call, err)
}

func (e *exchange) answer(call *request.Call) *request.Answer {
	header := &e.header
	size := max(int64(header.ContentLength()), -1)
	if e.body == nil && call.Method != fasthttp.MethodHead {
		size = 0
	}
	return &request.Answer{
		Status:   header.StatusCode(),
		Headers:  httpconn.ResponseHeaders(header),
		Body:     e,
		BodySize: size,
		Trailers: func() []request.Header { return httpconn.Trailers(header) },
		Report:   e.liveCall.Report,
	}
}

// Read implements io.Reader for the answer's body.
func (e *exchange) Read(p []byte) (int, error) {
	if e.ended {
		return 0, io.EOF
	}
	n, err := e.body.Read(p)
	if err == io.EOF {
		e.ended = true
	}
	e.reportBroken(err)
	return n, err
}

// Close implements io.Closer: it invalidates the call's token and keeps the
// connection if the answer was read to its end.
func (e *exchange) Close() error {
	e.finish(e.ended)
	return nil
}

// finish ends the exchange. The connection is kept if answerRead, the request was written
// to its end too, and nothing else speaks against it: a server that answers early reads on
// and would take the next request for the rest of the body.
func (e *exchange) finish(answerRead bool) {
	if !e.finished.CompareAndSwap(false, true) {
		return
	}
	e.end()
	stopped := e.stop()
	if !answerRead || !e.sent || !stopped || e.receivedOther || e.header.ConnectionClose() {
		_ = e.conn.conn.Close()
		return
	}
	e.client.connections.put(e.conn, e.address, e.maxConnections)
}

// cancel closes the connection, which tells the backend server that no caller
// waits for its answer.
func (e *exchange) cancel() {
	_ = e.conn.conn.Close()
}

// refusal returns the refusal of a call that failed without an answer. Once the
// connection is made, only an answer can prove that a call has not run.
func (e *exchange) refusal(ctx context.Context) *request.Refusal {
	refusal := refusalOf(ctx, request.CauseBackendFailed, request.Unknown)
	refusal.Report = e.liveCall.Report()
	return refusal
}

// refusalOf returns a refusal. If the context has ended, its end is the cause.
func refusalOf(ctx context.Context, cause request.Cause, outcome request.Outcome) *request.Refusal {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		cause = request.CauseDeadline
	case context.Canceled:
		cause = request.CauseCancelled
	}
	return request.Refuse(cause, outcome, 0)
}
