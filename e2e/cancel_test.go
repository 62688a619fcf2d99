package e2e

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/node"
	"auburngap/operator"
)

// liveCalls sums the calls that the backend servers work on, as nodes see it.
func (w *testSite) liveCalls() int {
	sum := 0
	for _, vm := range w.vms() {
		data, err := operator.Fetch(w.ctx, w.site.Node(vm.name).Settings.ControlAddress, "/status")
		assert.NilError(w.t, err)
		var status node.Status
		assert.NilError(w.t, json.Unmarshal(data, &status))
		sum += status.LiveCalls
	}
	return sum
}

// TestCancellationTravelsTheChain closes the caller's connection while the deepest of
// five hops works on the call: no node continues any of the calls.
func TestCancellationTravelsTheChain(t *testing.T) {
	w := newTestSite(t, chainBundle())
	w.servers[vmName("g", 0)].SetWork(10 * time.Second)
	conn, err := net.Dial("tcp", w.node("a").Settings.CallerAddress.String())
	assert.NilError(t, err)
	_, err = conn.Write([]byte("GET /chain HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + schoolKey + "\r\n\r\n"))
	assert.NilError(t, err)
	w.waitFor("the deepest call is under way", func() bool { return w.servers[vmName("g", 0)].Running() > 0 })
	assert.Assert(t, w.liveCalls() >= 4)
	assert.NilError(t, conn.Close())
	closed := time.Now()
	w.waitFor("no call is live", func() bool { return w.liveCalls() == 0 })
	assert.Assert(t, time.Since(closed) < 2*time.Second, "after %v", time.Since(closed))
}

// TestDeadlineTravelsTheChain sends a request with a timeout of 400 ms.
func TestDeadlineTravelsTheChain(t *testing.T) {
	w := newTestSite(t, chainBundle())
	w.servers[vmName("g", 0)].SetWork(10 * time.Second)
	sent := time.Now()
	got := w.send(w.node("a").Settings.CallerAddress, "GET", "/chain", schoolKey, "", "Auburngap-Timeout", "400")
	t.Logf("answered after %v: %s", time.Since(sent), got.body)
	assert.Equal(t, got.status, 504)
	assert.Equal(t, got.cause, "deadline")
	assert.Equal(t, got.outcome, "unknown")
	assert.Assert(t, time.Since(sent) < 2*time.Second)
	w.waitFor("no call is live", func() bool { return w.liveCalls() == 0 })
	assert.Assert(t, time.Since(sent) < 3*time.Second)
}
