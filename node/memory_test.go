package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMemoryRelease(t *testing.T) {
	const mb = 1 << 20
	var release memoryRelease
	assert.Assert(t, !release.isDue(12*mb), "little is in use")
	assert.Assert(t, release.isDue(100*mb))
	release.record(100*mb, 50*mb)
	assert.Assert(t, release.isDue(50*mb), "the last release freed much")
	release.record(50*mb, 48*mb)
	assert.Assert(t, !release.isDue(55*mb), "the last release freed little")
	assert.Assert(t, release.isDue(70*mb), "more is in use than after the last release")
}
