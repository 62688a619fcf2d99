package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMemoryRelease(t *testing.T) {
	const mb = 1 << 20
	var release memoryRelease
	assert.Assert(t, !release.due(12*mb), "little is in use")
	assert.Assert(t, release.due(100*mb))
	release.done(100*mb, 50*mb)
	assert.Assert(t, release.due(50*mb), "the last one brought much")
	release.done(50*mb, 48*mb)
	assert.Assert(t, !release.due(55*mb), "the last one brought little")
	assert.Assert(t, release.due(70*mb), "more is in use than it left")
}
