// Package operator holds the operators' commands: bundles, keys, status and
// reports. Each command is a struct of arguments for go-arg and runs against
// the platform's key-value service and the nodes' control addresses.
//
// # Usage
//
//	var commands operator.Commands // embedded in the program's command line
//	handled, err := commands.Run(ctx, operator.Environment{Stdout: os.Stdout})
//	os.Exit(operator.ExitCode(err))
package operator

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"auburngap/bundle"
	"auburngap/kv"
)

// The exit codes of the commands.
const (
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitFaults means that the command line or a file that it names is invalid.
	ExitFaults = 2
	// ExitConflict means that another operator's change was made first.
	ExitConflict = 3
	// ExitUnavailable means that the platform did not answer. The change may have
	// taken effect; running the command again shows whether it has.
	ExitUnavailable = 4
)

var (
	errs = errorx.NewNamespace("operator")
	// ErrUsage means that arguments or a file that they name are invalid.
	ErrUsage = errs.NewType("usage")
	// ErrFailed means that the command failed.
	ErrFailed = errs.NewType("failed")
)

// ExitCode returns the process's exit code for the error of a command.
func ExitCode(err error) int {
	var faults *bundle.FaultsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults), errorx.IsOfType(err, ErrUsage):
		return ExitFaults
	case errorx.IsOfType(err, bundle.ErrConflict):
		return ExitConflict
	case errorx.IsOfType(err, kv.ErrUnavailable):
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

// Environment holds the external dependencies of the commands. Empty fields other
// than Stdout take their defaults from the system.
type Environment struct {
	Stdout io.Writer
	// Client returns a client of the platform's service.
	Client func(netip.AddrPort) kv.Client
	// Fetch returns the body of a GET on a node's control address.
	Fetch func(ctx context.Context, node netip.AddrPort, path string) ([]byte, error)
	Now   func() time.Time
	// NewID generates the IDs of proposals.
	NewID func() (uuid.UUID, error)
	// Random is the source of random bytes for keys.
	Random io.Reader
}

func (e Environment) withDefaults() Environment {
	if e.Client == nil {
		e.Client = func(address netip.AddrPort) kv.Client {
			return kv.NewHTTPClient(kv.HTTPConfig{Address: address})
		}
	}
	if e.Fetch == nil {
		e.Fetch = Fetch
	}
	if e.Now == nil {
		e.Now = time.Now
	}
	if e.NewID == nil {
		e.NewID = uuid.NewV7
	}
	if e.Random == nil {
		e.Random = rand.Reader
	}
	return e
}

// Commands holds all operators' commands, to be embedded in a command line.
type Commands struct {
	Bundle  *BundleCommand  `arg:"subcommand:bundle" help:"check, propose, sign and roll out bundles"`
	Key     *KeyCommand     `arg:"subcommand:key" help:"issue and withdraw callers' keys"`
	KeyPair *KeyPairCommand `arg:"subcommand:key-pair" help:"make an operator's key pair for sign-offs"`
	Status  *StatusCommand  `arg:"subcommand:status" help:"show the version in force at each VM and availability zone"`
	Report  *ReportCommand  `arg:"subcommand:report" help:"show the service-level burn of services, workspaces and priorities"`
}

// command is one command with its arguments.
type command interface {
	Run(ctx context.Context, env Environment) error
}

// selected returns the command given on the command line, or nil.
func (c *Commands) selected() command {
	switch {
	case c.Bundle != nil:
		return c.Bundle.selected()
	case c.Key != nil:
		return c.Key.selected()
	case c.KeyPair != nil:
		return c.KeyPair
	case c.Status != nil:
		return c.Status
	case c.Report != nil:
		return c.Report
	default:
		return nil
	}
}

// Run runs the command given on the command line. It returns false if none of these
// commands was given.
func (c *Commands) Run(ctx context.Context, env Environment) (bool, error) {
	selected := c.selected()
	if selected == nil {
		return false, nil
	}
	return true, selected.Run(ctx, env.withDefaults())
}

// missingCommand stands for the command of a group if none was given. It fails with
// ErrUsage.
type missingCommand struct {
	group string
}

// Run implements command.
func (m missingCommand) Run(context.Context, Environment) error {
	return ErrUsage.New(textNoCommand, m.group, m.group)
}
