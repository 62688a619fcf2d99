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
	// Replay returns the answer of the earlier run.
	Replay
	// InProgress means that a dispatch has not ended yet.
	InProgress
	// Conflict means that the key was used for another request.
	Conflict
	// BadKey means that the key is not a UUIDv7 or was created too far in the
	// future.
	BadKey
	// Unavailable means that nothing was decided. A retry with the same key may
	// get a decision.
	Unavailable
	// NotRun means that the key has not run, and may not run at the moment.
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
	// ID identifies the customer request. A Begin that is sent again with the same
	// ID gets the same permission again.
	ID        request.ID
	Workspace string
	// Fingerprint is a hash of route, method, path and body.
	Fingerprint string
}

// Permission allows the backend server's node to dispatch a request once.
type Permission struct {
	ShardID ShardID
	Epoch   uint64
	Key     Key
	// Attempt numbers the permissions of a key. All attempts except the last one
	// are known not to have run.
	Attempt uint32
	// Expires is a time of the owner's wall clock.
	Expires time.Time
}

// Decision is a verdict and the data that belongs to it.
type Decision struct {
	Verdict    Verdict
	Permission Permission
	// Answer is set with Replay. If the answer was too long to be stored, it is
	// nil and AnswerDropped is true.
	Answer        []byte
	AnswerDropped bool
	RetryAfter    time.Duration
	// Journaled is true if the record is in the journal and so outlives its owner.
	Journaled bool
}

// unavailable returns the decision for a request about which nothing can be decided.
func unavailable() Decision {
	return Decision{Verdict: Unavailable, RetryAfter: defaultRetryAfter}
}

// Refusal returns the error of a request that neither runs nor gets a replayed
// answer. It never reports "not run" for a key that may have run.
func (r Decision) Refusal() *request.Refusal {
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
