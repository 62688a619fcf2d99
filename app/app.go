// Package app is the command line: it parses the arguments and runs the command.
//
// # Usage
//
//	os.Exit(app.Run(os.Args[1:], os.Stdout, os.Stderr))
package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"auburngap/experiment"
	"auburngap/operator"
)

// The exit codes of every command.
const (
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line or a file that it names is invalid.
	ExitUsage = 2
)

// experimentName is the name of the command that measures decisions under overload.
const experimentName = "experiment"

// Run executes one command line and returns the process's exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	// The experiment parses its own command line.
	if len(args) > 0 && args[0] == experimentName {
		return experiment.Run(args[1:], stdout, stderr)
	}
	var line commandLine
	parser, err := arg.NewParser(arg.Config{Program: "auburngap", Out: stderr}, &line)
	if err != nil {
		return fail(stderr, err)
	}
	if code, done := parse(parser, args, stdout, stderr); done {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return line.run(ctx, parser, stdout, stderr)
}

// parse parses the arguments. It returns an exit code and true if there is no command
// to run.
func parse(parser *arg.Parser, args []string, stdout, stderr io.Writer) (int, bool) {
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		if err := parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...); err != nil {
			return fail(stderr, err), true
		}
		if names := parser.SubcommandNames(); len(names) > 0 {
			printLine(stdout, "\n"+operator.Examples(names[0]))
		}
		return ExitOK, true
	case errors.Is(err, arg.ErrVersion):
		printLine(stdout, version)
		return ExitOK, true
	case err != nil:
		printLine(stderr, "auburngap: "+err.Error())
		printLine(stderr, textTryHelp)
		return ExitUsage, true
	}
	return ExitOK, false
}

func fail(stderr io.Writer, err error) int {
	printLine(stderr, "auburngap: "+err.Error())
	return ExitFailed
}

// printLine prints a line for a person. Its error is ignored, as there is no other
// place to report it.
func printLine(out io.Writer, line string) {
	_, _ = fmt.Fprintln(out, line)
}
