package peer

import (
	"context"
	"io"
	"net/netip"
	"sync/atomic"
	"time"

	"auburngap/http1"
	"auburngap/peer/peerpb"
	"auburngap/request"
)

// Call sends a call to the node at address and returns its answer, or a
// *request.Refusal. The context must stay live until the answer's body is
// closed; its end cancels the call at the other node too.
func (p *Pool) Call(ctx context.Context, address netip.AddrPort, call *request.Call) (*request.Answer, error) {
	session, stream, err := p.callStream(ctx, address)
	if err != nil {
		return nil, request.RefuseUnsent(call, request.CauseNoBackend, 0)
	}
	exchange := &exchange{session: session, stream: stream, frames: NewFrameReader(stream), bufferable: request.IsBufferable(call.BodySize)}
	exchange.stopCancel = context.AfterFunc(ctx, exchange.cancel)
	if call.Idempotent && call.Replay != nil {
		session.waiting.add(exchange)
	}
	answer, err := exchange.run(call)
	session.waiting.remove(exchange)
	if err != nil {
		exchange.close()
		return nil, p.refusal(ctx, exchange, err)
	}
	return answer, nil
}

// callStream returns a stream for one call: an idle one, or a new one.
func (s *Session) callStream(ctx context.Context) (*callStream, error) {
	if stream := s.idle.take(); stream != nil {
		return stream, nil
	}
	stream, err := s.OpenStream(ctx)
	if err != nil {
		return nil, err
	}
	return &callStream{Conn: stream}, nil
}

// refusal returns the refusal for a failed exchange, with what is known of the
// call's outcome.
func (p *Pool) refusal(ctx context.Context, e *exchange, err error) *request.Refusal {
	if refusal, ok := err.(*request.Refusal); ok {
		return refusal
	}
	outcome := request.Unknown
	if !e.sent {
		outcome = request.NotRun
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return request.Refuse(request.CauseDeadline, outcome, 0)
	case context.Canceled:
		return request.Refuse(request.CauseCancelled, outcome, 0)
	}
	return request.Refuse(request.CauseBackendFailed, outcome, 0)
}

// exchange is one call on its stream.
type exchange struct {
	session *Session
	stream  *callStream
	frames  *FrameReader
	// bufferable calls are read whole by the peer, so that their stream can be reused.
	bufferable bool
	stopCancel func() bool
	// sent is set once a byte of the call may have reached the peer.
	sent   bool
	body   bodyReader
	closed atomic.Bool
	// answerDone is closed once watchAnswer no longer reads the stream; nil without it.
	answerDone <-chan struct{}
}

func (e *exchange) run(call *request.Call) (*request.Answer, error) {
	writeErr, err := e.send(call)
	if err != nil {
		return nil, err
	}
	answer, err := e.receive()
	if writeErr != nil && err != nil && !isRefusal(err) {
		return nil, writeErr
	}
	return answer, err
}

// send sends a call. It returns a write error if the peer may have answered before it had
// read the whole body, or an error after which it gets no answer.
func (e *exchange) send(call *request.Call) (writeErr, err error) {
	w := NewFrameWriter(e.stream)
	defer w.Release()
	if err := w.Add(KindCall, callToMessage(call)); err != nil {
		return nil, err
	}
	e.sent = true
	if !e.bufferable {
		e.watchAnswer()
	}
	readErr, writeErr := copyBody(w, call.Body)
	if writeErr != nil {
		return writeErr, nil
	}
	end := &peerpb.End{Aborted: readErr != nil}
	if call.Trailers != nil && readErr == nil {
		end.Trailers = headersToMessage(call.Trailers())
	}
	if err := w.Add(KindEnd, end); err != nil {
		return nil, err
	}
	if err := w.Flush(); err != nil {
		return err, nil
	}
	return nil, readErr
}

// watchAnswer waits for the answer while a long body is sent, and then ends the writing: the
// peer reads no more of it. The frames can be read once answerDone is closed.
func (e *exchange) watchAnswer() {
	done := make(chan struct{})
	e.answerDone = done
	go func() {
		defer close(done)
		if _, err := e.frames.buffer.Peek(1); err == nil {
			_ = e.stream.SetWriteDeadline(pastDeadline) // an error means that the stream is closed
		}
	}()
}

func isRefusal(err error) bool {
	_, ok := err.(*request.Refusal)
	return ok
}

func (e *exchange) receive() (*request.Answer, error) {
	if e.answerDone != nil {
		<-e.answerDone
	}
	kind, payload, err := e.frames.Next()
	if err != nil {
		return nil, ErrBroken.Wrap(err, "answer")
	}
	switch kind {
	case KindRefusal:
		var message peerpb.Refusal
		if err := Decode(payload, &message); err != nil {
			return nil, err
		}
		return nil, refusalFromMessage(&message)
	case KindAnswer:
		return e.answer(payload)
	default:
		return nil, ErrFrame.New("%s", unexpectedKind(kind, KindAnswer))
	}
}

func (e *exchange) answer(payload []byte) (*request.Answer, error) {
	var message peerpb.Answer
	if err := Decode(payload, &message); err != nil {
		return nil, err
	}
	answer := AnswerFromMessage(&message)
	if err := checkHead(answer); err != nil {
		return nil, err
	}
	e.body.frames = e.frames
	e.body.checkTrailers = checkFields
	answer.Body = e
	answer.Trailers = e.body.trailers
	answer.Report = e.body.report
	return answer, nil
}

// checkHead checks the head of an answer. The peer may run an earlier version, which reads
// the heads of backend servers less strictly.
func checkHead(answer *request.Answer) error {
	if err := http1.CheckStatus(answer.Status); err != nil {
		return err
	}
	return checkFields(answer.Headers)
}

// checkFields checks headers or trailers.
func checkFields(fields []request.Header) error {
	for _, field := range fields {
		if err := http1.CheckField(field.Name, field.Value); err != nil {
			return err
		}
	}
	return nil
}

// Read implements io.Reader for the answer's body.
func (e *exchange) Read(p []byte) (int, error) {
	return e.body.Read(p)
}

// Close implements io.Closer; it cancels the call if the answer has not ended.
func (e *exchange) Close() error {
	e.close()
	return nil
}

func (e *exchange) close() {
	if !e.closed.CompareAndSwap(false, true) {
		return
	}
	// If the cancellation has started, the reader may still be in use.
	if !e.stopCancel() {
		_ = e.stream.Close()
		return
	}
	if e.answerDone != nil {
		_ = e.stream.Close() // ends the watch
		<-e.answerDone
	}
	reusable := e.bufferable && e.body.ended && e.frames.Buffered() == 0
	if e.frames.releaseLarge() {
		shrinkStream(e.stream.Conn)
	}
	e.frames.Release()
	if !reusable {
		_ = e.stream.Close()
		return
	}
	e.session.idle.put(e.stream)
}

// abandon cancels the call although its context has not ended.
func (e *exchange) abandon() {
	if e.stopCancel() {
		go e.cancel()
	}
}

// cancel unblocks whatever uses the stream and notifies the peer.
func (e *exchange) cancel() {
	_ = e.stream.Close()
}

func callToMessage(call *request.Call) *peerpb.Call {
	return &peerpb.Call{
		Context:        contextToMessage(&call.Context, time.Now()),
		Service:        call.Service,
		Method:         call.Method,
		Uri:            call.URI,
		Headers:        headersToMessage(call.Headers),
		BodySize:       call.BodySize,
		Commitment:     call.Commitment,
		Idempotent:     call.Idempotent,
		IdempotencyKey: call.IdempotencyKey,
		Permission:     call.Permission,
		Host:           call.Host,
		AttemptId:      call.AttemptID,
		Caller:         call.Caller,
	}
}

var _ io.ReadCloser = (*exchange)(nil)
