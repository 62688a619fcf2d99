package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"auburngap/peer/peerpb"
	"auburngap/request"
)

// serveCalls answers the calls of a stream, one after the other, until the stream
// cannot be reused after a call or the sender closes it.
func (s *Server) serveCalls(ctx context.Context, reader *FrameReader, first []byte, stream net.Conn) error {
	for {
		served := &servedCall{body: bodyReader{frames: reader}}
		err := s.serveCall(ctx, served, first, stream)
		if err != nil || !served.reusable {
			served.stopWatch(stream)
			return err
		}
		if reader.releaseLarge() {
			shrinkStream(stream)
		}
		// The watch for a cancellation by the sender ends with the first byte of the next call.
		if more := <-served.watchDone; !more {
			return nil
		}
		kind, payload, err := reader.Next()
		if err != nil {
			return err
		}
		if kind != KindCall {
			return ErrFrame.New("%s", unexpectedKind(kind, KindCall))
		}
		first = payload
	}
}

// servedCall is one call on its stream.
type servedCall struct {
	body bodyReader
	// watchDone receives one value when the watch for a cancellation ends: true if
	// the next call begins. The watch starts at the end of the body.
	watchDone chan bool
	// reusable is set when the stream can carry another call.
	reusable bool
}

// serveCall answers one call.
func (s *Server) serveCall(ctx context.Context, served *servedCall, first []byte, stream net.Conn) error {
	s.calls.Add(1)
	defer s.calls.Add(-1)
	var message peerpb.Call
	if err := Decode(first, &message); err != nil {
		return err
	}
	requestContext, err := contextFromMessage(message.GetContext(), time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, requestContext.Deadline)
	defer cancel()

	call := callFromMessage(&message, requestContext, &served.body)
	if err := served.body.readSmall(call); err != nil {
		return err
	}
	served.watchForCancel(cancel)

	answer, err := s.config.Calls.Serve(ctx, call)
	w := NewFrameWriter(stream)
	defer w.Release()
	if err != nil {
		// The sender closes the stream of a refused call.
		return sendRefusal(w, request.AsRefusal(err))
	}
	if err := sendAnswer(w, answer); err != nil {
		return err
	}
	served.reusable = request.IsBufferable(call.BodySize)
	return nil
}

func callFromMessage(m *peerpb.Call, requestContext request.Context, body *bodyReader) *request.Call {
	return &request.Call{
		Context:        requestContext,
		Service:        m.GetService(),
		Method:         m.GetMethod(),
		URI:            m.GetUri(),
		Headers:        headersFromMessage(m.GetHeaders()),
		Body:           body,
		BodySize:       m.GetBodySize(),
		Trailers:       body.trailers,
		Commitment:     m.GetCommitment(),
		Idempotent:     m.GetIdempotent(),
		IdempotencyKey: m.GetIdempotencyKey(),
		Permission:     m.GetPermission(),
		Host:           m.GetHost(),
		AttemptID:      m.GetAttemptId(),
		Caller:         m.GetCaller(),
	}
}

// watchForCancel cancels the call when the sender closes its side after the end
// of the body, or when the body breaks off.
func (c *servedCall) watchForCancel(cancel context.CancelFunc) {
	c.body.onBroken = cancel
	c.body.onEnd = func() {
		c.watchDone = make(chan bool, 1)
		go func() {
			_, err := c.body.frames.buffer.Peek(1)
			if err != nil {
				cancel()
			}
			c.watchDone <- err == nil
		}()
	}
	if c.body.ended {
		c.body.onEnd()
	}
}

// stopWatch ends the watch if one is running and waits until it no longer reads
// the stream.
func (c *servedCall) stopWatch(stream net.Conn) {
	if c.watchDone == nil {
		return
	}
	// The error is ignored: if the stream is closed already, the watch ends too.
	_ = stream.SetReadDeadline(pastDeadline)
	<-c.watchDone
}

func sendRefusal(w *FrameWriter, refusal *request.Refusal) error {
	if err := w.Add(KindRefusal, refusalToMessage(refusal)); err != nil {
		return err
	}
	return w.Flush()
}

// sendAnswer sends the head, the body and the End frame of an answer. If the body
// breaks off, the End frame is marked as aborted.
func sendAnswer(w *FrameWriter, answer *request.Answer) (err error) {
	defer func() { err = errors.Join(err, answer.Body.Close()) }()
	if err := w.Add(KindAnswer, AnswerToMessage(answer)); err != nil {
		return err
	}
	end := &peerpb.End{}
	readErr, writeErr := copyBody(w, answer.Body)
	if writeErr != nil {
		return writeErr
	}
	end.Aborted = readErr != nil
	if answer.Trailers != nil {
		end.Trailers = headersToMessage(answer.Trailers())
	}
	if answer.Report != nil {
		report := answer.Report()
		end.UnspentRetries = uint32(max(report.UnspentRetries, 0))
		end.CallsBelow = uint32(max(report.DownstreamCalls, 0))
		end.Signal = loadsToMessage(report.Loads)
	}
	if err := w.Add(KindEnd, end); err != nil {
		return err
	}
	return w.Flush()
}

// copyBody sends a body in frames. It flushes after each read, so that slow bodies
// are forwarded as they arrive. It does not flush a part that is read together with
// the end of the body, so that the part is written together with the End frame.
func copyBody(w *FrameWriter, body io.Reader) (readErr, writeErr error) {
	if body == nil {
		return nil, nil
	}
	buffer := bodyBuffers.Get().(*[MaxBodyFrameBytes]byte)
	defer bodyBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if err := w.AddBytes(KindBody, buffer[:n]); err != nil {
				return nil, err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
		if err := w.Flush(); err != nil {
			return nil, err
		}
	}
}
