package commitment

import (
	"time"

	"auburngap/request"
)

// Verdict is what a ledger decides about a request.
type Verdict uint8

// The verdicts. Their numbers are those of peerpb.CommitmentVerdict.
const (
	// Unknown means that the commitment may or may not have run.
	Unknown Verdict = iota
	// Run permits one dispatch.
	Run
	// Replay passes on the answer of the run that there was.
	Replay
	// InProgress means that a dispatch has not ended yet.
	InProgress
	// Conflict means that the key was used for another request.
	Conflict
	// BadKey means that the key is no UUIDv7 or was minted in the future.
	BadKey
	// Unavailable means that nothing was decided; a repeat with the same key
	// may find out.
	Unavailable
	// NotRun means that the key has not run, and may not just now.
	NotRun
)

var verdictNames = [...]string{
	Unknown: "unknown", Run: "run", Replay: "replay", InProgress: "inProgress",
	Conflict: "conflict", BadKey: "badKey", Unavailable: "unavailable", NotRun: "notRun",
}

// String returns the word used in logs.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Request is one request that carries an idempotency key.
type Request struct {
	Key Key
	// ID is the request's own: a Begin that is repeated with it gets the same
	// permission again.
	ID        request.ID
	Workspace string
	// Fingerprint is a hash of route, method, path and body.
	Fingerprint string
}

// Permission allows the node beside a backend server to dispatch once.
type Permission struct {
	Home  Home
	Epoch uint64
	Key   Key
	// Attempt numbers the permissions of a key; each but the last has ended as
	// not run.
	Attempt uint32
	// Expires is by the owner's wall clock.
	Expires time.Time
}

// Ruling is a verdict with what goes with it.
type Ruling struct {
	Verdict    Verdict
	Permission Permission
	// Answer goes with Replay; it is nil and AnswerDropped true where it was
	// too long to be kept.
	Answer        []byte
	AnswerDropped bool
	RetryAfter    time.Duration
	// Journaled tells that the record outlives its owner.
	Journaled bool
}

// unavailable is the ruling where nothing can be decided.
func unavailable() Ruling {
	return Ruling{Verdict: Unavailable, RetryAfter: progressRetry}
}

// Refusal returns the error with which a request ends that neither runs nor is
// answered by a replay. It never says "not run" of a key that may have run.
func (r Ruling) Refusal() *request.Refusal {
	switch r.Verdict {
	case BadKey:
		return request.Refuse(request.CauseIdempotencyKey, request.NotRun, 0)
	case Conflict:
		return request.Refuse(request.CauseIdempotencyKey, request.Unknown, 0)
	case InProgress:
		return request.Refuse(request.CauseInProgress, request.Unknown, r.RetryAfter)
	case Unavailable:
		return request.Refuse(request.CauseShardUnavailable, request.Unknown, r.RetryAfter)
	case NotRun:
		return request.Refuse(request.CauseShardUnavailable, request.NotRun, r.RetryAfter)
	case Replay:
		return request.Refuse(request.CauseOutcomeUnknown, request.Answered, 0)
	default:
		return request.Refuse(request.CauseOutcomeUnknown, request.Unknown, 0)
	}
}
