package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"auburngap/request"
)

// drainPoll is the interval at which Drain checks for running calls.
const drainPoll = 10 * time.Millisecond

// ControlHandler answers one control message; it returns the reply, or an
// error that closes the stream without one.
type ControlHandler func(ctx context.Context, from Identity, payload []byte) (proto.Message, error)

// StreamHandler serves a control stream after its first frame. The stream is
// closed when it returns.
type StreamHandler func(ctx context.Context, from Identity, first []byte, stream net.Conn) error

// ServerConfig configures a Server.
type ServerConfig struct {
	Self Identity
	// TLS is nil if sessions are not encrypted.
	TLS *tls.Config
	// Calls handles the calls of other nodes.
	Calls request.Handler
	// Timing bounds the time until an unresponsive node is detected; zero fields take the defaults.
	Timing Timing
	Logger *zap.Logger
}

// Server accepts sessions of other nodes.
type Server struct {
	config   ServerConfig
	handlers map[Kind]StreamHandler
	sessions sync.WaitGroup
	calls    atomic.Int64
}

// NewServer returns a server without control handlers.
func NewServer(config ServerConfig) *Server {
	config.Timing = config.Timing.withDefaults()
	return &Server{config: config, handlers: make(map[Kind]StreamHandler)}
}

// HandleStream registers the handler of streams whose first frame is of a kind. It
// must be called before Serve.
func (s *Server) HandleStream(kind Kind, handler StreamHandler) {
	s.handlers[kind] = handler
}

// Handle registers the handler of control messages of a kind. It must be called
// before Serve.
func (s *Server) Handle(kind Kind, handler ControlHandler) {
	s.HandleStream(kind, func(ctx context.Context, from Identity, first []byte, stream net.Conn) error {
		reply, err := handler(ctx, from, first)
		if err != nil {
			return err
		}
		return writeReply(stream, reply)
	})
}

func writeReply(stream io.Writer, reply proto.Message) error {
	w := NewFrameWriter(stream)
	defer w.Release()
	if err := w.Add(KindReply, reply); err != nil {
		return err
	}
	return w.Flush()
}

// Serve accepts sessions until the context ends, then closes them all.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { s.closeListener(listener) })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			s.sessions.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return ErrUnreachable.Wrap(err, "accept")
		}
		s.sessions.Go(func() { s.serveConn(ctx, conn) })
	}
}

// Running returns the number of running calls of other nodes.
func (s *Server) Running() int { return int(s.calls.Load()) }

// Drain waits until no call of another node runs, or the context ends.
func (s *Server) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.calls.Load() > 0 {
		select {
		case <-ctx.Done():
			return ErrBroken.New("%d calls still run", s.calls.Load())
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Server) closeListener(listener net.Listener) {
	if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.config.Logger.Warn("peer: listener did not close", zap.Error(err))
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	if s.config.TLS != nil {
		conn = tls.Server(conn, s.config.TLS)
	}
	session, err := open(conn, s.config.Self, s.config.Timing, yamux.Server)
	if err != nil {
		s.config.Logger.Warn("peer: session refused", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
		s.closeQuietly(conn)
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.acceptStreams(ctx, session)
	}()
	select {
	case <-ended:
		err = session.Close()
	case <-ctx.Done():
		err = session.CloseGracefully()
		<-ended
	}
	s.logClose(err)
}

func (s *Server) acceptStreams(ctx context.Context, session *Session) {
	for {
		stream, err := session.acceptStream()
		if err != nil {
			return
		}
		go s.serveStream(ctx, session.Peer, stream)
	}
}

func (s *Server) serveStream(ctx context.Context, from Identity, stream net.Conn) {
	defer s.closeQuietly(stream)
	reader := NewFrameReader(stream)
	defer reader.Release()
	kind, first, err := reader.Next()
	if err != nil {
		s.logStream(from, err)
		return
	}
	if kind == KindCall {
		s.logStream(from, s.serveCalls(ctx, reader, first, stream))
		return
	}
	handler, ok := s.handlers[kind]
	if !ok {
		s.logStream(from, ErrFrame.New("no handler for kind %d", kind))
		return
	}
	s.logStream(from, handler(ctx, from, first, &bufferedStream{Conn: stream, in: reader.in}))
}

// bufferedStream reads through the reader of the first frame, which may have
// buffered later bytes.
type bufferedStream struct {
	net.Conn
	in io.Reader
}

// Read implements io.Reader.
func (b *bufferedStream) Read(p []byte) (int, error) {
	return b.in.Read(p)
}

func (s *Server) logStream(from Identity, err error) {
	if err == nil || errors.Is(err, io.EOF) {
		return
	}
	s.config.Logger.Warn("peer: stream closed", zap.String("vm", from.VM), zap.Error(err))
}

// closeQuietly closes what the peer may have closed already.
func (s *Server) closeQuietly(closer io.Closer) {
	s.logClose(closer.Close())
}

func (s *Server) logClose(err error) {
	if err != nil {
		s.config.Logger.Debug("peer: close", zap.Error(err))
	}
}
