package directory

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSeedCycle checks that every seed is returned once before any is returned
// again, and never the node's own address.
func TestSeedCycle(t *testing.T) {
	var seeds []netip.AddrPort
	for i := range 10 {
		seeds = append(seeds, netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 7000+i)))
	}
	d := New(Config{Address: seeds[3], Seeds: seeds})
	cycle := d.newSeedCycle()
	asked := make(map[netip.AddrPort]int)
	for round, size := range []int{1, 4, 4} {
		got := cycle.next(round > 0)
		assert.Equal(t, len(got), size)
		for _, seed := range got {
			asked[seed]++
		}
	}
	assert.Equal(t, len(asked), 9)
	assert.Equal(t, asked[seeds[3]], 0)

	alone := New(Config{Address: seeds[0], Seeds: seeds[:1]}).newSeedCycle()
	assert.Equal(t, len(alone.next(true)), 0)
}
