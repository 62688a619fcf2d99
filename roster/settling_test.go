package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reads returns how many reads take in changes that come each gap for a time, and the
// longest delay until one is known. A read ends as soon as there is a change.
func reads(gap, length time.Duration) (count int, longest time.Duration) {
	s := settling{pause: settleTime}
	var now, known time.Duration
	for known < length {
		began := now
		// The first change that is not known yet, and the last that is there by now.
		next := known + gap
		now = max(now, next)
		longest = max(longest, now-next)
		known = now / gap * gap
		count++
		now += s.after(now - began)
	}
	return count, longest
}

// TestSettling answers the pattern of many nodes that start or leave at once: the reads
// of a zone must not grow with the changes, and one change after calm is known at once.
func TestSettling(t *testing.T) {
	cases := []struct {
		name   string
		gap    time.Duration
		most   int
		behind time.Duration
	}{
		{"a change each second", time.Second, 10, 0},
		{"configurations in quick succession", 330 * time.Millisecond, 31, 0},
		{"nodes replaced one after the other", 100 * time.Millisecond, 46, longestSettleTime},
		{"78 nodes that start", 20 * time.Millisecond, 46, longestSettleTime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			count, longest := reads(c.gap, 10*time.Second)
			t.Logf("%d reads, known %v late", count, longest)
			assert.Assert(t, count <= c.most)
			assert.Assert(t, longest <= c.behind)
		})
	}
}

// TestFirstPauseIsLong: a node that starts knows nobody to ask yet, and most often
// others start with it.
func TestFirstPauseIsLong(t *testing.T) {
	var s settling
	assert.Equal(t, s.after(time.Millisecond), longestSettleTime)
	assert.Equal(t, s.after(time.Second), settleTime)
}
