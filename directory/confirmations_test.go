package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConfirmations guards against a bundle that counts as confirmed by a read that found a
// newer one, and against one that never does because versions arrive faster than they
// become active.
func TestConfirmations(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	type step struct {
		read     uint64
		seconds  int
		held     uint64
		wantFrom int
	}
	cases := map[string][]step{
		"same version":               {{read: 5, seconds: 1, held: 5, wantFrom: 1}, {read: 5, seconds: 9, held: 5, wantFrom: 9}},
		"older version than held":    {{read: 4, seconds: 1, held: 5, wantFrom: 1}},
		"earlier read arrives later": {{read: 5, seconds: 9, held: 5, wantFrom: 9}, {read: 5, seconds: 1, held: 5, wantFrom: 9}},
		"newer version, never held":  {{read: 5, seconds: 1, held: 5, wantFrom: 1}, {read: 6, seconds: 2, held: 5, wantFrom: 1}, {read: 6, seconds: 60, held: 5, wantFrom: 1}},
		"newer version, held later":  {{read: 5, seconds: 1, held: 5, wantFrom: 1}, {read: 6, seconds: 2, held: 5, wantFrom: 1}, {read: 7, seconds: 3, held: 6, wantFrom: 2}},
		"always one version behind": {
			{read: 5, seconds: 1, held: 5, wantFrom: 1},
			{read: 6, seconds: 2, held: 5, wantFrom: 1},
			{read: 7, seconds: 3, held: 6, wantFrom: 2},
			{read: 8, seconds: 4, held: 7, wantFrom: 3},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			var c confirmations
			for _, s := range steps {
				c.add(confirmation{version: s.read, at: at(s.seconds)}, s.held)
				assert.Equal(t, c.confirmedAt(s.held), at(s.wantFrom), "read of version %d", s.read)
			}
		})
	}
}
