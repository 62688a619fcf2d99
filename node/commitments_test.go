package node

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/commitment"
	"auburngap/peer/peerpb"
	"auburngap/request"
)

// fakeOwner is the owner of every key.
type fakeOwner struct {
	verdict  commitment.Verdict
	answer   []byte
	finished []request.Outcome
	err      error
}

func (h *fakeOwner) Begin(_ context.Context, begin *peerpb.Begin) (*peerpb.BeginAnswer, error) {
	if h.err != nil || !begin.GetLook() {
		return nil, errNoOwner.New("test")
	}
	return &peerpb.BeginAnswer{Verdict: peerpb.CommitmentVerdict(h.verdict), Answer: h.answer}, nil
}

func (h *fakeOwner) Finish(_ context.Context, finish *peerpb.Finish) (*peerpb.FinishAnswer, error) {
	h.finished = append(h.finished, request.Outcome(finish.GetOutcome()))
	h.answer = finish.GetAnswer()
	return &peerpb.FinishAnswer{Recorded: true}, nil
}

func clientOf(owner *fakeOwner) *commitment.Client {
	client := commitment.NewClient(commitment.ClientConfig{Peers: owner})
	client.Apply(bundle.NewIndex(&bundle.Bundle{Version: 1, Zones: []bundle.Zone{{Name: "palermo", Shards: 1}}}))
	return client
}

// handlerFunc is a request.Handler.
type handlerFunc func(ctx context.Context, call *request.Call) (*request.Answer, error)

func (f handlerFunc) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	return f(ctx, call)
}

func answeringWith(body string) handlerFunc {
	return func(ctx context.Context, _ *request.Call) (*request.Answer, error) {
		if ctx.Err() != nil {
			return nil, request.AsRefusal(ctx.Err())
		}
		return &request.Answer{
			Status: 200, Body: io.NopCloser(strings.NewReader(body)), BodySize: int64(len(body)),
			Report: func() request.Report { return request.Report{} },
		}, nil
	}
}

func refusing(cause request.Cause, outcome request.Outcome) handlerFunc {
	return func(context.Context, *request.Call) (*request.Answer, error) {
		return nil, request.Refuse(cause, outcome, 0)
	}
}

const paymentKey = "018f3e00-0000-7000-8000-000000000001"

func payment(t *testing.T) *request.Call {
	key, err := commitment.ParseKey(paymentKey)
	assert.NilError(t, err)
	permission := commitment.Permission{ShardID: commitment.ShardID{Zone: "palermo"}, Epoch: 1, Key: key, Attempt: 1}
	return &request.Call{
		Context:        request.Context{Workspace: "school", Route: "pay", Deadline: time.Now().Add(time.Minute)},
		Method:         "POST",
		Commitment:     true,
		IdempotencyKey: []byte(paymentKey),
		Permission:     permission.ToProto(),
		Replay:         func() io.Reader { return strings.NewReader("one mug") },
	}
}

func TestDispatcherRecordsTheOutcome(t *testing.T) {
	long := strings.Repeat("x", maxStoredBodyBytes+1)
	cases := []struct {
		name     string
		next     request.Handler
		recorded []request.Outcome
		body     string
	}{
		{"answered", answeringWith("paid"), []request.Outcome{request.Answered}, "paid"},
		{"long answer", answeringWith(long), []request.Outcome{request.Answered}, long},
		{"failed", refusing(request.CauseBackendFailed, request.Unknown), []request.Outcome{request.Unknown}, ""},
		// The entry node may use the same permission at another server.
		{"not run", refusing(request.CauseNoBackend, request.NotRun), nil, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			owner := &fakeOwner{}
			d := &dispatcher{client: clientOf(owner), next: c.next}
			// The caller has already gone.
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			answer, err := d.Serve(ctx, payment(t))
			assert.DeepEqual(t, owner.finished, c.recorded)
			if c.body == "" {
				assert.Assert(t, err != nil)
				return
			}
			assert.NilError(t, err)
			got, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(got), c.body)
		})
	}
}

func TestRefusedCommitmentIsConfirmed(t *testing.T) {
	over := refusing(request.CauseRate, request.NotRun)
	cases := []struct {
		name    string
		next    request.Handler
		owner   *fakeOwner
		cause   request.Cause
		outcome request.Outcome
	}{
		{"the key has not run", over, &fakeOwner{verdict: commitment.NotRun}, request.CauseRate, request.NotRun},
		{"the key is running", over, &fakeOwner{verdict: commitment.InProgress}, request.CauseInProgress, request.Unknown},
		{"the key may have run", over, &fakeOwner{verdict: commitment.Unknown}, request.CauseOutcomeUnknown, request.Unknown},
		{"the owner does not know", over, &fakeOwner{verdict: commitment.Unavailable}, request.CauseRate, request.Unknown},
		{"the owner is unreachable", over, &fakeOwner{err: errNoOwner.New("test")}, request.CauseRate, request.Unknown},
		{"an owner never permits a lookup", over, &fakeOwner{verdict: commitment.Run}, request.CauseRate, request.Unknown},
		{
			"the outcome is already unknown", refusing(request.CauseDeadline, request.Unknown),
			&fakeOwner{verdict: commitment.NotRun}, request.CauseDeadline, request.Unknown,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := newConfirmer(clientOf(c.owner), c.next).Serve(t.Context(), payment(t))
			refusal := request.AsRefusal(err)
			assert.Equal(t, refusal.Cause, c.cause)
			assert.Equal(t, refusal.Outcome, c.outcome)
		})
	}
}

// A refused retry gets the answer of the earlier run.
func TestRefusedRetryGetsTheAnswer(t *testing.T) {
	owner := &fakeOwner{}
	d := &dispatcher{client: clientOf(owner), next: answeringWith("paid")}
	_, err := d.Serve(t.Context(), payment(t))
	assert.NilError(t, err)
	owner.verdict = commitment.Replay
	answer, err := newConfirmer(clientOf(owner), refusing(request.CauseOverload, request.NotRun)).Serve(t.Context(), payment(t))
	assert.NilError(t, err)
	got, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "paid")
}
