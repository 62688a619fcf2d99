package e2e

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/peer"
	"auburngap/peer/peerpb"
	"auburngap/settings"
)

// platformSide is the platform's place beside the names of the zones.
const platformSide = "platform"

// network joins the processes of a site by forwarders: one stands before each
// node's peer address, and one before the platform for each node. It can cut
// one availability zone off from all others and from the platform.
type network struct {
	t *testing.T

	mu      sync.Mutex
	changed *sync.Cond
	// cutOff is the zone that is cut off, empty where none is.
	cutOff string
	// refusing closes the connections across the cut instead of holding their bytes.
	refusing bool
	ended    bool
	open     map[net.Conn]path
}

// path is where a connection leads: zones or the platform.
type path struct{ from, to string }

// newNetwork returns the network of a world that has not started.
func newNetwork(w *world) *network {
	n := &network{t: w.t, open: make(map[net.Conn]path)}
	n.changed = sync.NewCond(&n.mu)
	w.t.Cleanup(n.end)
	w.adjust = func(node *settings.Node) {
		zone, platform := node.AvailabilityZone, node.PlatformAddress
		node.PlatformAddress = n.listen(func(conn net.Conn) { n.forward(path{from: zone, to: platformSide}, conn, platform, nil) })
		node.PeerListenAddress = node.PeerAddress
		listener := node.PeerListenAddress
		node.PeerAddress = n.listen(func(conn net.Conn) { n.forwardPeer(conn, zone, listener) })
	}
	return n
}

// listen hands the connections to a fresh address over.
func (n *network) listen(accept func(net.Conn)) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(n.t, err)
	n.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go accept(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// forwardPeer learns the dialling node's zone from its hello.
func (n *network) forwardPeer(conn net.Conn, zone string, target netip.AddrPort) {
	var first bytes.Buffer
	reader := peer.NewFrameReader(io.TeeReader(conn, &first))
	defer reader.Release()
	var hello peerpb.Hello
	if err := reader.Expect(peer.KindHello, &hello); err != nil {
		_ = conn.Close()
		return
	}
	n.forward(path{from: hello.GetAvailabilityZone(), to: zone}, conn, target, first.Bytes())
}

// forward joins a connection with the target, behind the bytes read before.
func (n *network) forward(p path, conn net.Conn, target netip.AddrPort, first []byte) {
	defer n.close(conn)
	if !n.keep(p, conn) || !n.pass(p) {
		return
	}
	out, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer n.close(out)
	if _, err := out.Write(first); err != nil || !n.keep(p, out) {
		return
	}
	go func() {
		n.copy(p, conn, out)
		_ = out.Close()
	}()
	n.copy(p, out, conn)
}

// copy holds in a cut what it has read, also the connection's end.
func (n *network) copy(p path, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		size, readErr := from.Read(buffer)
		if !n.pass(p) {
			return
		}
		if _, err := to.Write(buffer[:size]); err != nil || readErr != nil {
			return
		}
	}
}

// keep remembers an open connection, or refuses it.
func (n *network) keep(p path, conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended || (n.refusing && n.crosses(p)) {
		return false
	}
	n.open[conn] = p
	return true
}

func (n *network) close(conn net.Conn) {
	_ = conn.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, conn)
}

// pass waits until nothing is in the way; false where the connection must end.
func (n *network) pass(p path) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.crosses(p) && !n.refusing && !n.ended {
		n.changed.Wait()
	}
	return !n.ended && !n.crosses(p)
}

// crosses tells whether the cut lies across a path; n.mu is held.
func (n *network) crosses(p path) bool {
	return n.cutOff != "" && (p.from == n.cutOff) != (p.to == n.cutOff)
}

// cut cuts a zone off: bytes are held until the cut is healed, as those that
// TCP sends again, or the connections are closed and new ones refused.
func (n *network) cut(zone string, refusing bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff = zone
	n.refusing = refusing
	for conn, p := range n.open {
		if refusing && n.crosses(p) {
			_ = conn.Close()
		}
	}
}

// heal ends the cut.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff = ""
	n.refusing = false
	n.changed.Broadcast()
}

// end closes every connection.
func (n *network) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	n.changed.Broadcast()
	for conn := range n.open {
		_ = conn.Close()
	}
}
