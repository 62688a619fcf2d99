// Command demo runs a whole site on this machine for half a minute: the
// platform's stand-in, and the nodes and fake backend servers of three or four
// availability zones as separate processes. It sends mixed traffic over the whole
// call graph, with one workspace over its rate, and meanwhile withdraws a key and
// rolls out a bundle. It stops everything and prints the report.
//
// # Usage
//
//	make demo
//	go run ./demo --site caltanissetta --duration 10s
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

// arguments are the command-line arguments.
type arguments struct {
	Site     string        `arg:"--site" default:"windhoek" help:"windhoek or caltanissetta"`
	Binary   string        `arg:"--binary" default:"bin/auburngap" help:"the program"`
	Deploy   string        `arg:"--deploy" default:"deploy" help:"directory of the sites' settings and bundles"`
	Out      string        `arg:"--out" default:"out" help:"directory for logs and the report"`
	Duration time.Duration `arg:"--duration" default:"30s" help:"how long to send traffic"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "demo runs a whole site on this machine and prints its report."
}

func main() {
	var line arguments
	arg.MustParse(&line)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, line); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, line arguments) error {
	d, err := newDemo(line)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	if err := d.runTraffic(ctx); err != nil {
		return err
	}
	return d.report(ctx)
}
