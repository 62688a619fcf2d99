package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDepartureCovers guards against a late report that puts a server that has left back
// into use, and against a later run under the same ID that is taken for it.
func TestDepartureCovers(t *testing.T) {
	began := time.UnixMilli(1000)
	departure := Departure{VM: "vm-1", Instance: "i-1", Started: began}
	cases := []struct {
		name     string
		instance string
		started  time.Time
		want     bool
	}{
		{"the same run", "i-1", began, true},
		{"an earlier start", "i-1", began.Add(-time.Second), true},
		{"no start is reported", "i-1", time.Time{}, true},
		{"a later run under the same ID", "i-1", began.Add(time.Second), false},
		{"another instance", "i-2", began, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, departure.Covers(c.instance, c.started), c.want)
		})
	}
}

// TestDepartureTableIsBounded guards against departures that take memory without end, and
// against the latest ones being dropped.
func TestDepartureTableIsBounded(t *testing.T) {
	var table departureTable
	departure := func(i int) Departure {
		return Departure{VM: fmt.Sprint("vm-", i), Instance: "i", Started: time.UnixMilli(1000)}
	}
	for i := range 2 * maxDepartures {
		assert.Assert(t, table.add(departure(i)))
		assert.Assert(t, !table.add(departure(i)), "added twice")
	}
	assert.Equal(t, len(table.of("vm-0")), 0)
	oldest, latest := fmt.Sprint("vm-", maxDepartures), fmt.Sprint("vm-", 2*maxDepartures-1)
	assert.DeepEqual(t, table.of(oldest), []Departure{departure(maxDepartures)})
	assert.DeepEqual(t, table.of(latest), []Departure{departure(2*maxDepartures - 1)})
	sent := table.latestFor(oldest)
	assert.Equal(t, len(sent), maxSentDepartures+1)
	assert.DeepEqual(t, departuresFromMessage(departuresToMessage(sent)), sent)
}
