package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulateReads simulates a change every gap for the given duration. It returns the
// number of reads and the longest delay until a change is known. A read ends as soon
// as there is a change.
func simulateReads(gap, duration time.Duration) (count int, maxDelay time.Duration) {
	s := readPacer{pause: minReadPause}
	var now, known time.Duration
	for known < duration {
		startedAt := now
		// next is the first change that is not known yet. The read returns all changes
		// up to now.
		next := known + gap
		now = max(now, next)
		maxDelay = max(maxDelay, now-next)
		known = now / gap * gap
		count++
		now += s.pauseAfter(now - startedAt)
	}
	return count, maxDelay
}

// TestReadPacer has many nodes start or leave at once: the number of reads of a zone
// must not grow with the number of changes, and a single change after a quiet time
// is known at once.
func TestReadPacer(t *testing.T) {
	cases := []struct {
		name     string
		gap      time.Duration
		maxReads int
		maxDelay time.Duration
	}{
		{"a change each second", time.Second, 10, 0},
		{"configurations in quick succession", 330 * time.Millisecond, 31, 0},
		{"nodes replaced one after the other", 100 * time.Millisecond, 46, maxReadPause},
		{"78 nodes that start", 20 * time.Millisecond, 46, maxReadPause},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			count, delay := simulateReads(c.gap, 10*time.Second)
			t.Logf("%d reads, known %v late", count, delay)
			assert.Assert(t, count <= c.maxReads)
			assert.Assert(t, delay <= c.maxDelay)
		})
	}
}

// TestFirstPauseIsLongest checks the pause after the first read: a starting node knows
// no other node to read from yet, and other nodes usually start at the same time.
func TestFirstPauseIsLongest(t *testing.T) {
	var s readPacer
	assert.Equal(t, s.pauseAfter(time.Millisecond), maxReadPause)
	assert.Equal(t, s.pauseAfter(time.Second), minReadPause)
}
