package node

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"

	"google.golang.org/protobuf/proto"

	"auburngap/commitment"
	"auburngap/peer"
	"auburngap/peer/peerpb"
	"auburngap/request"
)

const (
	// keptBodyBytes is the longest body that is kept for repeats; head and
	// encoding take the rest of what an owner keeps.
	keptBodyBytes = 48 << 10
	// replayedHeader marks the answer of an earlier run.
	replayedHeader = "Idempotency-Replayed"
)

// commitments sees that a request which may not be repeated runs at most once.
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

// run dispatches a commitment once and records how it ended.
func (c *commitments) run(ctx context.Context, call *request.Call, permission commitment.Permission) (*request.Answer, error) {
	call.Permission = permission.ToProto()
	answer, err := c.next.Serve(ctx, call)
	if err != nil {
		refusal := request.AsRefusal(err)
		c.client.Finish(ctx, permission, refusal.Outcome, nil)
		return nil, refusal
	}
	body, whole, err := readKept(answer.Body)
	if err != nil {
		c.client.Finish(ctx, permission, request.Unknown, nil)
		return nil, errors.Join(request.Refuse(request.CauseBackendFailed, request.Unknown, 0), answer.Body.Close())
	}
	kept, err := encodeAnswer(answer, body, whole)
	if err != nil {
		return nil, errors.Join(request.Refuse(request.CauseBackendFailed, request.Unknown, 0), answer.Body.Close())
	}
	c.client.Finish(ctx, permission, request.Answered, kept)
	answer.Body = &prefixed{Reader: io.MultiReader(bytes.NewReader(body), answer.Body), closer: answer.Body}
	return answer, nil
}

// readKept reads what is kept of a body, and tells whether that is all of it.
func readKept(body io.Reader) ([]byte, bool, error) {
	data, err := io.ReadAll(io.LimitReader(body, keptBodyBytes+1))
	return data, len(data) <= keptBodyBytes, err
}

// encodeAnswer returns an answer as the owner keeps it: one that is not whole
// is made too long to be kept, so that a repeat learns that it ran.
func encodeAnswer(answer *request.Answer, body []byte, whole bool) ([]byte, error) {
	if !whole {
		return make([]byte, maxKeptBytes+1), nil
	}
	return proto.Marshal(&peerpb.StoredAnswer{Answer: peer.AnswerToMessage(answer), Body: body})
}

// maxKeptBytes is the longest answer that owners keep.
const maxKeptBytes = 64 << 10

// prefixed is a body whose beginning has been read already.
type prefixed struct {
	io.Reader
	closer io.Closer
}

// Close implements io.Closer.
func (p *prefixed) Close() error { return p.closer.Close() }

// replay answers with what the first run was answered.
func replay(ruling commitment.Ruling) (*request.Answer, error) {
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
