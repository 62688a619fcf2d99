package app

import (
	"context"
	"io"
	"runtime"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"auburngap/kv"
	"auburngap/node"
	"auburngap/settings"
)

// nodeCommand runs the node beside a backend server.
type nodeCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings, JSON with comments"`
}

func (c *nodeCommand) run(ctx context.Context, stderr io.Writer) int {
	read, err := settings.Read(c.Settings)
	if err != nil {
		return failSettings(stderr, err)
	}
	logger, err := newLogger(read, stderr)
	if err != nil {
		return fail(stderr, err)
	}
	runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), read.Processors))
	client := kv.NewHTTPClient(kv.HTTPConfig{
		Address: read.PlatformAddress,
		Timeout: time.Duration(read.PlatformTimeout),
	})
	n, err := node.New(node.Config{Settings: read, Platform: client, Logger: logger})
	if err != nil {
		return fail(stderr, err)
	}
	if err := n.Run(ctx); err != nil {
		return fail(stderr, err)
	}
	return ExitOK
}

// newLogger returns a logger that writes JSON lines with the VM's name.
func newLogger(s settings.Node, out io.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(out)), level)
	return zap.New(core).With(zap.String("vm", s.VM)), nil
}
