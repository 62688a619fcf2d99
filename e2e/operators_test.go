package e2e

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/kv/fake"
)

// withdrawalBound is the time within which an accepted version must be active at every
// reachable VM.
const withdrawalBound = 5 * time.Second

// TestWithdrawnKey withdraws a key while its callers keep sending on open
// connections through every node.
func TestWithdrawnKey(t *testing.T) {
	w := newReplicatedTestSite(t, pairBundle(), 2)
	next := pairBundle()
	next.Workspaces[1].Keys[0].Withdrawn = true
	for _, address := range w.callerAddresses("") {
		assert.Equal(t, w.send(address, "GET", "/chain", parishKey, "").status, 200)
	}
	accepted := time.Now()
	w.publish(next)
	published := time.Now()
	for _, address := range w.callerAddresses("") {
		for w.send(address, "GET", "/chain", parishKey, "").status != 401 {
			assert.Assert(t, time.Since(published) < withdrawalBound, "%s still serves the withdrawn key", address)
			time.Sleep(20 * time.Millisecond)
		}
		assert.Equal(t, w.send(address, "GET", "/chain", schoolKey, "").status, 200)
	}
	t.Logf("withdrawn at every node %v after the rollout began", time.Since(accepted).Round(time.Millisecond))
}

// TestPlatformOutage stops the platform under traffic, restarts a node meanwhile, and
// starts the platform again. Requests are served throughout, and the restarted node
// gets the newest bundle from its peers.
func TestPlatformOutage(t *testing.T) {
	t.Run("a node restarts", func(t *testing.T) {
		platformOutage(t, func(*testSite) string { return vmName("g", 1) })
	})
	t.Run("the owner of a shard restarts", func(t *testing.T) {
		platformOutage(t, func(w *testSite) string { return w.owner("catania") })
	})
}

func platformOutage(t *testing.T, choose func(*testSite) string) {
	w := newReplicatedTestSite(t, pairBundle(), 3)
	next := pairBundle()
	next.Workspaces[1].Keys[0].Withdrawn = true
	w.publish(next)
	for _, address := range w.callerAddresses("") {
		w.waitFor("version 2 is in force", func() bool {
			return w.send(address, "GET", "/chain", parishKey, "").status == 401
		})
	}

	admin := fake.Admin{Address: w.site.Platform}
	restarted := choose(w)
	assert.NilError(t, admin.SetFaults(w.ctx, fake.Faults{Down: true}))
	traffic := w.startTraffic(4, 20*time.Millisecond, "/chain", schoolKey, func() []netip.AddrPort {
		return w.callerAddresses(restarted)
	})
	time.Sleep(5 * time.Second)
	w.site.Node(restarted).Kill()
	assert.NilError(t, w.site.StartNode(w.ctx, restarted))
	w.waitUntilNodeServes(restarted)
	got := w.send(w.site.Node(restarted).Settings.CallerAddress, "GET", "/chain", parishKey, "")
	assert.Equal(t, got.status, 401, "the restarted node fell back to an earlier bundle")
	assert.NilError(t, admin.SetFaults(w.ctx, fake.Faults{}))
	time.Sleep(2 * time.Second)
	served, failed := traffic.end()
	expectServed(t, served, 1000)
	// The kill may interrupt requests in flight; nothing else may fail.
	assert.Assert(t, len(failed) <= 4, describe(failed))
}

// TestDrainingBackend makes a backend server announce that it drains. It gets no new
// work after three seconds, also with the platform down.
func TestDrainingBackend(t *testing.T) {
	for _, c := range []struct {
		name string
		down bool
	}{{"platform up", false}, {"platform down", true}} {
		t.Run(c.name, func(t *testing.T) {
			w := newReplicatedTestSite(t, pairBundle(), 2)
			admin := fake.Admin{Address: w.site.Platform}
			assert.NilError(t, admin.SetFaults(w.ctx, fake.Faults{Down: c.down}))
			traffic := w.startTraffic(8, 10*time.Millisecond, "/chain", schoolKey, func() []netip.AddrPort {
				return w.callerAddresses("")
			})
			time.Sleep(time.Second)
			leaving := w.servers[vmName("g", 0)]
			leaving.SetDraining(true)
			time.Sleep(3 * time.Second)
			before := leaving.Total()
			time.Sleep(2 * time.Second)
			assert.Equal(t, leaving.Total(), before, "new work after the drain")
			served, failed := traffic.end()
			expectServed(t, served, 1000)
			assert.Equal(t, len(failed), 0, describe(failed))
		})
	}
}
