package logs

import (
	"io"
	"sync"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestCounted checks that each line is counted by its message, including lines
// omitted by sampling and lines of a logger with more fields, but no line below the
// level that is written.
func TestCounted(t *testing.T) {
	w := NewWriter(io.Discard)
	defer w.Close()
	var mu sync.Mutex
	counts := make(map[string]int)
	loggers := New(w).Counted(func(message string) {
		mu.Lock()
		defer mu.Unlock()
		counts[message]++
	})
	for range 10 * sampledFirst {
		loggers.Routine.Info("caller: answered")
		loggers.Main.With(zap.String("vm", "vm-1")).Info("route: no answer")
		loggers.Main.Debug("peer: session opened")
		if line := loggers.Routine.Check(zap.InfoLevel, "route: answered"); line != nil {
			line.Write()
		}
	}
	assert.DeepEqual(t, counts, map[string]int{
		"caller: answered": 10 * sampledFirst,
		"route: no answer": 10 * sampledFirst,
		"route: answered":  10 * sampledFirst,
	})
}
