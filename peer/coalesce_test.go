package peer

import (
	"io"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"
)

// countingConn records the writes to a connection.
type countingConn struct {
	net.Conn
	writes [][]byte
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes = append(c.writes, append([]byte(nil), p...))
	return len(p), nil
}

func TestHeaderAndPayloadCoalesced(t *testing.T) {
	header := func(kind byte, length byte) []byte {
		return []byte{0, kind, 0, 0, 0, 0, 0, 1, 0, 0, 0, length}
	}
	const windowUpdate = 1
	conn := &countingConn{}
	joining := &coalescingConn{Conn: conn}
	payload := []byte("twelve bytes")
	for _, p := range [][]byte{header(windowUpdate, 9), header(muxData, 12), payload, header(muxData, 0)} {
		n, err := joining.Write(p)
		assert.NilError(t, err)
		assert.Equal(t, n, len(p))
	}
	assert.DeepEqual(t, conn.writes, [][]byte{
		header(windowUpdate, 9),
		append(header(muxData, 12), payload...),
		header(muxData, 0),
	})
}

// BenchmarkBareMux measures the lower bound for a call: a round trip of as many
// bytes over one open stream of the multiplexer, without frames, messages or a
// handler.
func BenchmarkBareMux(b *testing.B) {
	for name, wrap := range map[string]func(net.Conn) net.Conn{
		"apart":  func(c net.Conn) net.Conn { return c },
		"joined": func(c net.Conn) net.Conn { return &coalescingConn{Conn: c} },
	} {
		b.Run(name, func(b *testing.B) { benchmarkBareMux(b, wrap) })
	}
}

func benchmarkBareMux(b *testing.B, wrap func(net.Conn) net.Conn) {
	const callBytes = 150
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		session, err := yamux.Server(wrap(conn), muxConfig(Timing{}.withDefaults()))
		if err != nil {
			return
		}
		stream, err := session.Accept()
		if err != nil {
			return
		}
		data := make([]byte, callBytes)
		for {
			if _, err := io.ReadFull(stream, data); err != nil {
				return
			}
			if _, err := stream.Write(data); err != nil {
				return
			}
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(b, err)
	session, err := yamux.Client(wrap(conn), muxConfig(Timing{}.withDefaults()))
	assert.NilError(b, err)
	defer session.Close()
	stream, err := session.Open()
	assert.NilError(b, err)
	data := make([]byte, callBytes)
	b.ReportAllocs()
	for b.Loop() {
		_, err := stream.Write(data)
		assert.NilError(b, err)
		_, err = io.ReadFull(stream, data)
		assert.NilError(b, err)
	}
}
