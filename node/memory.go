package node

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"auburngap/clock"
)

const (
	// memoryInterval is the time between two checks of the memory in use.
	memoryInterval = 5 * time.Second
	// minReleaseBytes is the memory in use, in bytes, above which memory may be
	// returned to the system.
	minReleaseBytes = 16 << 20
)

// memoryRelease decides when memory is returned to the system. The runtime
// itself keeps the memory that a burst needed for minutes.
type memoryRelease struct {
	// usedAfter is the memory in use, in bytes, after a release that freed little;
	// zero otherwise.
	usedAfter uint64
}

// isDue reports whether a release may free memory.
func (m *memoryRelease) isDue(used uint64) bool {
	return used > minReleaseBytes && used > m.usedAfter+m.usedAfter/4
}

// record stores the result of a release. A release that freed more than a tenth is
// repeated.
func (m *memoryRelease) record(before, after uint64) {
	m.usedAfter = after
	if after < before-before/10 {
		m.usedAfter = 0
	}
}

// releaseMemoryUntil returns unused memory to the system until the context ends.
func releaseMemoryUntil(ctx context.Context) error {
	var release memoryRelease
	for clock.Sleep(ctx, memoryInterval) {
		before := memoryInUse()
		if release.isDue(before) {
			debug.FreeOSMemory()
			release.record(before, memoryInUse())
		}
	}
	return nil
}

// memoryInUse returns the memory that the runtime has obtained from the system and not
// returned, in bytes.
func memoryInUse() uint64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
