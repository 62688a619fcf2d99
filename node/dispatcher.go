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
	// keptBodyBytes is the longest body that is kept for repeats; head and
	// encoding take the rest of what an owner keeps.
	keptBodyBytes = 48 << 10
	// maxKeptBytes is the longest answer that owners keep.
	maxKeptBytes = 64 << 10
	// recordPatience is how long an answer waits until its record is confirmed;
	// the record is sent on after that.
	recordPatience = 500 * time.Millisecond
)

// dispatcher hands calls to the backend server of this VM. It runs commitments
// to their end, also where nobody waits for the answer any more, and records
// at the owner of the key's shard how they ended, so that a retry gets the answer.
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
	running, end := context.WithDeadline(context.WithoutCancel(ctx), call.Context.Deadline)
	answer, err := d.next.Serve(running, call)
	if err != nil {
		end()
		refusal := request.AsRefusal(err)
		// The entry node may send what has not run to another server, by the
		// same permission, and records it where it does not.
		if refusal.Outcome != request.NotRun {
			d.record(permission, refusal.Outcome, nil)
		}
		return nil, refusal
	}
	answer, err = d.keep(permission, answer)
	if err != nil {
		end()
		return nil, err
	}
	answer.Body = &onClose{ReadCloser: answer.Body, closed: end}
	return answer, nil
}

// keep records an answer and returns it to be passed on.
func (d *dispatcher) keep(permission commitment.Permission, answer *request.Answer) (*request.Answer, error) {
	kept, err := readKept(answer)
	if err != nil {
		d.record(permission, request.Unknown, nil)
		return nil, errors.Join(request.Refuse(request.CauseBackendFailed, request.Unknown, 0), answer.Body.Close())
	}
	d.record(permission, request.Answered, kept)
	return answer, nil
}

// record reports to the owner of the key's shard how a dispatch ended.
func (d *dispatcher) record(permission commitment.Permission, outcome request.Outcome, kept []byte) {
	recorded := make(chan struct{})
	go func() {
		d.client.Finish(context.Background(), permission, outcome, kept)
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-time.After(recordPatience):
	}
}

// readKept reads the beginning of an answer's body, and returns the answer as
// the owner keeps it: one whose body is longer is made too long to be kept, so
// that a repeat learns that it ran.
func readKept(answer *request.Answer) ([]byte, error) {
	body, err := peekBody(answer, keptBodyBytes+1)
	if err != nil {
		return nil, err
	}
	if len(body) > keptBodyBytes {
		return make([]byte, maxKeptBytes+1), nil
	}
	return proto.Marshal(&peerpb.StoredAnswer{Answer: peer.AnswerToMessage(answer), Body: body})
}
