package app

import (
	"context"
	"io"

	"github.com/alexflint/go-arg"

	"auburngap/kv/fake"
	"auburngap/operator"
)

// commandLine holds all commands with their arguments.
type commandLine struct {
	operator.Commands
	Node         *nodeCommand        `arg:"subcommand:node" help:"run the node beside a backend server"`
	Settings     *settingsCommand    `arg:"subcommand:settings" help:"check a node's settings"`
	TLS          *tlsCommand         `arg:"subcommand:tls" help:"make the keys of nodes"`
	Explain      *explainCommand     `arg:"subcommand:explain" help:"tell the story of a request from the logs of nodes"`
	Load         *loadCommand        `arg:"subcommand:load" help:"send an open-loop load to a node on this machine"`
	PlatformFake *fake.Command       `arg:"subcommand:platform-fake" help:"run a stand-in of the platform's key-value service, for tests"`
	BackendFake  *backendFakeCommand `arg:"subcommand:backend-fake" help:"run a fake backend server, for tests"`
}

// Description implements arg.Described.
func (commandLine) Description() string { return textDescription }

// Epilogue implements arg.Epilogued.
func (commandLine) Epilogue() string { return textEpilogue }

// Version implements arg.Versioned.
func (commandLine) Version() string { return version }

func (c *commandLine) run(ctx context.Context, parser *arg.Parser, stdout, stderr io.Writer) int {
	if handled, err := c.Commands.Run(ctx, operator.Environment{Stdout: stdout}); handled {
		if err != nil {
			printLine(stderr, "auburngap: "+err.Error())
		}
		return operator.ExitCode(err)
	}
	switch {
	case c.Node != nil:
		return c.Node.run(ctx, stderr)
	case c.Settings != nil:
		return c.Settings.run(stdout, stderr)
	case c.TLS != nil:
		return c.TLS.run(stdout, stderr)
	case c.Explain != nil:
		return exitCode(stderr, c.Explain.run(stdout))
	case c.Load != nil:
		return exitCode(stderr, c.Load.run(ctx, stdout))
	case c.PlatformFake != nil:
		return exitCode(stderr, c.PlatformFake.Run(ctx, stdout))
	case c.BackendFake != nil:
		return exitCode(stderr, c.BackendFake.run(ctx))
	}
	parser.WriteHelp(stderr)
	return ExitUsage
}

// exitCode returns the exit code for the error of a command, after printing the error.
func exitCode(stderr io.Writer, err error) int {
	if err != nil {
		return fail(stderr, err)
	}
	return ExitOK
}
