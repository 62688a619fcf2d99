// Package request defines what all packages share about one customer request: its
// identity, the context that is sent between nodes, the outcome of a call, and the
// cause of a refusal.
//
// # Usage
//
//	ctx := request.Context{ID: id, Workspace: "school", Priority: 1}
//	child := ctx.Child(2)
//	err := request.Refuse(request.CauseOverload, request.NotRun, time.Second)
//
// The context is exchanged between nodes only: a backend server sees an opaque
// token, which the node of its VM maps back to the context.
package request

import (
	"time"

	"github.com/google/uuid"
)

// MaxDepth is the maximum depth of the chain of calls that one customer request
// may make.
const MaxDepth = 16

// ID identifies one customer request across all of its hops. It is a UUIDv7.
type ID = uuid.UUID

// NewID returns a new request ID, or the error of the system's random source.
func NewID() (ID, error) {
	return uuid.NewV7()
}

// Priority orders requests under overload: 0 is shed last.
type Priority uint8

// Priorities is the number of priorities; a valid Priority is below it.
const Priorities Priority = 8

// Context is what nodes know about a customer request and send to each other.
type Context struct {
	// ID is the same at every hop.
	ID ID
	// Workspace is the workspace whose key came with the request; empty on open
	// routes.
	Workspace string
	// Route is the name of the bundle's route that admitted the request.
	Route string
	// Priority is set by the entry node.
	Priority Priority
	// Deadline applies to the whole chain of calls.
	Deadline time.Time
	// RetryBudget is the number of further attempts this part of the chain may make.
	RetryBudget int
	// Depth is 0 at the entry node and grows by one with each hop.
	Depth int
	// BundleVersion is the version of the bundle that the entry node used for the
	// request.
	BundleVersion uint64
	// Repeated is true if this call, or an upstream call that it is made for, was
	// sent before.
	Repeated bool
}

// Child returns the context of a call made on behalf of c, with the given
// share of c's retry budget.
func (c Context) Child(retryBudget int) Context {
	child := c
	child.Depth = c.Depth + 1
	child.RetryBudget = retryBudget
	return child
}
