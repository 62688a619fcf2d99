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

// commitments asks the owner of a commitment's key before the request goes on.
type commitments struct {
	client *commitment.Client
	next   request.Handler
}

// Serve implements request.Handler.
func (c *commitments) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	if !call.Commitment {
		return c.next.Serve(ctx, call)
	}
	asked, refusal := newCommitment(call)
	if refusal != nil {
		return nil, refusal
	}
	ruling := c.client.Begin(ctx, asked)
	switch ruling.Verdict {
	case commitment.Run:
		return c.run(ctx, call, ruling.Permission)
	case commitment.Replay:
		return replay(ruling)
	}
	return nil, ruling.Refusal()
}

// newCommitment reads key and content of a request.
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

// fingerprintOf hashes what makes two requests the same. Bodies that are too
// long to be read beforehand are refused.
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

// run sends a commitment to its one dispatch. How that ended is recorded by the
// node beside the backend server, also where this node or the caller is gone by
// then; what never got there is recorded here.
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

// replay answers with what the first run was answered.
func replay(ruling commitment.Decision) (*request.Answer, error) {
	if ruling.AnswerDropped {
		return nil, request.Refuse(request.CauseOutcomeUnknown, request.Answered, 0)
	}
	var stored peerpb.StoredAnswer
	if err := proto.Unmarshal(ruling.Answer, &stored); err != nil {
		return nil, request.Refuse(request.CauseOutcomeUnknown, request.Answered, 0)
	}
	answer := peer.AnswerFromMessage(stored.GetAnswer())
	answer.Headers = append(answer.Headers, request.Header{Name: []byte(replayedHeader), Value: []byte("true")})
	answer.Body = io.NopCloser(bytes.NewReader(stored.GetBody()))
	answer.BodySize = int64(len(stored.GetBody()))
	answer.Report = func() request.Report { return request.Report{} }
	return answer, nil
}
