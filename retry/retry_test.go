package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburngap/request"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// callTree is one service call with its downstream calls.
type callTree struct {
	downstream []*callTree
}

func drawTree(t *rapid.T, depth int) *callTree {
	tree := &callTree{}
	if depth == 0 {
		return tree
	}
	for range rapid.IntRange(0, 3).Draw(t, "fanOut") {
		tree.downstream = append(tree.downstream, drawTree(t, depth-1))
	}
	return tree
}

func (c *callTree) size() int {
	size := 1
	for _, downstream := range c.downstream {
		size += downstream.size()
	}
	return size
}

// failingChain runs a tree of calls in which every attempt fails.
type failingChain struct {
	t        *rapid.T
	policy   *Policy
	random   *rand.Rand
	attempts int
}

// call runs one call until it is not retried any more. It returns the largest
// number of downstream calls that one attempt made.
func (f *failingChain) call(tree *callTree, budget *Budget) int {
	most := 0
	for number := 1; ; number++ {
		f.attempts++
		made, outcome := 0, request.NotRun
		if rapid.Bool().Draw(f.t, "ran") {
			made, outcome = f.downstream(tree, budget), request.Unknown
		}
		most = max(most, made)
		attempt := Attempt{
			Number: number, Outcome: outcome, Cause: request.CauseBackendFailed,
			Idempotent: true, DownstreamCalls: most,
		}
		if _, ok := f.policy.Next(budget, attempt, startTime, f.random); !ok {
			return most
		}
	}
}

func (f *failingChain) downstream(tree *callTree, budget *Budget) int {
	lent := budget.Lend()
	share := NewBudget(lent)
	made := 0
	for _, child := range tree.downstream {
		made += 1 + f.call(child, &share)
	}
	budget.Return(lent, share.Remaining())
	return made
}

func TestAttemptsBoundedOverFailingChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t, rapid.IntRange(0, 4).Draw(t, "depth"))
		total := rapid.IntRange(0, 30).Draw(t, "budget")
		chain := &failingChain{
			t: t, policy: NewPolicy(Config{MaxAttempts: 100}), random: rand.New(rand.NewPCG(1, 2)),
		}
		budget := NewBudget(total)
		chain.call(tree, &budget)
		if bound := tree.size() + total; chain.attempts > bound {
			t.Fatalf("%d attempts, bound %d", chain.attempts, bound)
		}
	})
}

// TestBudgetConserved checks that no sequence of operations creates units,
// whatever children claim to return.
func TestBudgetConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 50).Draw(t, "budget")
		budget := NewBudget(total)
		spent, lent := 0, []int{}
		t.Repeat(map[string]func(*rapid.T){
			"lend": func(*rapid.T) { lent = append(lent, budget.Lend()) },
			"return": func(t *rapid.T) {
				if len(lent) == 0 {
					t.Skip()
				}
				claimed := rapid.IntRange(-5, 100).Draw(t, "unspent")
				share := lent[0]
				lent = lent[1:]
				budget.Return(share, claimed)
				spent += share - min(max(claimed, 0), share)
			},
			"spend": func(t *rapid.T) {
				units := rapid.IntRange(1, 3).Draw(t, "units")
				if budget.Spend(units) {
					spent += units
				}
			},
			"": func(t *rapid.T) {
				sum := budget.Remaining() + spent
				for _, share := range lent {
					sum += share
				}
				if sum != total || budget.Remaining() < 0 {
					t.Fatalf("%d units of %d", sum, total)
				}
			},
		})
	})
}

func TestNext(t *testing.T) {
	for _, test := range []struct {
		name    string
		attempt Attempt
		want    bool
	}{
		{"not run", Attempt{Number: 1, Outcome: request.NotRun, Cause: request.CauseBackendFailed}, true},
		{"unknown", Attempt{Number: 1, Outcome: request.Unknown, Cause: request.CauseBackendFailed}, false},
		{"unknown but idempotent", Attempt{Number: 1, Cause: request.CauseBackendFailed, Idempotent: true}, true},
		{"answered", Attempt{Number: 1, Outcome: request.Answered, Cause: request.CauseBackendFailed, Idempotent: true}, false},
		{"one server busy", Attempt{Number: 1, Outcome: request.NotRun, Cause: request.CauseOverload}, true},
		{"service overloaded", Attempt{Number: 1, Outcome: request.NotRun, Cause: request.CauseOverload, Overloaded: true}, false},
		{"rate", Attempt{Number: 1, Outcome: request.NotRun, Cause: request.CauseRate}, false},
		{"deadline", Attempt{Number: 1, Outcome: request.NotRun, Cause: request.CauseDeadline}, false},
		{"too many attempts", Attempt{Number: 3, Outcome: request.NotRun, Cause: request.CauseNoBackend}, false},
		{"more downstream calls than budget", Attempt{Number: 1, Cause: request.CauseBackendFailed, Idempotent: true, DownstreamCalls: 5}, false},
		{"no time left", Attempt{Number: 1, Outcome: request.NotRun, Cause: request.CauseNoBackend, Deadline: startTime}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := NewBudget(5)
			_, got := NewPolicy(Config{}).Next(&budget, test.attempt, startTime, rand.New(rand.NewPCG(1, 2)))
			assert.Equal(t, got, test.want)
		})
	}
}
