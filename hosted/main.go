// Command hosted runs the node on the users' platform, next to each backend server.
// It is a separate program, because the operators' commands would load libraries that
// a node doesn't need into memory.
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

// defaultGCPercent is the garbage collector's target percentage if GOGC is not set:
// how far the heap may grow beyond the live heap before a collection.
const defaultGCPercent = 50

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
		debug.SetGCPercent(defaultGCPercent)
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
