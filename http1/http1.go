// Package http1 reads the responses of HTTP/1.1 servers and accepts only what RFC 9112
// allows. The library that parses them is lenient: it takes some responses of a server in
// trouble for sound ones. What this package refuses must have no consequence, whatever it
// says, and its connection must be closed.
//
// # Usage
//
//	var header fasthttp.ResponseHeader
//	if err := http1.ReadHead(reader, &header); err != nil {
//		return err // http1.ErrBroken, or the connection's own error
//	}
package http1

import (
	"errors"
	"io"
	"syscall"

	"github.com/joomcode/errorx"
)

var (
	errs = errorx.NewNamespace("http1")
	// ErrBroken means that a response is not as HTTP requires, or not whole. Its message
	// names the reason and is short whatever the server sent.
	ErrBroken = errs.NewType("broken")
)

// IsBroken reports whether an error is an ErrBroken.
func IsBroken(err error) bool { return errorx.IsOfType(err, ErrBroken) }

// isCut reports whether an error of a read means that the server ended the connection.
func isCut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
