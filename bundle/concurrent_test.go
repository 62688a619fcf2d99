package bundle_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/kv"
	"auburngap/kv/fake"
)

// outcome is the result of one operator's attempt to roll out a change.
type outcome struct {
	proposal bundle.Proposal
	err      error
}

// TestConcurrentOperators lets operators propose, approve and roll out concurrently over a
// platform that is slow and loses requests and answers. It compares the results that they
// got with the records in the platform's store.
func TestConcurrentOperators(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runConcurrentOperators(t, seed) })
		})
	}
}

func runConcurrentOperators(t *testing.T, seed uint64) {
	d := newDeployment(t)
	d.publish(testBundle(t))
	var mu sync.Mutex
	var outcomes []outcome
	var group sync.WaitGroup
	for operator := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(operator)))
		group.Go(func() {
			for range 5 {
				o := tryRollout(t, d.store, random)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
			}
		})
	}
	injectFaults(d.service, rand.New(rand.NewPCG(seed, 99)))
	group.Wait()
	d.service.SetFaults(fake.Faults{})
	checkOutcomes(t, d, outcomes)
}

// tryRollout proposes, approves and rolls out one change. It stops at the first error.
func tryRollout(t *testing.T, store *bundle.Store, random *rand.Rand) outcome {
	time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	b := testBundle(t)
	b.Workspaces[0].Rate = 1 + random.Float64()
	proposal, err := store.Propose(t.Context(), bundle.ProposeRequest{Bundle: b})
	for _, name := range operators[1:] {
		if err == nil {
			_, err = store.Approve(t.Context(), proposal.ID(), testSigner(name))
		}
	}
	if err == nil {
		_, err = store.Rollout(t.Context(), proposal.ID())
	}
	return outcome{proposal: proposal, err: err}
}

// injectFaults changes the platform's faults every 20 ms for a second.
func injectFaults(service *fake.Service, random *rand.Rand) {
	for range 50 {
		time.Sleep(20 * time.Millisecond)
		service.SetFaults(fake.Faults{
			DelayMicros:  random.Int64N(5000),
			LoseAnswers:  random.IntN(3),
			LoseRequests: random.IntN(2),
			Down:         random.IntN(10) == 0,
		})
	}
}

func checkOutcomes(t *testing.T, d *deployment, outcomes []outcome) {
	rolledOut := make(map[uuid.UUID]bool)
	for version := uint64(1); version <= d.head().Version; version++ {
		record, err := d.store.Record(t.Context(), version)
		assert.NilError(t, err)
		rolledOut[record.Header.Proposal] = true
	}
	assert.Equal(t, uint64(len(rolledOut)), d.head().Version)
	for _, o := range outcomes {
		stored := rolledOut[o.proposal.ID()]
		switch {
		case o.err == nil:
			assert.Assert(t, stored, "a rollout succeeded but its record is missing")
		case errorx.IsOfType(o.err, bundle.ErrConflict):
			assert.Assert(t, !stored, "a rollout returned a conflict but its record is stored")
		default:
			assertType(t, o.err, kv.ErrUnavailable)
		}
	}
	tracker := bundle.NewTracker(rootTrust())
	assert.NilError(t, d.store.CatchUp(t.Context(), tracker))
	assert.Equal(t, tracker.LatestNumber(), d.head().Version)
}
