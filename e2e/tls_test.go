package e2e

import (
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/settings"
)

// TestMutualTLS runs a site whose nodes speak mutual TLS with keys that the
// command line has made, and a node with keys of another authority and without
// the platform, which gets no bundle from its peers and serves nobody.
func TestMutualTLS(t *testing.T) {
	keys := makeTLS(t, "windhoek")
	stranger := makeTLS(t, "elsewhere")
	w := prepareWorld(t, pairBundle(), 2)
	w.adjust = func(node *settings.Node) {
		node.PeerTLS = keys
		if node.VM == vmName("a", 1) {
			node.PeerTLS = stranger
			// Nothing listens on the port of discarded words.
			node.PlatformAddress = netip.MustParseAddrPort("127.0.0.1:9")
		}
	}
	w.start()
	for _, vm := range []string{vmName("a", 0), vmName("g", 0), vmName("g", 1)} {
		w.waitUntilNodeServes(vm)
	}
	got := w.send(w.site.Node(vmName("a", 1)).Settings.CallerAddress, "GET", "/chain", schoolKey, "")
	assert.Assert(t, got.status != 200, "the node of another authority serves")
}

// makeTLS makes the keys of a node by the command line.
func makeTLS(t *testing.T, name string) settings.TLS {
	t.Helper()
	authority := filepath.Join(t.TempDir(), "authority.json")
	out, err := exec.Command(binary, "tls", "authority", "--site", name).Output()
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(authority, out, 0o600))
	out, err = exec.Command(binary, "tls", "node", "--authority", authority).Output()
	assert.NilError(t, err)
	var keys settings.TLS
	assert.NilError(t, json.Unmarshal(out, &keys))
	return keys
}
