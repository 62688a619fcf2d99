package settings

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"auburngap/strictjson"
)

func TestFaults(t *testing.T) {
	data, err := os.ReadFile("testdata/faulty.json")
	assert.NilError(t, err)
	_, err = Parse("faulty.json", data)
	var faults *strictjson.FaultsError
	assert.Assert(t, errors.As(err, &faults))
	golden.Assert(t, faults.Error()+"\n", "faulty.golden")
}

func TestGoodSettings(t *testing.T) {
	for _, path := range []string{"../deploy/windhoek/node.json", "../deploy/caltanissetta/node.json"} {
		node, err := Read(path)
		assert.NilError(t, err)
		assert.Equal(t, node.OperatorSignOffs, 2)
		assert.Equal(t, time.Duration(node.DrainTimeout), 30*time.Second)
	}
}

func TestPeerListener(t *testing.T) {
	node := Default()
	node.PeerAddress = netip.MustParseAddrPort("10.0.0.1:8081")
	assert.Equal(t, node.PeerListener(), node.PeerAddress)
	node.PeerListenAddress = netip.MustParseAddrPort("0.0.0.0:9081")
	assert.Equal(t, node.PeerListener(), node.PeerListenAddress)
}

// TestPage compares the page with the struct; make generate updates the page.
func TestPage(t *testing.T) {
	var page bytes.Buffer
	assert.NilError(t, Document(&page))
	written, err := os.ReadFile("../docs/SETTINGS.md")
	assert.NilError(t, err)
	assert.Equal(t, page.String(), string(written))
}

func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("testdata/faulty.json")
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`{"vm": 1, // comment` + "\n}"))
	f.Add([]byte(`{"peerTls": {"plain": {}}, "seeds": [null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		node, err := Parse("fuzz.json", data)
		if err == nil && (node.VM == "" || !node.PeerAddress.IsValid()) {
			t.Fatal("settings without a VM or address were accepted")
		}
	})
}
