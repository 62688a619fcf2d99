package e2e

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/bundle"
)

// pairBundle has two services, of which the first calls the second.
func pairBundle() bundle.Bundle {
	b := chainBundle()
	b.Services = []bundle.Service{
		{Name: "a", Calls: []string{"g"}, Slots: 16, Connections: 64},
		{Name: "g", Slots: 16, Connections: 64},
	}
	// High enough not to limit these tests.
	for i := range b.Workspaces {
		b.Workspaces[i].Rate = 20000
		b.Workspaces[i].Burst = 20000
	}
	return b
}

// TestRollingRestart restarts every node of a site under load. Only the answers of a
// node make callers leave it before the restart; none of their requests may fail.
func TestRollingRestart(t *testing.T) {
	w := newReplicatedTestSite(t, pairBundle(), 3)
	var leaving atomic.Value
	leaving.Store("")
	traffic := w.startTraffic(16, 10*time.Millisecond, "/chain", schoolKey, func() []netip.AddrPort {
		return w.callerAddresses(leaving.Load().(string))
	})
	for _, vm := range w.vms() {
		node := w.site.Node(vm.name)
		node.Terminate()
		// Callers notice a leaving node a little later than it notices itself.
		time.Sleep(300 * time.Millisecond)
		leaving.Store(vm.name)
		assert.Assert(t, node.Wait(30*time.Second), "node of %s did not end by itself", vm.name)
		assert.NilError(t, w.site.StartNode(w.ctx, vm.name))
		w.waitUntilNodeServes(vm.name)
		leaving.Store("")
	}
	served, failed := traffic.end()
	expectServed(t, served, 1000)
	assert.Equal(t, len(failed), 0, describe(failed))
}

// TestKilledNode kills a node. Requests through the other nodes continue, and only
// those in flight at the time may fail.
func TestKilledNode(t *testing.T) {
	w := newReplicatedTestSite(t, pairBundle(), 3)
	killed := vmName("g", 1)
	traffic := w.startTraffic(8, 10*time.Millisecond, "/chain", schoolKey, func() []netip.AddrPort {
		return w.callerAddresses(killed)
	})
	time.Sleep(time.Second)
	w.site.Node(killed).Kill()
	time.Sleep(4 * time.Second)
	before := traffic.count()
	time.Sleep(time.Second)
	assert.Assert(t, traffic.count()-before > 200, "served after the kill: %d", traffic.count()-before)
	served, failed := traffic.end()
	expectServed(t, served, 2000)
	// Eight callers had at most one request each in flight.
	assert.Assert(t, len(failed) <= 8, describe(failed))
}

// TestHandedOverTokens terminates the owner of a zone's shard gracefully while no other
// zone can lend tokens. Its tokens are handed over with the shard, so that no request
// of the zone is refused because of the rate.
func TestHandedOverTokens(t *testing.T) {
	const zone, other = "palermo", "catania"
	w := newReplicatedTestSite(t, pairBundle(), 3)
	w.site.Node(w.owner(other)).Kill()
	leaving := w.owner(zone)
	traffic := w.startTraffic(4, 10*time.Millisecond, "/chain", schoolKey, func() []netip.AddrPort {
		return w.callerAddressesIn(zone, leaving)
	})
	w.site.Node(leaving).Terminate()
	assert.Assert(t, w.site.Node(leaving).Wait(30*time.Second))
	time.Sleep(time.Second)
	served, failed := traffic.end()
	expectServed(t, served, 100)
	for _, r := range failed {
		assert.Assert(t, r.cause != "rate", describe(failed))
	}
	assert.Assert(t, w.owner(zone) != leaving)
}
