package node

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"

	"google.golang.org/protobuf/proto"

	"auburngap/commitment"
	"auburngap/peer"
	"auburngap/peer/peerpb"
	"auburngap/request"
)

// replayedHeader marks the answer of an earlier run.
const replayedHeader = "Idempotency-Replayed"

// commitments asks the owner of a commitment's key before it passes on the request.
type commitments struct {
	client *commitment.Client
	next   request.Handler
}

// Serve implements request.Handler.
func (c *commitments) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	if !call.Commitment {
		return c.next.Serve(ctx, call)
	}
	keyed, refusal := newCommitment(call)
	if refusal != nil {
		return nil, refusal
	}
	decision := c.client.Begin(ctx, keyed)
	switch decision.Verdict {
	case commitment.Run:
		return c.run(ctx, call, decision.Permission)
	case commitment.Replay:
		return replay(decision)
	}
	return nil, decision.Refusal()
}

// newCommitment reads the idempotency key and the content of a request.
func newCommitment(call *request.Call) (commitment.Request, *request.Refusal) {
	key, err := commitment.ParseKey(string(call.IdempotencyKey))
	if err != nil {
		return commitment.Request{}, request.RefuseUnsent(call, request.CauseIdempotencyKey, 0)
	}
	fingerprint, refusal := fingerprintOf(call)
	if refusal != nil {
		return commitment.Request{}, refusal
	}
	return commitment.Request{
		Key:         key,
		ID:          call.Context.ID,
		Workspace:   call.Context.Workspace,
		Fingerprint: fingerprint,
	}, nil
}

// fingerprintOf hashes the parts by which two requests count as the same. Requests
// whose body is too long to be read beforehand are refused.
func fingerprintOf(call *request.Call) (string, *request.Refusal) {
	if call.Replay == nil {
		return "", request.RefuseUnsent(call, request.CauseTooLarge, 0)
	}
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(call.Context.Route), []byte(call.Method), call.URI} {
		hash.Write(part)
		hash.Write([]byte{0})
	}
	if body := call.Replay(); body != nil {
		if _, err := io.Copy(hash, body); err != nil {
			return "", request.RefuseUnsent(call, request.CauseBadRequest, 0)
		}
	}
	return string(hash.Sum(nil)), nil
}

// run sends a commitment to its one dispatch. The node beside the backend server records
// the outcome, even if this node or the caller is gone meanwhile. A commitment that never
// got there is recorded here.
func (c *commitments) run(ctx context.Context, call *request.Call, permission commitment.Permission) (*request.Answer, error) {
	call.Permission = permission.ToProto()
	answer, err := c.next.Serve(ctx, call)
	if err == nil {
		return answer, nil
	}
	refusal := request.AsRefusal(err)
	if refusal.Outcome == request.NotRun {
		c.client.Finish(ctx, permission, request.NotRun, nil)
	} else {
		c.client.FinishUnknownAt(permission, call.Context.Deadline)
	}
	return nil, refusal
}

// replay returns the answer of the first run.
func replay(decision commitment.Decision) (*request.Answer, error) {
	if decision.AnswerDropped {
		return nil, request.Refuse(request.CauseOutcomeUnknown, request.Answered, 0)
	}
	var stored peerpb.StoredAnswer
	if err := proto.Unmarshal(decision.Answer, &stored); err != nil {
		return nil, request.Refuse(request.CauseOutcomeUnknown, request.Answered, 0)
	}
	answer := peer.AnswerFromMessage(stored.GetAnswer())
	answer.Headers = append(answer.Headers, request.Header{Name: []byte(replayedHeader), Value: []byte("true")})
	answer.Body = io.NopCloser(bytes.NewReader(stored.GetBody()))
	answer.BodySize = int64(len(stored.GetBody()))
	answer.Report = func() request.Report { return request.Report{} }
	return answer, nil
}
