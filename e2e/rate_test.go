package e2e

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"auburngap/share"
)

// TestRateOverAllNodes sends six times a workspace's rate through all nodes of
// two availability zones, while a node is killed and another
// restarted. In every window the backend servers may see no more than burst and rate
// allow.
func TestRateOverAllNodes(t *testing.T) {
	const rate, burst = 100, 50
	b := pairBundle()
	b.Workspaces[1].Rate = rate
	b.Workspaces[1].Burst = burst
	w := newReplicatedTestSite(t, b, 3)

	var mu sync.Mutex
	meter := share.NewMeter(rate)
	start := time.Now()
	admitted := 0
	w.watch(func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != "/single" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		meter.Spend(1, time.Since(start))
		admitted++
	})
	traffic := w.startTraffic(12, 20*time.Millisecond, "/single", parishKey, func() []netip.AddrPort {
		return w.callerAddresses("")
	})
	time.Sleep(3 * time.Second)
	w.site.Node(vmName("a", 0)).Kill()
	time.Sleep(2 * time.Second)
	assert.NilError(t, w.site.StartNode(w.ctx, vmName("a", 0)))
	w.site.Node(vmName("g", 1)).Terminate()
	assert.Assert(t, w.site.Node(vmName("g", 1)).Wait(30*time.Second))
	assert.NilError(t, w.site.StartNode(w.ctx, vmName("g", 1)))
	time.Sleep(3 * time.Second)
	traffic.end()

	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d admitted in %v at a rate of %d: worst window exceeds the rate by %.1f, the burst is %d",
		admitted, time.Since(start).Round(time.Second), rate, meter.Worst(), burst)
	assert.Assert(t, meter.Worst() <= burst, "%.1f", meter.Worst())
}
