package directory_test

import (
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/directory"
	"auburngap/kv"
)

// TestLateListOfRelays guards against a relay that a late list takes off the table: a list
// read before the relay's entry was written freed its slot at a revision made up from the
// entry's own, above all that the platform had given out.
func TestLateListOfRelays(t *testing.T) {
	relay := directory.Relay{Zone: "a", Slot: 0, VM: "vm-1", Address: netip.MustParseAddrPort("127.0.0.1:7000"), Revision: 12}
	cases := map[string]struct {
		read kv.Revision
		want []directory.Relay
	}{
		"list from before the entry": {10, []directory.Relay{relay}},
		"list from after its end":    {13, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := directory.NewRelayTable()
			table.Merge(relay)
			table.MergeZone("a", nil, c.read)
			assert.Assert(t, slices.Equal(table.Zone("a"), c.want), "%v", table.Zone("a"))
			table.Merge(relay)
			assert.Assert(t, slices.Equal(table.Zone("a"), c.want), "%v", table.Zone("a"))
		})
	}
}
