package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
)

// Kind is the type of a frame's payload. Kinds are part of the protocol: a number
// is never reused for another type.
type Kind uint8

// The kinds of frames. The kind of a stream's first frame determines the stream's purpose.
const (
	KindHello   Kind = 1
	KindCall    Kind = 2
	KindAnswer  Kind = 3
	KindRefusal Kind = 4
	KindBody    Kind = 5
	KindEnd     Kind = 6

	// KindDraw and the following kinds are control messages; each opens its own
	// stream and is answered on it. The numbers 17, 21, 24, 25 and 27 were used
	// by earlier kinds and must not be reused.
	KindDraw     Kind = 16
	KindBegin    Kind = 18
	KindFinish   Kind = 19
	KindConfirm  Kind = 20
	KindHandover Kind = 22
	KindAnnounce Kind = 23
	KindReply    Kind = 26

	// KindRoster, KindRenew and KindBorrow are used at sites whose nodes find each
	// other only through the key-value service.
	KindRoster Kind = 28
	KindRenew  Kind = 29
	KindBorrow Kind = 30
	// KindRelease tells the next owner of workspaces that the sender has given up
	// its part of their rates.
	KindRelease Kind = 31
	// KindSync asks a node what it knows that the key-value service may have lost.
	KindSync Kind = 32
)

const (
	// headerBytes is the size of a frame's header: kind and payload length.
	headerBytes = 5
	// MaxFrameBytes is the largest payload of any frame.
	MaxFrameBytes = 2 << 20
	// MaxBodyFrameBytes is the largest part of a body that one frame carries.
	MaxBodyFrameBytes = 32 << 10
	// readBufferBytes is the size of a stream's read buffer.
	readBufferBytes = 4 << 10
	// maxWriteBytes is the size of the largest single write: the multiplexer keeps
	// a buffer of the same size for each session.
	maxWriteBytes = 16 << 10
)

var (
	errs = errorx.NewNamespace("peer")
	// ErrFrame means that a peer sent a malformed or oversized frame.
	ErrFrame = errs.NewType("frame")
	// ErrHello means that a peer's hello was refused.
	ErrHello = errs.NewType("hello")
	// ErrUnreachable means that no usable session to the peer was available; nothing was sent.
	ErrUnreachable = errs.NewType("unreachable", errorx.Temporary())
	// ErrBroken means that a stream broke off before its end.
	ErrBroken = errs.NewType("broken", errorx.Temporary())
)

// FrameWriter buffers frames until Flush writes them.
type FrameWriter struct {
	out io.Writer
	buf []byte
}

// NewFrameWriter returns a writer to out. Call Release to return its buffer.
func NewFrameWriter(out io.Writer) *FrameWriter {
	return &FrameWriter{out: out, buf: getBuffer()}
}

// Release returns the buffer to its pool; the writer must not be used afterwards.
func (w *FrameWriter) Release() {
	putBuffer(w.buf)
	w.buf = nil
}

// Add appends a message without writing it yet.
func (w *FrameWriter) Add(kind Kind, message proto.Message) error {
	start := len(w.buf)
	w.buf = append(w.buf, byte(kind), 0, 0, 0, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(w.buf, message)
	if err != nil {
		return ErrFrame.Wrap(err, "encode kind %d", kind)
	}
	w.buf = buf
	return w.finish(start)
}

// AddBytes appends a frame with a raw payload.
func (w *FrameWriter) AddBytes(kind Kind, payload []byte) error {
	start := len(w.buf)
	w.buf = append(w.buf, byte(kind), 0, 0, 0, 0)
	w.buf = append(w.buf, payload...)
	return w.finish(start)
}

func (w *FrameWriter) finish(start int) error {
	size := len(w.buf) - start - headerBytes
	if size > MaxFrameBytes {
		w.buf = w.buf[:start]
		return ErrFrame.New("payload of %d bytes is larger than %d", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(w.buf[start+1:], uint32(size))
	return nil
}

// Flush writes the buffered frames.
func (w *FrameWriter) Flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	defer func() { w.buf = w.buf[:0] }()
	for part := range slices.Chunk(w.buf, maxWriteBytes) {
		if _, err := w.out.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// FrameReader reads frames; its payloads are valid until the next read.
type FrameReader struct {
	in      io.Reader
	buffer  *bufio.Reader
	header  [headerBytes]byte
	payload []byte
	// grown is set once a payload was too large for its buffer to be kept between calls.
	grown bool
}

var readBuffers = sync.Pool{New: func() any {
	buffer := bufio.NewReaderSize(nil, readBufferBytes)
	return &FrameReader{in: buffer, buffer: buffer}
}}

// NewFrameReader returns a reader from in. Call Release to return its buffers.
func NewFrameReader(in io.Reader) *FrameReader {
	r := readBuffers.Get().(*FrameReader)
	r.buffer.Reset(in)
	return r
}

// Release returns the buffers to their pools; the reader must not be used afterwards.
func (r *FrameReader) Release() {
	r.buffer.Reset(nil)
	r.releaseLarge()
	readBuffers.Put(r)
}

// releaseLarge releases the payload buffer if it is large, and reports whether a
// large payload was read since the previous call. The last frame's payload must
// not be used afterwards.
func (r *FrameReader) releaseLarge() (grown bool) {
	r.payload = resetOrRelease(r.payload)
	grown, r.grown = r.grown, false
	return grown
}

// Buffered returns how many bytes were read beyond the last frame.
func (r *FrameReader) Buffered() int { return r.buffer.Buffered() }

// Next returns the next frame, io.EOF at a clean end, or ErrFrame.
func (r *FrameReader) Next() (Kind, []byte, error) {
	header := &r.header
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(header[1:]))
	if size > MaxFrameBytes {
		return 0, nil, ErrFrame.New("payload of %d bytes is larger than %d", size, MaxFrameBytes)
	}
	r.resizePayload(size)
	if _, err := io.ReadFull(r.in, r.payload); err != nil {
		return 0, nil, ErrBroken.Wrap(err, "payload of kind %d", header[0])
	}
	return Kind(header[0]), r.payload, nil
}

// resizePayload sets the length of the payload buffer to size; the last payload is lost.
func (r *FrameReader) resizePayload(size int) {
	if r.payload == nil {
		r.payload = getBuffer()
	}
	if cap(r.payload) < size {
		// The buffer that is too small isn't put back: the next call would get it again.
		r.payload = make([]byte, size)
	}
	r.payload = r.payload[:size]
	r.grown = r.grown || size > readBufferBytes
}

// Expect reads the next frame into message, which must be of the given kind.
func (r *FrameReader) Expect(kind Kind, message proto.Message) error {
	got, payload, err := r.Next()
	if err != nil {
		return err
	}
	if got != kind {
		return ErrFrame.New("%s", unexpectedKind(got, kind))
	}
	return Decode(payload, message)
}

// Decode reads a payload into message, or returns ErrFrame.
func Decode(payload []byte, message proto.Message) error {
	if err := proto.Unmarshal(payload, message); err != nil {
		return ErrFrame.Wrap(err, "decode payload")
	}
	return nil
}

func unexpectedKind(got, want Kind) string {
	return fmt.Sprintf("frame of kind %d where %d was expected", got, want)
}
