package peer

import (
	"errors"
	"io"
	"sync"

	"auburngap/peer/peerpb"
	"auburngap/request"
)

var bodyBuffers = sync.Pool{New: func() any {
	return new([MaxBodyFrameBytes]byte)
}}

// bodyReader reads a body from the Body frames of a stream, up to the End frame.
type bodyReader struct {
	frames *FrameReader
	unread []byte
	end    peerpb.End
	ended  bool
	err    error
	// One of onEnd and onBroken is called, once: when the body has ended or broken off.
	onEnd    func()
	onBroken func()
	// checkTrailers checks the trailers; it may be nil.
	checkTrailers func([]request.Header) error
}

// Read implements io.Reader. It returns ErrBroken if the body breaks off.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		if b.err != nil {
			return 0, b.err
		}
		if err := b.next(); err != nil {
			b.fail(err)
		}
	}
	n := copy(p, b.unread)
	if b.unread = b.unread[n:]; len(b.unread) == 0 {
		b.unread = nil // the payload's buffer may be freed
	}
	return n, nil
}

func (b *bodyReader) next() error {
	kind, payload, err := b.frames.Next()
	if err != nil {
		return ErrBroken.Wrap(err, "body")
	}
	switch kind {
	case KindBody:
		b.unread = payload
		return nil
	case KindEnd:
		return b.finish(payload)
	default:
		return ErrFrame.New("%s", unexpectedKind(kind, KindBody))
	}
}

func (b *bodyReader) finish(payload []byte) error {
	if err := Decode(payload, &b.end); err != nil {
		return err
	}
	if b.end.GetAborted() {
		return ErrBroken.New("the sender aborted the body")
	}
	if b.checkTrailers != nil {
		if err := b.checkTrailers(b.trailers()); err != nil {
			return err
		}
	}
	b.ended = true
	if b.onEnd != nil {
		b.onEnd()
	}
	return nil
}

func (b *bodyReader) fail(err error) {
	b.err = err
	if b.onBroken != nil {
		b.onBroken()
	}
}

func (b *bodyReader) trailers() []request.Header {
	return headersFromMessage(b.end.GetTrailers())
}

func (b *bodyReader) report() request.Report {
	return request.Report{
		UnspentRetries:  int(b.end.GetUnspentRetries()),
		DownstreamCalls: int(b.end.GetCallsBelow()),
		Loads:           loadsFromMessage(b.end.GetSignal()),
	}
}

// readSmall reads the whole body if its stated size is small. The call can then
// be sent again, and the stream is free to signal a cancellation.
func (b *bodyReader) readSmall(call *request.Call) error {
	if !request.IsBufferable(call.BodySize) {
		return nil
	}
	data, err := request.ReadBuffered(b, call.BodySize)
	if errors.Is(err, request.ErrBodySize) {
		return ErrFrame.Wrap(err, "body")
	}
	if err != nil {
		return err
	}
	call.Replay = request.Replay(data)
	call.Body = call.Replay()
	return nil
}
