package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestGateLevels(t *testing.T) {
	gate := NewGate(GateConfig{})
	service := gate.Service("orders")
	services := []ServiceID{service}
	half := LevelsPerPriority + LevelsPerPriority/2
	gate.UpdateLevel(service, uint16(half), epoch)
	for _, test := range []struct {
		name    string
		request Request
		want    bool
	}{
		{"more important", Request{Priority: 0, Hash: 1 << 31, Workspace: "a"}, true},
		{"low hash", Request{Priority: 1, Hash: 1 << 30, Workspace: "b"}, true},
		{"high hash", Request{Priority: 1, Hash: 3 << 30, Workspace: "c"}, false},
		{"less important", Request{Priority: 2, Hash: 0, Workspace: "d"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, gate.Admit(test.request, services, epoch), test.want)
		})
	}
}

func TestGateLevelDecaysWithoutSignals(t *testing.T) {
	gate := NewGate(GateConfig{})
	service := gate.Service("orders")
	gate.UpdateLevel(service, LevelsPerPriority, epoch)
	assert.Equal(t, gate.Level(service, epoch.Add(time.Second)), uint16(LevelsPerPriority))
	assert.Equal(t, gate.Level(service, epoch.Add(2*time.Second)), (LevelsPerPriority+FullLevel)/2)
	assert.Equal(t, gate.Level(service, epoch.Add(3*time.Second)), FullLevel)
	assert.Assert(t, !gate.Overloaded(service, epoch.Add(3*time.Second)))
}

// TestGateShedsOnlyGreedyWorkspace has one workspace send ten times as much as
// each of ten others, while 70% of all requests are admitted. The others send less
// than their fair share and must lose almost no requests.
func TestGateShedsOnlyGreedyWorkspace(t *testing.T) {
	gate := NewGate(GateConfig{})
	service := gate.Service("orders")
	random := rand.New(rand.NewPCG(1, 2))
	offered, admitted := map[string]int{}, map[string]int{}
	for i := range 100_000 {
		now := epoch.Add(time.Duration(i) * 500 * time.Microsecond)
		gate.UpdateLevel(service, LevelsPerPriority*7/10, now)
		name := "greedy"
		if i%20 < 10 {
			name = string(rune('a' + i%10))
		}
		ok := gate.Admit(Request{Workspace: name, Hash: random.Uint32()}, []ServiceID{service}, now)
		if i < 20_000 {
			continue
		}
		offered[name]++
		if ok {
			admitted[name]++
		}
	}
	for name, count := range offered {
		if name != "greedy" {
			assert.Assert(t, float64(admitted[name]) > 0.97*float64(count), "%s: %d of %d", name, admitted[name], count)
		}
	}
	total := 0
	for _, count := range admitted {
		total += count
	}
	assert.Assert(t, total > 53_000 && total < 59_000, "admitted %d", total)
}
