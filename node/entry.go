package node

import (
	"context"
	"math/rand/v2"
	"time"

	"auburngap/admission"
	"auburngap/bundle"
	"auburngap/request"
)

// overloadRetryAfter is the least time that a shed caller is asked to wait.
const overloadRetryAfter = time.Second

// entry takes the requests of callers whose keys were checked: it sheds whole
// requests under overload and hands the others to the router.
type entry struct {
	bundle func() *bundle.Index
	gate   *gate
	next   request.Handler
}

// Serve implements request.Handler.
func (e *entry) Serve(ctx context.Context, call *request.Call) (*request.Answer, error) {
	index := e.bundle()
	weight := 1.0
	if workspace, ok := index.Workspace(call.Context.Workspace); ok {
		weight = workspace.Weight
	}
	if !e.gate.admit(call, weight, index) {
		return nil, request.RefuseUnsent(call, request.CauseOverload, spread(overloadRetryAfter))
	}
	return e.next.Serve(ctx, call)
}

// spread keeps callers that were refused together from coming back together.
func spread(base time.Duration) time.Duration {
	return admission.RetryAfter(base, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}
