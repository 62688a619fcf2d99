package request

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome is what is known about the execution of a request by the backend
// servers.
type Outcome uint8

// The outcomes of a request. Unknown is the zero value, so that an outcome that
// was not set never claims more than is known.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that no backend server received any byte of the request, or
	// that the one that did reported that it did not run the request.
	NotRun
	// Answered means that the backend server's own answer is returned.
	Answered
)

var outcomeNames = [...]string{Unknown: "unknown", NotRun: "notRun", Answered: "answered"}

// String returns the word used in headers and logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Cause is the reason for a refusal.
type Cause uint8

// The causes of a refusal.
const (
	CauseNone Cause = iota
	CauseBadRequest
	CauseNoKey
	CauseUnknownKey
	CauseWorkspaceNotAllowed
	CauseNoRoute
	CauseRate
	CauseOverload
	CauseDeadline
	CauseNoBackend
	CauseBackendFailed
	CauseBadToken
	CauseCallNotAllowed
	CauseTooDeep
	CauseTooLarge
	CauseIdempotencyKey
	CauseInProgress
	CauseOutcomeUnknown
	CauseStaleBundle
	CauseDraining
	CauseCancelled
	CauseShardUnavailable
	CauseStarting
	// Causes is the number of causes.
	Causes
)

type causeInfo struct {
	name   string
	status int
}

// causes maps each cause to its word in headers and its HTTP status.
var causes = [Causes]causeInfo{
	CauseNone:                {"none", http.StatusOK},
	CauseBadRequest:          {"badRequest", http.StatusBadRequest},
	CauseNoKey:               {"noKey", http.StatusUnauthorized},
	CauseUnknownKey:          {"unknownKey", http.StatusUnauthorized},
	CauseWorkspaceNotAllowed: {"workspaceNotAllowed", http.StatusForbidden},
	CauseNoRoute:             {"noRoute", http.StatusNotFound},
	CauseRate:                {"rate", http.StatusTooManyRequests},
	CauseOverload:            {"overload", http.StatusServiceUnavailable},
	CauseDeadline:            {"deadline", http.StatusGatewayTimeout},
	CauseNoBackend:           {"noBackend", http.StatusServiceUnavailable},
	CauseBackendFailed:       {"backendFailed", http.StatusBadGateway},
	CauseBadToken:            {"badToken", http.StatusUnauthorized},
	CauseCallNotAllowed:      {"callNotAllowed", http.StatusForbidden},
	CauseTooDeep:             {"tooDeep", http.StatusLoopDetected},
	CauseTooLarge:            {"tooLarge", http.StatusRequestEntityTooLarge},
	CauseIdempotencyKey:      {"idempotencyKey", http.StatusBadRequest},
	CauseInProgress:          {"inProgress", http.StatusConflict},
	CauseOutcomeUnknown:      {"outcomeUnknown", http.StatusConflict},
	CauseStaleBundle:         {"staleBundle", http.StatusServiceUnavailable},
	CauseDraining:            {"draining", http.StatusServiceUnavailable},
	CauseCancelled:           {"cancelled", 499},
	CauseShardUnavailable:    {"shardUnavailable", http.StatusServiceUnavailable},
	CauseStarting:            {"starting", http.StatusServiceUnavailable},
}

// String returns the word used in headers, logs and metrics.
func (c Cause) String() string {
	if c >= Causes {
		return "none"
	}
	return causes[c].name
}

// Status returns the HTTP status of a refusal with this cause.
func (c Cause) Status() int {
	if c >= Causes {
		return http.StatusInternalServerError
	}
	return causes[c].status
}

// Refusal is the error of a request that gets no answer from a backend server.
type Refusal struct {
	Cause   Cause
	Outcome Outcome
	// RetryAfter is zero if a retry cannot help.
	RetryAfter time.Duration
	// ByBackend is true if the backend server itself refused the call, not a node
	// in front of it.
	ByBackend bool
	// Report is the report that came with the refusal.
	Report Report
	// Rate is what was known of the workspace's tokens if Cause is CauseRate; it may be nil.
	Rate *RateDecision
}

// RateDecision is what was known when a request was refused for its workspace's rate.
type RateDecision struct {
	// Rate is the workspace's rate in requests a second, and Burst its burst in requests,
	// over all nodes.
	Rate, Burst float64
	// Tokens are those that the node held.
	Tokens float64
	// Portion is the fraction of the rate that the node owned, since PortionAge.
	Portion    float64
	PortionAge time.Duration
	// DecidedBy is which nodes had no token: "collector", "owners" or "thisNode".
	DecidedBy string
}

// Refuse returns a refusal as an error.
func Refuse(cause Cause, outcome Outcome, retryAfter time.Duration) *Refusal {
	return &Refusal{Cause: cause, Outcome: outcome, RetryAfter: retryAfter}
}

// RefuseUnsent returns the refusal of a call that has not left this node. Its
// whole retry budget is unspent.
func RefuseUnsent(call *Call, cause Cause, retryAfter time.Duration) *Refusal {
	refusal := Refuse(cause, NotRun, retryAfter)
	refusal.Report.UnspentRetries = call.Context.RetryBudget
	return refusal
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request refused: %s, %s", r.Cause, r.Outcome)
}

// AsRefusal returns the refusal that an error wraps. Any other error becomes a
// refusal with an unknown outcome, whose cause is the cancellation or the deadline
// of the context, or else a failed backend server.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(err, context.Canceled) {
		return Refuse(CauseCancelled, Unknown, 0)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Refuse(CauseDeadline, Unknown, 0)
	}
	return Refuse(CauseBackendFailed, Unknown, 0)
}
