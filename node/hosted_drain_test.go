package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrainPhases covers nodes that are stopped one after the other, each beside a
// server of a scarce service: the server stays in use for most of the drain.
func TestDrainPhases(t *testing.T) {
	cases := []struct {
		elapsed time.Duration
		want    drainPhase
	}{
		{0, drainServing},
		{drainServeTime - 1, drainServing},
		{drainServeTime, drainLeaving},
		{minDrainTime - 1, drainLeaving},
		{minDrainTime, drainClosing},
		{time.Minute, drainClosing},
	}
	for _, c := range cases {
		assert.Equal(t, drainPhaseAt(c.elapsed), c.want, "after %v", c.elapsed)
	}
}
