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

// platformSide stands for the platform where a path otherwise has a zone's name.
const platformSide = "platform"

// network connects the processes of a site through proxies: one in front of each
// node's peer address, and for each node one in front of the platform. It can partition
// one availability zone from all others and from the platform.
type network struct {
	t *testing.T

	mu      sync.Mutex
	changed *sync.Cond
	// cutOff is the partitioned zone; empty if there is none.
	cutOff string
	// refusing closes the connections across the partition instead of holding their bytes.
	refusing bool
	ended    bool
	open     map[net.Conn]path
}

// path holds the two ends of a connection: zones or the platform.
type path struct{ from, to string }

// newNetwork returns the network of a site that has not started.
func newNetwork(w *testSite) *network {
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

// listen calls accept with each connection to a new address, which it returns.
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

// forward sends the target the bytes already read, and then copies in both directions.
func (n *network) forward(p path, conn net.Conn, target netip.AddrPort, first []byte) {
	defer n.close(conn)
	if !n.register(p, conn) || !n.waitUntilOpen(p) {
		return
	}
	out, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer n.close(out)
	if _, err := out.Write(first); err != nil || !n.register(p, out) {
		return
	}
	go func() {
		n.copy(p, conn, out)
		_ = out.Close()
	}()
	n.copy(p, out, conn)
}

// copy holds what it has read during a partition, including the connection's end.
func (n *network) copy(p path, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		size, readErr := from.Read(buffer)
		if !n.waitUntilOpen(p) {
			return
		}
		if _, err := to.Write(buffer[:size]); err != nil || readErr != nil {
			return
		}
	}
}

// register adds an open connection; it returns false if the connection is refused.
func (n *network) register(p path, conn net.Conn) bool {
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

// waitUntilOpen waits until no partition holds the path's bytes. It returns false if
// the connection must end.
func (n *network) waitUntilOpen(p path) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.crosses(p) && !n.refusing && !n.ended {
		n.changed.Wait()
	}
	return !n.ended && !n.crosses(p)
}

// crosses reports whether a path crosses the partition; n.mu is held.
func (n *network) crosses(p path) bool {
	return n.cutOff != "" && (p.from == n.cutOff) != (p.to == n.cutOff)
}

// cut partitions a zone: bytes are held until heal, like bytes that TCP retransmits, or
// the connections are closed and new ones refused.
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

// heal ends the partition.
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
