package request

import (
	"context"
	"io"
	"time"

	"auburngap/peer/peerpb"
)

// Header is one HTTP header or trailer line.
type Header struct {
	Name  []byte
	Value []byte
}

// Call is one call to a service, made on behalf of a customer request.
type Call struct {
	Context Context
	Service string
	Method  string
	// Host is the Host header that the caller sent; empty if it is not forwarded.
	Host string
	// AttemptID is the caller's own ID of this attempt, which the backend server
	// returns in its answer; empty if callers send none.
	AttemptID string
	// Objective is the latency within which an answer is fully useful to the
	// caller; zero if it is not known. It is not sent between nodes.
	Objective time.Duration
	// CallerDeadline is the deadline that the caller set; zero if it set none.
	CallerDeadline time.Time
	// Caller is the service on whose VM the request began; empty if it is not
	// known.
	Caller string
	// URI is the path with its query.
	URI     []byte
	Headers []Header
	// Body is nil if there is none.
	Body io.Reader
	// BodySize is in bytes, or -1 if it is not known in advance.
	BodySize int64
	// Trailers returns the trailers once Body has ended; it may be nil.
	Trailers func() []Header
	// Replay returns Body again, from its start; nil if the body can be read only
	// once.
	Replay func() io.Reader
	// Commitment calls run at most once.
	Commitment bool
	// Idempotent calls may be sent again after an unknown outcome.
	Idempotent bool
	// IdempotencyKey is set for commitments.
	IdempotencyKey []byte
	// Permission allows a commitment to run once. It is in the encoding used
	// between nodes.
	Permission *peerpb.Permission
}

// Answer is a backend server's answer to a Call. The receiver must close Body.
type Answer struct {
	Status  int
	Headers []Header
	Body    io.ReadCloser
	// BodySize is in bytes, or -1 if it is not known in advance.
	BodySize int64
	// Trailers returns the trailers once Body has ended; it may be nil.
	Trailers func() []Header
	// Report returns the report that came with the answer, once Body has ended; it
	// may be nil.
	Report func() Report
}

// Report is what the answering node sends back together with an answer or a
// refusal.
type Report struct {
	// UnspentRetries is the part of the call's retry budget that was not spent.
	UnspentRetries int
	// DownstreamCalls is the number of downstream calls that were made on behalf of the
	// call.
	DownstreamCalls int
	// DownstreamTime is how long the backend server waited for its downstream calls. It
	// is not sent between nodes.
	DownstreamTime time.Duration
	// Loads describes the overload of the services that the call reached.
	Loads []ServiceLoad
}

// ServiceLoad is what a node knows about the overload of one service.
type ServiceLoad struct {
	Service string
	// AdmitLevel is the admission level up to which requests are admitted.
	AdmitLevel uint16
	// InFlight counts the calls that run or wait at the answering node's backend server.
	InFlight Occupancy
	// Limit is the number of calls that the backend server may run at once.
	Limit int
	// Draining is true if the answering backend server accepts no new work.
	Draining bool
}

// Handler handles calls: the router, which sends them to other nodes, or the
// client of this VM's backend server.
type Handler interface {
	// Serve returns the answer, or a *Refusal as its error. Cancelling the context
	// cancels the call along the whole chain of calls. The context must stay live
	// until the answer's body is closed.
	Serve(ctx context.Context, call *Call) (*Answer, error)
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(ctx context.Context, call *Call) (*Answer, error)

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, call *Call) (*Answer, error) {
	return f(ctx, call)
}
