package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

var drainBegan = time.Unix(1000, 0)

// TestDrainPhases covers nodes that are stopped one after the other, each beside a
// server of a scarce service: the server stays in use for most of the drain.
func TestDrainPhases(t *testing.T) {
	long, short := 5*time.Second, time.Second
	cases := []struct {
		elapsed, drainTime time.Duration
		want               drainPhase
	}{
		{0, long, drainServing},
		{drainServeTime - 1, long, drainServing},
		{drainServeTime, long, drainLeaving},
		{minDrainTime - 1, long, drainLeaving},
		{minDrainTime, long, drainClosing},
		{time.Minute, long, drainClosing},
		{short - 1, short, drainServing},
		{short, short, drainClosing},
	}
	for _, c := range cases {
		state := drainState{began: drainBegan, end: drainBegan.Add(c.drainTime)}
		assert.Equal(t, state.phaseAt(drainBegan.Add(c.elapsed)), c.want, "after %v of %v", c.elapsed, c.drainTime)
	}
}

// TestDrainAccepts guards against a request that is accepted late in a planned stop and
// cut at its end. Only an idempotent request is expected to be answered before its
// deadline.
func TestDrainAccepts(t *testing.T) {
	const drainTime = 5 * time.Second
	cases := []struct {
		name                        string
		elapsed, timeout, objective time.Duration
		idempotent                  bool
		want                        bool
	}{
		{"idempotent, objective in time", 2 * time.Second, 5 * time.Second, 1500 * time.Millisecond, true, true},
		{"idempotent, objective too late", 2600 * time.Millisecond, 10 * time.Second, 2500 * time.Millisecond, true, false},
		{"idempotent, deadline before the objective", 2600 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, true, true},
		{"idempotent, no objective", time.Second, 4500 * time.Millisecond, 0, true, false},
		{"not idempotent, objective in time", time.Second, 5 * time.Second, 1500 * time.Millisecond, false, false},
		{"not idempotent, deadline in time", time.Second, 4 * time.Second, 1500 * time.Millisecond, false, true},
		{"not idempotent, deadline too late", time.Second, 4*time.Second + 1, 1500 * time.Millisecond, false, false},
		{"after the last request", minDrainTime, 10 * time.Millisecond, 10 * time.Millisecond, true, false},
	}
	for _, c := range cases {
		state := drainState{began: drainBegan, end: drainBegan.Add(drainTime)}
		now := drainBegan.Add(c.elapsed)
		call := &request.Call{Idempotent: c.idempotent, Objective: c.objective}
		call.Context.Deadline = now.Add(c.timeout)
		assert.Equal(t, state.accepts(call, now), c.want, c.name)
	}
}
