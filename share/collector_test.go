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
		{"the same in each zone's eyes, another burst", 4, 1, nil, "zone1"},
		{"burst of 4 tokens a zone", 4, 16, nil, ""},
		{"largest share", 4, 8, map[string]float64{"zone2": 0.5, "zone1": 0.25, "zone3": 0.25}, "zone2"},
		{"one zone", 1, 1, nil, "zone0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Collector(testIndex(c.zones, 10, c.burst, c.shares), testWorkspace), c.zone)
		})
	}
	assert.Equal(t, Collector(testIndex(4, 10, 1, nil), "unheard of"), "")
	unkept := testIndex(4, 10, 8, nil)
	unkept.Bundle.Zones[1].Shards = 0
	assert.Assert(t, Collector(unkept, testWorkspace) != "zone1")
}

// A node asks its own zone's owner, then the collector, and where that gives
// no answer its own zone's owner to collect.
func TestWalletTurnsToTheCollectorAndBack(t *testing.T) {
	wallet := NewWallet(WalletConfig{Zone: "zone0"})
	wallet.Apply(testIndex(4, 10, 8, nil))
	now := time.Second
	ask := func(zone string, collect bool, need float64) Draw {
		t.Helper()
		draw := wallet.Draw(testWorkspace, 2, now)
		assert.Equal(t, draw.Zone, zone)
		assert.Equal(t, draw.Collect, collect)
		assert.Equal(t, draw.Need, need)
		return draw
	}
	assert.Equal(t, wallet.Take(testWorkspace, now).Verdict, Wait)
	draw := ask("zone0", false, 2)
	one := Grant{ID: draw.ID, Loan: LoanID{1, 1}, Tokens: 1, TTL: time.Second, RetryAfter: time.Millisecond}
	assert.Assert(t, wallet.Answer(testWorkspace, one, now))
	draw = ask("zone1", true, 1)
	assert.Assert(t, wallet.Failed(testWorkspace, draw.ID, now))
	draw = ask("zone0", true, 1)
	assert.Assert(t, !wallet.Answer(testWorkspace, Grant{ID: draw.ID, RetryAfter: time.Millisecond}, now))
	ask("zone0", true, 1)
	now += firstBackoff
	wallet.Failed(testWorkspace, wallet.lastID, now)
	assert.Equal(t, wallet.Draw(testWorkspace, 2, now).Zone, "zone1")
}

func TestQueueServesTheFirstFirst(t *testing.T) {
	q := &queue{}
	first, second, third := q.join(1), q.join(2), q.join(1)
	assert.Equal(t, q.upTo(first), 1.0)
	assert.Equal(t, q.upTo(second), 3.0)
	assert.Equal(t, q.sum(), 4.0)
	q.leave(first)
	assert.Equal(t, q.upTo(second), 2.0)
	assert.Equal(t, q.upTo(third), 3.0)
}
