package directory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/directory"
	"auburngap/kv/fake"
)

const measuredMinutes = 3

// countCalls starts n nodes in one zone. It returns the platform calls while they
// start and in the measuredMinutes after, the number of relays, and the bytes sent
// in those minutes.
func countCalls(t *testing.T, n, fanOut int) (starting, steady fake.Counts, relays int, bytes int64) {
	synctest.Test(t, func(t *testing.T) {
		defer onOneThread()()
		s := newSite(t, directory.Timing{FanOut: fanOut}, "a")
		defer s.stop()
		s.rollOut(1)
		s.add("a", "orders", n)
		time.Sleep(time.Minute)
		s.awaitAll("every node lists all and has version 1", 0, func(m *member) bool {
			return m.countTargets("a") == n && m.run.sink.ActiveVersion() == 1
		})
		starting = s.platform.Counts()
		sent := s.sentBytes.Load()
		time.Sleep(measuredMinutes * time.Minute)
		total := s.platform.Counts()
		steady = fake.Counts{
			Get:   total.Get - starting.Get,
			List:  total.List - starting.List,
			Put:   total.Put - starting.Put,
			Watch: total.Watch - starting.Watch,
			Grant: total.Grant - starting.Grant,
			Renew: total.Renew - starting.Renew,
		}
		relays = len(s.relays("a"))
		bytes = s.sentBytes.Load() - sent
	})
	return starting, steady, relays, bytes
}

// TestPlatformCallsGrowWithRelays checks that the number of platform calls depends
// on the number of relays and not on the number of nodes.
func TestPlatformCallsGrowWithRelays(t *testing.T) {
	sizes := []int{8, 32, 128}
	perRelay := make([]float64, len(sizes))
	for i, n := range sizes {
		starting, steady, relays, bytes := countCalls(t, n, 140)
		perRelay[i] = float64(steady.Reads()+steady.Writes()) / measuredMinutes / float64(relays)
		t.Logf("%3d nodes, %d relays: %.1f reads and %.1f writes a minute, %d reads and %d writes at the start, %.1f bytes a second and node",
			n, relays, float64(steady.Reads())/measuredMinutes, float64(steady.Writes())/measuredMinutes,
			starting.Reads(), starting.Writes(), float64(bytes)/measuredMinutes/60/float64(n))
		assert.Equal(t, relays, 3)
		assert.Assert(t, perRelay[i] < 1.1*perRelay[0], "%v calls a minute and relay", perRelay)
	}
	for _, fanOut := range []int{40, 10} {
		_, steady, relays, bytes := countCalls(t, 128, fanOut)
		t.Logf("128 nodes, %2d relays: %.1f reads and %.1f writes a minute, %.1f bytes a second and node",
			relays, float64(steady.Reads())/measuredMinutes, float64(steady.Writes())/measuredMinutes, float64(bytes)/measuredMinutes/60/128)
		calls := float64(steady.Reads()+steady.Writes()) / measuredMinutes / float64(relays)
		assert.Assert(t, calls < 1.1*perRelay[0], "%.1f calls a minute and relay", calls)
	}
}
