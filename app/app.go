// Package app is the command line: it parses arguments and hands over to the
// command that was named.
//
// # Usage
//
//	os.Exit(app.Run(os.Args[1:], os.Stdout, os.Stderr))
package app

import (
	"fmt"
	"io"
)

// Run executes one command line and returns the process's exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if _, err := fmt.Fprintln(stderr, "auburngap: no command yet", args); err != nil {
		return 1
	}
	_ = stdout
	return 2
}
