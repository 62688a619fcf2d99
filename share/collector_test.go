package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCollector(t *testing.T) {
	cases := []struct {
		name   string
		zones  int
		burst  float64
		shares map[string]float64
		zone   string
	}{
		{"burst below 4 tokens a zone", 4, 15, nil, "zone1"},
		{"burst of 1 token", 4, 1, nil, "zone1"},
		{"burst of 4 tokens a zone", 4, 16, nil, ""},
		{"largest share", 4, 8, map[string]float64{"zone2": 0.5, "zone1": 0.25, "zone3": 0.25}, "zone2"},
		{"one zone", 1, 1, nil, "zone0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, CollectorZone(testIndex(c.zones, 10, c.burst, c.shares), testWorkspace), c.zone)
		})
	}
	assert.Equal(t, CollectorZone(testIndex(4, 10, 1, nil), "unheard of"), "")
	withoutShards := testIndex(4, 10, 8, nil)
	withoutShards.Bundle.Zones[1].Shards = 0
	assert.Assert(t, CollectorZone(withoutShards, testWorkspace) != "zone1")
}

// A node asks the owner in its own zone, then the collector. If the collector does
// not answer, it asks the owner in its own zone to collect.
func TestCacheFallsBackFromCollector(t *testing.T) {
	cache := NewTokenCache(TokenCacheConfig{Zone: "zone0"})
	cache.Apply(testIndex(4, 10, 8, nil))
	now := time.Second
	ask := func(zone string, collect bool, need float64) Draw {
		t.Helper()
		draw := cache.Draw(testWorkspace, 2, now)
		assert.Equal(t, draw.LenderZone, zone)
		assert.Equal(t, draw.Collect, collect)
		assert.Equal(t, draw.Need, need)
		return draw
	}
	assert.Equal(t, cache.Take(testWorkspace, now).Verdict, Wait)
	draw := ask("zone0", false, 2)
	one := Grant{ID: draw.ID, Loan: LoanID{1, 1}, Tokens: 1, TTL: time.Second, RetryAfter: time.Millisecond}
	assert.Assert(t, cache.HandleGrant(testWorkspace, one, now))
	draw = ask("zone1", true, 1)
	assert.Assert(t, cache.DrawFailed(testWorkspace, draw.ID, now))
	draw = ask("zone0", true, 1)
	assert.Assert(t, !cache.HandleGrant(testWorkspace, Grant{ID: draw.ID, RetryAfter: time.Millisecond}, now))
	ask("zone0", true, 1)
	now += firstBackoff
	cache.DrawFailed(testWorkspace, cache.lastID, now)
	assert.Equal(t, cache.Draw(testWorkspace, 2, now).LenderZone, "zone1")
}

func TestQueueOrder(t *testing.T) {
	q := &queue{}
	first, second, third := q.join(1), q.join(2), q.join(1)
	assert.Equal(t, q.needUpTo(first), 1.0)
	assert.Equal(t, q.needUpTo(second), 3.0)
	assert.Equal(t, q.totalNeed(), 4.0)
	q.leave(first)
	assert.Equal(t, q.needUpTo(second), 2.0)
	assert.Equal(t, q.needUpTo(third), 3.0)
}
