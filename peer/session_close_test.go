package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"auburngap/peer/peerpb"
	"auburngap/request"
)

const (
	// lastAnswerBytes is more than a slow link holds, and less than a stream's window, so
	// that the server has sent the answer before its peer has received it.
	lastAnswerBytes = 64 << 10
	// slowLinkBytes is the receive buffer of a slow link.
	slowLinkBytes = 8 << 10
	// slowLinkPause is the time between two reads of a slow link.
	slowLinkPause = 10 * time.Millisecond
)

// startSlowLink forwards connections to a node at once and what the node sends slowly. It
// returns its address.
func startSlowLink(t *testing.T, node netip.AddrPort) netip.AddrPort {
	t.Helper()
	// The buffer is set before the connection is made, so that its window is never larger.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowLinkBytes)
		})
		return errors.Join(err, failed)
	}}
	return acceptAll(t, func(near net.Conn) {
		defer func() { _ = near.Close() }()
		far, err := dialer.Dial("tcp", node.String())
		if err != nil {
			return // the node has ended
		}
		defer func() { _ = far.Close() }()
		go func() {
			_, _ = io.Copy(far, near)
			_ = far.(*net.TCPConn).CloseWrite()
		}()
		copySlowly(near, far)
	})
}

// copySlowly copies until the source ends.
func copySlowly(to, from net.Conn) {
	buffer := make([]byte, slowLinkBytes)
	for {
		n, err := from.Read(buffer)
		_, _ = to.Write(buffer[:n])
		if err != nil {
			return
		}
		time.Sleep(slowLinkPause)
	}
}

// TestServerEndDeliversAnswers guards against the last answers of a stopping node that
// arrive in part: the node closed its sessions, the other nodes went on sending, and the
// connections were reset with answers under way.
func TestServerEndDeliversAnswers(t *testing.T) {
	for _, name := range []string{"plain", "TLS"} {
		t.Run(name, func(t *testing.T) {
			var serverTLS, clientTLS *tls.Config
			if name == "TLS" {
				config := newTLSConfig(t)
				serverTLS, clientTLS = config, config
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			body := bytes.Repeat([]byte("answer--"), lastAnswerBytes/8)
			server := NewServer(ServerConfig{
				Self: identity("server"), TLS: serverTLS, Logger: zap.NewNop(),
				Calls: request.HandlerFunc(func(context.Context, *request.Call) (*request.Answer, error) {
					return &request.Answer{Status: 200, Body: io.NopCloser(bytes.NewReader(body)), BodySize: int64(len(body))}, nil
				}),
			})
			server.Handle(KindRenew, func(context.Context, Identity, []byte) (proto.Message, error) {
				return &peerpb.RenewReply{}, nil
			})
			serving, stop := context.WithCancel(t.Context())
			served := make(chan error, 1)
			go func() { served <- server.Serve(serving, listener) }()

			address := startSlowLink(t, netip.MustParseAddrPort(listener.Addr().String()))
			pool := newPool(t, clientTLS)
			answer, err := pool.Call(t.Context(), address, newCall(""))
			assert.NilError(t, err)
			sending, endSending := context.WithCancel(t.Context())
			defer endSending()
			go func() {
				for sending.Err() == nil {
					ctx, cancel := context.WithTimeout(sending, 2*time.Millisecond)
					_ = Ask(ctx, pool, address, KindRenew, &peerpb.RenewQuery{}, &peerpb.RenewReply{})
					cancel()
				}
			}()
			assert.NilError(t, server.Drain(t.Context()))
			stop()
			received, err := io.ReadAll(answer.Body)
			assert.NilError(t, err, "%d of %d bytes", len(received), len(body))
			assert.Equal(t, len(received), len(body))
			assert.NilError(t, <-served)
		})
	}
}
