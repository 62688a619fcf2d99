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

// serveCall answers one call of another node on its stream.
func (s *Server) serveCall(ctx context.Context, reader *FrameReader, first []byte, stream net.Conn) error {
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

	body := &bodyReader{frames: reader}
	call := callFromMessage(&message, requestContext, body)
	if err := body.readSmall(call); err != nil {
		return err
	}
	watchForCancel(body, stream, cancel)

	answer, err := s.config.Calls.Serve(ctx, call)
	w := NewFrameWriter(stream)
	defer w.Release()
	if err != nil {
		return sendRefusal(w, request.AsRefusal(err))
	}
	return sendAnswer(w, answer)
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
	}
}

// watchForCancel cancels the call when the sender closes its side after the
// end of the body, or breaks off within it.
func watchForCancel(body *bodyReader, stream net.Conn, cancel context.CancelFunc) {
	body.onBroken = cancel
	body.onEnd = func() {
		go func() {
			var one [1]byte
			if _, err := stream.Read(one[:]); err != nil {
				cancel()
			}
		}()
	}
	if body.ended {
		body.onEnd()
	}
}

func sendRefusal(w *FrameWriter, refusal *request.Refusal) error {
	if err := w.Add(KindRefusal, refusalToMessage(refusal)); err != nil {
		return err
	}
	return w.Flush()
}

// sendAnswer sends head, body and end; where the body breaks off, the end says so.
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
		end.CallsBelow = uint32(max(report.CallsBelow, 0))
		end.Signal = loadsToMessage(report.Loads)
	}
	if err := w.Add(KindEnd, end); err != nil {
		return err
	}
	return w.Flush()
}

// copyBody sends a body in frames. It flushes after each read, so that slow
// bodies are passed on as they come, but keeps the first part of a body that
// has ended already together with its end.
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
