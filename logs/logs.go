// Package logs writes structured log lines without ever blocking a request: lines
// wait in a bounded queue for a slow output, and are dropped and counted if it is
// full. Lines that explain a failure are written up to a rate that only a flood
// reaches; lines about successful work are sampled.
//
// # Usage
//
//	writer := logs.NewWriter(os.Stdout)
//	loggers := logs.New(writer, zap.String("vm", vm))
//	defer writer.Close()
//	loggers.Main.Info("caller: refused", zap.String("attempt", id))
//	loggers.Routine.Info("caller: answered", zap.String("attempt", id))
//
// The numbers of omitted lines are logged too, at most once a second.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queuedLines bounds the lines that wait for the output.
	queuedLines = 1024
	// maxMainLines is how many lines of one message Loggers.Main writes in sampleTick.
	maxMainLines = 1000
	sampleTick   = time.Second
	// Loggers.Routine writes the first sampledFirst lines of one message in
	// sampleTick, then one of each sampledThereafter.
	sampledFirst      = 40
	sampledThereafter = 50
	// closeTimeout is how long Close waits for the output.
	closeTimeout = 200 * time.Millisecond
)

// Loggers are the loggers of a process. Both write JSON lines to one output.
type Loggers struct {
	// Main is for lines that are omitted only in a flood: failures, refusals, and
	// changes of the state that the process assumes.
	Main *zap.Logger
	// Routine is for lines about successful work; it is sampled.
	Routine *zap.Logger
}

// New returns loggers that add the fields to every line.
func New(writer *Writer, fields ...zap.Field) Loggers {
	return Loggers{
		Main:    newLogger(writer, maxMainLines, 0).With(fields...),
		Routine: newLogger(writer, sampledFirst, sampledThereafter).With(fields...),
	}
}

// newLogger returns a logger that writes the first lines of each message in a tick
// and then one of each thereafter, or no more if thereafter is 0.
func newLogger(writer *Writer, first, thereafter int) *zap.Logger {
	count := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			writer.sampledOut.Add(1)
		}
	})
	return zap.New(zapcore.NewSamplerWithOptions(newCore(writer), sampleTick, first, thereafter, count))
}

func newCore(writer *Writer) zapcore.Core {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	return zapcore.NewCore(zapcore.NewJSONEncoder(config), writer, zapcore.InfoLevel)
}

// Writer writes lines to an output. Its callers never wait for the output.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	ended chan struct{}
	close sync.Once
	// dropped counts lines for which the queue was full or that the output failed to
	// write; sampledOut counts those that were omitted by sampling.
	dropped, sampledOut atomic.Int64
}

// NewWriter returns a writer to an output.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:   out,
		lines: make(chan []byte, queuedLines),
		done:  make(chan struct{}),
		ended: make(chan struct{}),
	}
	go w.run()
	go w.report(zap.New(newCore(w)))
	return w
}

// Write implements io.Writer: it queues a copy of the line, or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped because the queue was full or the
// output failed.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines, as far as the output accepts them within
// closeTimeout.
func (w *Writer) Close() {
	w.close.Do(func() { close(w.done) })
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.done:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			return
		}
	}
}

// write writes a line to the output. A failed write can only be counted, as there
// is no other place to report it.
func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// report logs the numbers of omitted lines until Close.
func (w *Writer) report(logger *zap.Logger) {
	ticker := time.NewTicker(sampleTick)
	defer ticker.Stop()
	var dropped, sampledOut int64
	for {
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
		nowDropped, nowSampledOut := w.dropped.Load(), w.sampledOut.Load()
		if nowDropped > dropped || nowSampledOut > sampledOut {
			logger.Info("logs: lines left out", zap.Int64("sampled", nowSampledOut-sampledOut), zap.Int64("dropped", nowDropped-dropped))
		}
		dropped, sampledOut = nowDropped, nowSampledOut
	}
}
