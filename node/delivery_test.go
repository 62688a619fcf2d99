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

// reply is what a scripted server says to one call, after a time: a status with a
// body, or a cause.
type reply struct {
	status int
	body   string
	cause  request.Cause
	after  time.Duration
}

// scriptedNodes answers calls to other VMs in turn.
type scriptedNodes struct {
	replies []reply
	// asked holds where the calls went.
	asked []netip.AddrPort
}

// Call implements sender.
func (s *scriptedNodes) Call(_ context.Context, address netip.AddrPort, _ *request.Call) (*request.Answer, error) {
	r := s.replies[len(s.asked)]
	s.asked = append(s.asked, address)
	time.Sleep(r.after)
	if r.status == 0 {
		return nil, request.Refuse(r.cause, request.NotRun, 0)
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

// TestFailedServers is the pattern of servers that fail now and then: whoever may be
// served by another one is, and hears of the failure where that one cannot.
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
		{"a service below sheds requests", []reply{failed}, 2, false, 1, "forno", failed, 1},
		{"the answer is too long to keep", []reply{{status: 500, body: long}}, 2, false, 1, "", reply{status: 500, body: long}, 1},
		{"the time would not do for another", []reply{{status: 500, body: "broken", after: 700 * time.Millisecond}}, 2, false, 1, "", failed, 1},
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

// TestFailedCallChains is the pattern of a deep service that refuses part of its calls, so
// that what is above it fails: what calls on is not sent once more where only bounds
// at each service hold the retries, or the downstream calls would exceed them.
func TestFailedCallChains(t *testing.T) {
	cases := []struct {
		name  string
		leaf  bool
		sends int
	}{
		{"calls on", false, 1},
		{"calls nobody", true, 2},
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
