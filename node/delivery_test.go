package node

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/request"
	"auburngap/retry"
	"auburngap/route"
)

// reply is the answer of a scripted server to one call, after a delay: a status with a
// body, or the cause of a refusal.
type reply struct {
	status int
	body   string
	cause  request.Cause
	// mayHaveRun is set if the refused call may have run.
	mayHaveRun bool
	after      time.Duration
}

// scriptedNodes answers calls to other VMs with the replies in order.
type scriptedNodes struct {
	replies []reply
	// asked holds the addresses of the calls.
	asked []netip.AddrPort
}

// Call implements sender.
func (s *scriptedNodes) Call(_ context.Context, address netip.AddrPort, _ *request.Call) (*request.Answer, error) {
	r := s.replies[len(s.asked)]
	s.asked = append(s.asked, address)
	time.Sleep(r.after)
	if r.status == 0 {
		outcome := request.NotRun
		if r.mayHaveRun {
			outcome = request.Unknown
		}
		return nil, request.Refuse(r.cause, outcome, 0)
	}
	return &request.Answer{
		Status: r.status,
		Body:   io.NopCloser(strings.NewReader(r.body)),
		Report: func() request.Report { return request.Report{} },
	}, nil
}

// newTestRouter returns a router to some servers of one service.
func newTestRouter(nodes sender, servers int) *router {
	targets := make([]route.Target, servers)
	for i := range targets {
		targets[i] = route.Target{
			VM: fmt.Sprintf("vm-%d", i), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
			Service: "vetrina", Slots: 10,
		}
	}
	index := bundle.NewIndex(&bundle.Bundle{Version: 1})
	r := &router{
		localVM: "vm-self", pool: nodes, routes: newRoutes("vm-self", "palermo"), gate: newLearningGate(),
		bundle: func() *bundle.Index { return index }, policy: retry.NewPolicy(retry.Config{}), keepBudget: true,
	}
	r.routes.Update("vetrina", targets)
	return r
}

// TestFailedServers lets servers fail occasionally: a call that another server may serve
// is sent to it, and its caller gets the failed answer if no other server answers.
func TestFailedServers(t *testing.T) {
	long := strings.Repeat("x", maxFailureBodyBytes+1)
	failed, good := reply{status: 500, body: "broken"}, reply{status: 200, body: "fine"}
	cases := []struct {
		name    string
		replies []reply
		servers int
		once    bool
		retries int
		shed    string
		want    reply
		sends   int
	}{
		{"another server answers", []reply{failed, good}, 2, false, 1, "", good, 2},
		{"a third server answers", []reply{failed, {cause: request.CauseDraining}, good}, 3, false, 1, "", good, 3},
		{"it may run only once", []reply{failed}, 2, true, 1, "", failed, 1},
		{"there is no other server", []reply{failed}, 1, false, 1, "", failed, 1},
		{"no retry is left", []reply{failed}, 2, false, 0, "", failed, 1},
		{"the other server fails too", []reply{failed, {status: 500, body: "broken, too"}}, 2, false, 2, "", reply{status: 500, body: "broken, too"}, 2},
		{"the other server is full", []reply{failed, {cause: request.CauseOverload}}, 2, false, 1, "", failed, 2},
		{"the service sheds requests", []reply{failed}, 2, false, 1, "vetrina", failed, 1},
		{"a downstream service sheds requests", []reply{failed}, 2, false, 1, "forno", failed, 1},
		{"the answer is too long to buffer", []reply{{status: 500, body: long}}, 2, false, 1, "", reply{status: 500, body: long}, 1},
		{"too little time for another attempt", []reply{{status: 500, body: "broken", after: 700 * time.Millisecond}}, 2, false, 1, "", failed, 1},
		{"the server did not find it", []reply{{status: 404}}, 2, false, 1, "", reply{status: 404}, 1},
		{"the server ran out of time", []reply{{status: 504}}, 2, false, 1, "", reply{status: 504}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := &scriptedNodes{replies: c.replies}
				r := newTestRouter(nodes, c.servers)
				if c.shed != "" {
					r.gate.learn("catalogo", []request.ServiceLoad{{Service: c.shed, AdmitLevel: 1}})
				}
				answer, err := r.Serve(t.Context(), &request.Call{
					Service: "vetrina", Idempotent: !c.once, Replay: func() io.Reader { return nil },
					Context: request.Context{Route: "catalogo", RetryBudget: c.retries, Deadline: time.Now().Add(time.Second)},
				})
				assert.NilError(t, err)
				body, err := io.ReadAll(answer.Body)
				assert.NilError(t, err)
				assert.NilError(t, answer.Body.Close())
				assert.Equal(t, answer.Status, c.want.status)
				assert.Equal(t, string(body), c.want.body)
				assert.Equal(t, len(nodes.asked), c.sends)
				if c.sends == 2 {
					assert.Assert(t, nodes.asked[0] != nodes.asked[1])
				}
			})
		})
	}
}

// TestNotRunCoversAllAttempts guards against a call that is said not to have run because
// its last attempt did not, although an earlier one may have: its server gave no answer.
func TestNotRunCoversAllAttempts(t *testing.T) {
	unanswered := reply{cause: request.CauseBackendFailed, mayHaveRun: true}
	unreachable, full := reply{cause: request.CauseNoBackend}, reply{cause: request.CauseOverload}
	for name, c := range map[string]struct {
		replies []reply
		want    request.Outcome
	}{
		"no attempt ran":                      {[]reply{unreachable, full, full}, request.NotRun},
		"the first may have run":              {[]reply{unanswered, full}, request.Unknown},
		"the first may have run, then others": {[]reply{unanswered, unreachable, unreachable, unreachable, full}, request.Unknown},
		"the second may have run":             {[]reply{unreachable, unanswered, full}, request.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := &scriptedNodes{replies: c.replies}
				_, err := newTestRouter(nodes, 6).Serve(t.Context(), &request.Call{
					Service: "vetrina", Idempotent: true, Replay: func() io.Reader { return nil },
					Context: request.Context{Route: "catalogo", RetryBudget: 1, Deadline: time.Now().Add(time.Second)},
				})
				refusal := request.AsRefusal(err)
				assert.Equal(t, refusal.Outcome, c.want)
				assert.Equal(t, len(nodes.asked), len(c.replies))
			})
		})
	}
}

// TestFailedCallChains guards against retries that exceed their bounds when a deep service
// refuses part of its calls and its upstream services fail: a call that makes further
// calls is not retried if only bounds at each service limit the retries, since its
// downstream calls would exceed them.
func TestFailedCallChains(t *testing.T) {
	cases := []struct {
		name  string
		leaf  bool
		sends int
	}{
		{"makes further calls", false, 1},
		{"makes no further calls", true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nodes := &scriptedNodes{replies: []reply{{status: 500}, {status: 200}}}
			r := newTestRouter(nodes, 2)
			r.throttles = newThrottles(func(*request.Call) bool { return c.leaf }, func(bool) retry.ThrottleConfig {
				return retry.ThrottleConfig{Ratio: 1, Slack: 10, Window: time.Second}
			})
			_, err := r.Serve(t.Context(), &request.Call{
				Service: "vetrina", Idempotent: true, Replay: func() io.Reader { return nil },
				Context: request.Context{Route: "catalogo", RetryBudget: 1, Deadline: time.Now().Add(time.Minute)},
			})
			assert.NilError(t, err)
			assert.Equal(t, len(nodes.asked), c.sends)
		})
	}
}
