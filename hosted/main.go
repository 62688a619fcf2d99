// Command hosted runs the node on the users' platform, beside each backend
// server. It is a program of its own, as the operators' commands bring
// libraries into memory that a node does not need.
//
// # Usage
//
//	AUBURNGAP_NODE_FILE=/etc/auburngap/local.conf hosted
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"auburngap/logs"
	"auburngap/platform"
)

// heapGrowth is how far the heap may grow beyond what lives, in percent, before it
// is collected, where the environment does not say.
const heapGrowth = 50

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	if _, set := os.LookupEnv("GOGC"); !set {
		debug.SetGCPercent(heapGrowth)
	}
	settings, err := platform.ReadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "auburngap: "+err.Error())
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	writer := logs.NewWriter(os.Stdout)
	defer writer.Close()
	loggers := logs.New(writer, zap.String("vm", settings.VM))
	if err := platform.Run(ctx, settings, changed, loggers); err != nil {
		fmt.Fprintln(os.Stderr, "auburngap: "+err.Error())
		return exitFailed
	}
	return 0
}
