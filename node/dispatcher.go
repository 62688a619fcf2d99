package node

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"auburngap/commitment"
	"auburngap/peer"
	"auburngap/peer/peerpb"
	"auburngap/request"
)

const (
	// maxStoredBodyBytes is the longest body that is stored for retries. Head and
	// encoding take the rest of maxStoredBytes.
	maxStoredBodyBytes = 48 << 10
	// maxStoredBytes is the longest answer that owners store.
	maxStoredBytes = 64 << 10
	// recordTimeout is how long an answer waits for the confirmation of its record.
	// Sending the record continues after that.
	recordTimeout = 500 * time.Millisecond
)

// dispatcher passes calls to the backend server of this VM. It runs commitments
// to completion, even if no caller waits for the answer any more, and records
// their outcome at the key's owner, so that a retry gets the answer.
type dispatcher struct {
	client *commitment.Client
	next   request.Handler
}

// Serve implements request.Handler.
func (d *dispatcher) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	if !call.Commitment {
		return d.next.Serve(ctx, call)
	}
	permission, err := commitment.PermissionFromProto(call.Permission)
	if err != nil {
		return nil, request.RefuseUnsent(call, request.CauseIdempotencyKey, 0)
	}
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Context.Deadline)
	answer, err := d.next.Serve(runCtx, call)
	if err != nil {
		cancel()
		refusal := request.AsRefusal(err)
		// The entry node may send a call that has not run to another server with the
		// same permission. If it does not, it records the outcome.
		if refusal.Outcome != request.NotRun {
			d.record(permission, refusal.Outcome, nil)
		}
		return nil, refusal
	}
	answer, err = d.recordAnswer(permission, answer)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &observedBody{ReadCloser: answer.Body, onClose: cancel}
	return answer, nil
}

// recordAnswer records an answer and returns it for the caller.
func (d *dispatcher) recordAnswer(permission commitment.Permission, answer *request.Answer) (*request.Answer, error) {
	stored, err := encodeStored(answer)
	if err != nil {
		d.record(permission, request.Unknown, nil)
		return nil, errors.Join(request.Refuse(request.CauseBackendFailed, request.Unknown, 0), answer.Body.Close())
	}
	d.record(permission, request.Answered, stored)
	return answer, nil
}

// record sends the outcome of a dispatch to the key's owner.
func (d *dispatcher) record(permission commitment.Permission, outcome request.Outcome, stored []byte) {
	recorded := make(chan struct{})
	go func() {
		d.client.Finish(context.Background(), permission, outcome, stored)
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-time.After(recordTimeout):
	}
}

// encodeStored reads the beginning of an answer's body and returns the answer in the
// form that the owner stores. If the body is too long, the result is longer than an
// owner stores, so that a retry learns that the call ran.
func encodeStored(answer *request.Answer) ([]byte, error) {
	body, err := peekBody(answer, maxStoredBodyBytes+1)
	if err != nil {
		return nil, err
	}
	if len(body) > maxStoredBodyBytes {
		return make([]byte, maxStoredBytes+1), nil
	}
	return proto.Marshal(&peerpb.StoredAnswer{Answer: peer.AnswerToMessage(answer), Body: body})
}
