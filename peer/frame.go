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

// Kind tells what a frame's payload is. Kinds are part of the protocol: a
// number is never used for anything else.
type Kind uint8

// The kinds of frames. The first frame of a stream decides what the stream is for.
const (
	KindHello   Kind = 1
	KindCall    Kind = 2
	KindAnswer  Kind = 3
	KindRefusal Kind = 4
	KindBody    Kind = 5
	KindEnd     Kind = 6

	// KindDraw and the following kinds belong to the control plane; each opens
	// a stream of its own and is answered on it. The numbers 17, 21, 24, 25 and
	// 27 were given once and stay free.
	KindDraw     Kind = 16
	KindBegin    Kind = 18
	KindFinish   Kind = 19
	KindConfirm  Kind = 20
	KindHandover Kind = 22
	KindAnnounce Kind = 23
	KindReply    Kind = 26

	// KindRoster, KindRenew and KindBorrow belong to sites whose nodes find each
	// other through the key-value service alone.
	KindRoster Kind = 28
	KindRenew  Kind = 29
	KindBorrow Kind = 30
	// KindRelease hands parts of rates to their next home.
	KindRelease Kind = 31
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
	// mostWriteBytes is the most that is written at once: the multiplexer keeps a
	// buffer as large for each session.
	mostWriteBytes = 16 << 10
)

var (
	errs = errorx.NewNamespace("peer")
	// ErrFrame means that a peer sent a malformed or oversized frame.
	ErrFrame = errs.NewType("frame")
	// ErrHello means that a peer's hello was refused.
	ErrHello = errs.NewType("hello")
	// ErrUnreachable means that no session to the peer could be had; nothing was sent.
	ErrUnreachable = errs.NewType("unreachable", errorx.Temporary())
	// ErrBroken means that a stream broke off before its end.
	ErrBroken = errs.NewType("broken", errorx.Temporary())
)

// FrameWriter gathers frames and writes them in one go.
type FrameWriter struct {
	out io.Writer
	buf []byte
}

// NewFrameWriter returns a writer onto out; Release gives its buffer back.
func NewFrameWriter(out io.Writer) *FrameWriter {
	return &FrameWriter{out: out, buf: takeBuffer()}
}

// Release gives the buffer back; the writer must not be used afterwards.
func (w *FrameWriter) Release() {
	giveBuffer(w.buf)
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

// Flush writes what was added.
func (w *FrameWriter) Flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	defer func() { w.buf = w.buf[:0] }()
	for part := range slices.Chunk(w.buf, mostWriteBytes) {
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
	// grown is set once a payload was too large to be kept between calls.
	grown bool
}

var readBuffers = sync.Pool{New: func() any {
	buffer := bufio.NewReaderSize(nil, readBufferBytes)
	return &FrameReader{in: buffer, buffer: buffer}
}}

// NewFrameReader returns a reader from in; Release gives its buffers back.
func NewFrameReader(in io.Reader) *FrameReader {
	r := readBuffers.Get().(*FrameReader)
	r.buffer.Reset(in)
	return r
}

// Release gives the buffers back; the reader must not be used afterwards.
func (r *FrameReader) Release() {
	r.buffer.Reset(nil)
	r.rest()
	readBuffers.Put(r)
}

// rest frees what the last call needed beyond the usual, and tells whether there was
// any. The last frame's payload must not be used any more.
func (r *FrameReader) rest() (grown bool) {
	r.payload = keepSmall(r.payload)
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
	r.grow(size)
	if _, err := io.ReadFull(r.in, r.payload); err != nil {
		return 0, nil, ErrBroken.Wrap(err, "payload of kind %d", header[0])
	}
	return Kind(header[0]), r.payload, nil
}

// grow makes room for a payload in place of the last one.
func (r *FrameReader) grow(size int) {
	if r.payload == nil {
		r.payload = takeBuffer()
	}
	if cap(r.payload) < size {
		// The one that is too small would come back at the next call.
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
		return ErrFrame.New("%s", unexpected(got, kind))
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

func unexpected(got, want Kind) string {
	return fmt.Sprintf("frame of kind %d where %d was expected", got, want)
}
