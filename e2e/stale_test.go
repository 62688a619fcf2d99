package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/kv/fake"
)

// TestRefuseWhenOlder stops the platform. A workspace with RefuseWhenOlder is refused
// once the bundle's last confirmation is too old; the other is still served.
func TestRefuseWhenOlder(t *testing.T) {
	b := pairBundle()
	b.Workspaces[1].RefuseWhenOlder = bundle.Duration(15 * time.Second)
	w := newReplicatedTestSite(t, b, 1)
	address := w.node("a").Settings.CallerAddress
	time.Sleep(3 * time.Second)
	assert.Equal(t, w.send(address, "GET", "/chain", parishKey, "").status, 200)

	admin := fake.Admin{Address: w.site.Platform}
	assert.NilError(t, admin.SetFaults(w.ctx, fake.Faults{Down: true}))
	w.waitFor("the workspace is refused", func() bool {
		got := w.send(address, "GET", "/chain", parishKey, "")
		return got.cause == "staleBundle" && got.outcome == "notRun"
	})
	assert.Equal(t, w.send(address, "GET", "/chain", schoolKey, "").status, 200)

	assert.NilError(t, admin.SetFaults(w.ctx, fake.Faults{}))
	w.waitFor("the workspace is served again", func() bool {
		return w.send(address, "GET", "/chain", parishKey, "").status == 200
	})
}
