package peer

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"auburngap/peer/peerpb"
	"auburngap/request"
)

// SmallBodyBytes is the size up to which a body is held in memory, so that it
// can be sent again.
const SmallBodyBytes = 64 << 10

var bodyBuffers = sync.Pool{New: func() any {
	return new([MaxBodyFrameBytes]byte)
}}

// bodyReader reads the Body frames of a stream up to its End.
type bodyReader struct {
	frames *FrameReader
	rest   []byte
	end    peerpb.End
	ended  bool
	err    error
	// onEnd and onBroken are called once, when the body has ended or broken off.
	onEnd    func()
	onBroken func()
}

// Read implements io.Reader. A body that breaks off ends in ErrBroken.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
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
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *bodyReader) next() error {
	kind, payload, err := b.frames.Next()
	if err != nil {
		return ErrBroken.Wrap(err, "body")
	}
	switch kind {
	case KindBody:
		b.rest = payload
		return nil
	case KindEnd:
		return b.finish(payload)
	default:
		return ErrFrame.New("%s", unexpected(kind, KindBody))
	}
}

func (b *bodyReader) finish(payload []byte) error {
	if err := Decode(payload, &b.end); err != nil {
		return err
	}
	if b.end.GetAborted() {
		return ErrBroken.New("the sender's body broke off")
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
		UnspentRetries: int(b.end.GetUnspentRetries()),
		CallsBelow:     int(b.end.GetCallsBelow()),
		Loads:          loadsFromMessage(b.end.GetSignal()),
	}
}

// isSmall tells whether a body of a stated size is read whole.
func isSmall(size int64) bool {
	return size >= 0 && size <= SmallBodyBytes
}

// readSmall reads a body of small stated size whole, so that the call can be
// sent again and the stream is free to tell of a cancellation.
func (b *bodyReader) readSmall(call *request.Call) error {
	if !isSmall(call.BodySize) {
		return nil
	}
	whole := make([]byte, 0, call.BodySize)
	data, err := readAll(b, whole)
	if err != nil {
		return err
	}
	setReplay(call, data)
	return nil
}

func setReplay(call *request.Call, data []byte) {
	if len(data) == 0 {
		call.Body = nil
		call.Replay = func() io.Reader { return nil }
		return
	}
	call.Body = bytes.NewReader(data)
	call.Replay = func() io.Reader { return bytes.NewReader(data) }
}

// readAll appends to buf until the reader ends.
func readAll(r io.Reader, buf []byte) ([]byte, error) {
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}
