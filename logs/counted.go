package logs

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Counted returns loggers that call count with the message of each line, including
// lines that are omitted later. The function must be safe for concurrent use.
func (l Loggers) Counted(count func(message string)) Loggers {
	counting := zap.WrapCore(func(core zapcore.Core) zapcore.Core { return &countingCore{Core: core, count: count} })
	return Loggers{Main: l.Main.WithOptions(counting), Routine: l.Routine.WithOptions(counting)}
}

// countingCore counts lines before they are sampled.
type countingCore struct {
	zapcore.Core
	count func(message string)
}

// With implements zapcore.Core.
func (c *countingCore) With(fields []zap.Field) zapcore.Core {
	return &countingCore{Core: c.Core.With(fields), count: c.count}
}

// Check implements zapcore.Core.
func (c *countingCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		c.count(entry.Message)
	}
	return c.Core.Check(entry, checked)
}
