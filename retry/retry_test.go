package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburngap/request"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// callTree is one service call with the calls that it makes below it.
type callTree struct {
	below []*callTree
}

func drawTree(t *rapid.T, depth int) *callTree {
	tree := &callTree{}
	if depth == 0 {
		return tree
	}
	for range rapid.IntRange(0, 3).Draw(t, "fanOut") {
		tree.below = append(tree.below, drawTree(t, depth-1))
	}
	return tree
}

func (c *callTree) size() int {
	size := 1
	for _, below := range c.below {
		size += below.size()
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

// call runs one call to the end of its retries and returns the calls made below.
func (f *failingChain) call(tree *callTree, budget *Budget) int {
	most := 0
	for number := 1; ; number++ {
		f.attempts++
		made, outcome := 0, request.NotRun
		if rapid.Bool().Draw(f.t, "ran") {
			made, outcome = f.below(tree, budget), request.Unknown
		}
		most = max(most, made)
		attempt := Attempt{
			Number: number, Outcome: outcome, Cause: request.CauseBackendFailed,
			Idempotent: true, CallsBelow: most,
		}
		if _, ok := f.policy.Next(budget, attempt, epoch, f.random); !ok {
			return most
		}
	}
}

func (f *failingChain) below(tree *callTree, budget *Budget) int {
	lent := budget.Lend()
	share := NewBudget(lent)
	made := 0
	for _, child := range tree.below {
		made += 1 + f.call(child, &share)
	}
	budget.Return(lent, share.Left())
	return made
}

func TestAttemptsBoundedOverFailingChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t, rapid.IntRange(0, 4).Draw(t, "depth"))
		total := rapid.IntRange(0, 30).Draw(t, "budget")
		chain := &failingChain{
			t: t, policy: NewPolicy(Config{Attempts: 100}), random: rand.New(rand.NewPCG(1, 2)),
		}
		budget := NewBudget(total)
		chain.call(tree, &budget)
		if bound := tree.size() + total; chain.attempts > bound {
			t.Fatalf("%d attempts, bound %d", chain.attempts, bound)
		}
	})
}

// TestBudgetConserved: whatever is lent, returned, spent and claimed, units
// are never made.
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
				sum := budget.Left() + spent
				for _, share := range lent {
					sum += share
				}
				if sum != total || budget.Left() < 0 {
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
		{"more below than budget", Attempt{Number: 1, Cause: request.CauseBackendFailed, Idempotent: true, CallsBelow: 5}, false},
		{"no time left", Attempt{Number: 1, Outcome: request.NotRun, Cause: request.CauseNoBackend, Deadline: epoch}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := NewBudget(5)
			_, got := NewPolicy(Config{}).Next(&budget, test.attempt, epoch, rand.New(rand.NewPCG(1, 2)))
			assert.Equal(t, got, test.want)
		})
	}
}
