package logs

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestBlockedOutput logs into a pipe that has no active reader, and checks that no
// call waits for it.
func TestBlockedOutput(t *testing.T) {
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	defer reader.Close()
	defer writer.Close()
	w := NewWriter(writer)
	logger := New(w).Main
	slowest := time.Duration(0)
	for i := range 20000 {
		start := time.Now()
		// Each message differs, so that sampling omits none.
		logger.Info(fmt.Sprint("caller: refused ", i), zap.String("attempt", "9c41d07be2a35f68"), zap.Int("number", i))
		slowest = max(slowest, time.Since(start))
	}
	assert.Assert(t, w.Dropped() > 0)
	assert.Assert(t, slowest < 100*time.Millisecond, "a line took %v", slowest)
}

// TestFlood checks how many of many equal lines are written.
func TestFlood(t *testing.T) {
	main := func(l Loggers) *zap.Logger { return l.Main }
	routine := func(l Loggers) *zap.Logger { return l.Routine }
	for _, test := range []struct {
		name           string
		logger         func(Loggers) *zap.Logger
		lines          int
		fewest, most   int
		omissionLogged bool
	}{
		{"each refusal is written", main, 900, 900, 900, false},
		{"a flood of refusals is bounded", main, 20000, maxMainLines, 2 * maxMainLines, true},
		{"successes are sampled", routine, 5000, sampledFirst, 400, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			w := NewWriter(&out)
			logger := test.logger(New(w))
			for range test.lines {
				logger.Info("caller: request ended")
			}
			logger.Info("node: draining")
			time.Sleep(sampleTick + sampleTick/2)
			w.Close()
			text := out.String()
			ended := strings.Count(text, "caller: request ended")
			assert.Assert(t, ended >= test.fewest-int(w.Dropped()) && ended <= test.most, "%d lines, %d dropped", ended, w.Dropped())
			assert.Equal(t, strings.Count(text, "node: draining"), 1)
			assert.Equal(t, strings.Contains(text, `"logs: lines left out"`), test.omissionLogged || w.Dropped() > 0)
		})
	}
}

// BenchmarkLine measures the processor time of a log line about a request.
func BenchmarkLine(b *testing.B) {
	w := NewWriter(io.Discard)
	defer w.Close()
	logger := zap.New(newCore(w))
	for b.Loop() {
		logger.Info("caller: refused", zap.String("attempt", "9c41d07be2a35f68"), zap.String("route", "ordina"),
			zap.String("service", "cassa"), zap.String("workspace", "dalo16"), zap.Uint8("priority", 1),
			zap.Uint64("version", 7), zap.Duration("wordAge", 310*time.Millisecond), zap.Duration("took", 12*time.Millisecond),
			zap.String("cause", "rate"), zap.String("outcome", "notRun"), zap.Duration("retryAfter", time.Second))
	}
}

// TestCloseWritesQueuedLines checks that Close loses no queued line.
func TestCloseWritesQueuedLines(t *testing.T) {
	reader, writer := io.Pipe()
	got := make(chan int, 1)
	go func() {
		data, _ := io.ReadAll(reader)
		got <- bytes.Count(data, []byte("\n"))
	}()
	w := NewWriter(writer)
	logger := New(w).Main
	for i := range 30 {
		logger.Info(fmt.Sprint("node: line ", i))
	}
	w.Close()
	assert.NilError(t, writer.Close())
	assert.Equal(t, <-got, 30)
}
