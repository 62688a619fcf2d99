package portion

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// site has nodes in four zones that borrow from owner nodes without delay.
type site struct {
	nodes  []Node
	tables []*Table
	owners []int
	random *rand.Rand
	spent  []time.Time
}

func newSite(count int, limit Limit, config Config) *site {
	s := &site{random: rand.New(rand.NewPCG(1, 2))}
	for i := range count {
		s.nodes = append(s.nodes, Node{VM: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%4)})
	}
	s.owners = Owners("school", limit.Burst, s.nodes)
	for i := range count {
		table := New(config)
		table.SetLimit(start, "school", limit)
		table.SetPortion(start, "school", portionOf(i, s.owners))
		s.tables = append(s.tables, table)
	}
	return s
}

func portionOf(node int, owners []int) float64 {
	if slices.Contains(owners, node) {
		return 1 / float64(len(owners))
	}
	return 0
}

// request sends one request to a node, which borrows from the owner nodes if needed.
func (s *site) request(now time.Time, node int) bool {
	table := s.tables[node]
	ok := table.Take(now, "school")
	if !ok {
		wanted := table.Wanted(now, "school")
		for _, i := range s.random.Perm(len(s.owners)) {
			if owner := s.owners[i]; owner != node && wanted > 0.01 {
				lent := s.tables[owner].Lend(now, "school", wanted)
				table.AddBorrowed(now, "school", lent)
				wanted -= lent
			}
		}
		ok = table.Retake(now, "school")
	}
	if ok {
		s.spent = append(s.spent, now)
	}
	return ok
}

// maxInWindow returns the highest number of requests that were admitted in any window.
func (s *site) maxInWindow(window time.Duration) int {
	maxInWindow, first := 0, 0
	for last := range s.spent {
		for s.spent[last].Sub(s.spent[first]) >= window {
			first++
		}
		maxInWindow = max(maxInWindow, last-first+1)
	}
	return maxInWindow
}

// A workspace sends many times its rate to a few nodes only. These borrow tokens
// from the owner nodes, which accrue new ones. The whole rate is used, whichever
// nodes get the requests.
func TestManyTimesTheRate(t *testing.T) {
	const window = 5 * time.Second
	limit := Limit{Rate: 56, Burst: 56}
	for _, senders := range []int{1, 4, 16} {
		t.Run(fmt.Sprintf("%d senders", senders), func(t *testing.T) {
			s := newSite(16, limit, Config{SettleTime: 4 * time.Second, InitialFill: 1, KeepsPortions: true})
			for now := start; now.Sub(start) < 20*time.Second; now = now.Add(time.Millisecond) {
				s.request(now, s.random.IntN(senders))
			}
			bound := limit.Burst + limit.Rate*(window+borrowedTTL).Seconds()
			assert.Assert(t, float64(s.maxInWindow(window)) <= bound, "%d in %v, at most %.0f", s.maxInWindow(window), window, bound)
			assert.Assert(t, float64(len(s.spent)) >= 0.97*20*limit.Rate, "%d admitted", len(s.spent))
		})
	}
}

// A workspace's limit is far below its requests, so that each node gets few
// requests, and a fraction of a token lent to a node would expire before its next
// request. The whole rate is used nevertheless.
func TestLoweredRate(t *testing.T) {
	const window = 5 * time.Second
	for _, rate := range []float64{3, 10, 30} {
		for _, times := range []float64{1.5, 6} {
			t.Run(fmt.Sprintf("%v/s, %v times the rate", rate, times), func(t *testing.T) {
				limit := Limit{Rate: rate, Burst: rate}
				s := newSite(16, limit, Config{SettleTime: 4 * time.Second, InitialFill: 1, KeepsPortions: true})
				for now := start; now.Sub(start) < 60*time.Second; now = now.Add(time.Duration(s.random.ExpFloat64() * float64(time.Second) / (times * rate))) {
					s.request(now, s.random.IntN(16))
				}
				bound := limit.Burst + limit.Rate*(window+borrowedTTL).Seconds()
				assert.Assert(t, float64(s.maxInWindow(window)) <= bound, "%d in %v, at most %.0f", s.maxInWindow(window), window, bound)
				assert.Assert(t, float64(len(s.spent)) >= 0.97*60*rate, "%d admitted of %.0f", len(s.spent), 60*rate)
			})
		}
	}
}

// A workspace sends less than its rate to all nodes, as most do. Almost nothing is
// refused, even if the burst is small.
func TestWithinTheRate(t *testing.T) {
	for _, rate := range []float64{11, 56, 300} {
		t.Run(fmt.Sprintf("%v/s", rate), func(t *testing.T) {
			s := newSite(16, Limit{Rate: rate, Burst: rate}, Config{SettleTime: 4 * time.Second, InitialFill: 1, KeepsPortions: true})
			sent, refused := 0, 0
			for now := start; now.Sub(start) < 60*time.Second; now = now.Add(time.Duration(s.random.ExpFloat64() * float64(time.Second) / (0.63 * rate))) {
				sent++
				if !s.request(now, s.random.IntN(16)) {
					refused++
				}
			}
			assert.Assert(t, refused <= sent/200, "%d of %d refused", refused, sent)
		})
	}
}

// Each node learns of a change of the owner nodes at another time within SettleTime.
// The portions in use must never add up to more than the whole.
func TestPortionsWhileNodesJoinAndLeave(t *testing.T) {
	const settleTime = 4 * time.Second
	s := newSite(20, Limit{Rate: 10, Burst: 10}, Config{SettleTime: settleTime, KeepsPortions: true})
	now := start
	for range 300 {
		for i := range s.nodes {
			s.nodes[i].Leaving = s.random.IntN(3) == 0
		}
		owners := Owners("school", 10, s.nodes)
		for _, i := range s.random.Perm(len(s.tables)) {
			now = now.Add(settleTime / time.Duration(len(s.tables)+1))
			s.tables[i].SetPortion(now, "school", portionOf(i, owners))
			sum := 0.0
			for _, table := range s.tables {
				sum += table.buckets["school"].portion(now, settleTime)
			}
			assert.Assert(t, sum <= 1+1e-9, "portions add up to %v", sum)
		}
	}
}

// A starting node gets a workspace's limit before the list of nodes. It must not
// act as if it were the only node.
func TestNoTokensBeforeTheFirstList(t *testing.T) {
	table := New(Config{InitialFill: 1, KeepsPortions: true})
	table.SetLimit(start, "school", Limit{Rate: 56, Burst: 56})
	assert.Assert(t, !table.Take(start.Add(10*time.Second), "school"))
	table.SetPortion(start.Add(10*time.Second), "school", 0)
	assert.Equal(t, table.Tokens(start.Add(10*time.Second), "school"), 0.0)
}

func TestReturnFillsOnlyTheLocalPortion(t *testing.T) {
	table := New(Config{InitialFill: 1, KeepsPortions: true})
	table.SetLimit(start, "school", Limit{Rate: 4, Burst: 8})
	table.SetPortion(start, "school", 0.25)
	for range 5 {
		table.Return(start, "school")
	}
	assert.Equal(t, table.Tokens(start, "school"), 2.0)
}

func TestNoLimit(t *testing.T) {
	table := New(Config{})
	assert.Assert(t, table.Take(start, "nobody knows it"))
	table.SetLimit(start, "open", Limit{})
	assert.Assert(t, table.Take(start, "open"))
	assert.Equal(t, table.Wanted(start, "open"), 0.0)
	assert.Equal(t, table.Lend(start, "open", 3), 0.0)
}

// Each further refused request is asked to retry later than those before it.
func TestRetryAfterGrows(t *testing.T) {
	table := New(Config{KeepsPortions: true})
	table.SetLimit(start, "school", Limit{Rate: 4, Burst: 4})
	table.SetPortion(start, "school", 0.5)
	for _, want := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, maxRetryAfter, maxRetryAfter} {
		assert.Equal(t, table.RetryAfter(start, "school"), want)
	}
}

// A rolling restart: an owner node leaves and releases its portion to the next one,
// comes back as another process and gets the portion back. The portion is used
// again as soon as the release and the list have arrived, and never by both nodes.
func TestRollingRestart(t *testing.T) {
	const settleTime = 4 * time.Second
	config := Config{SettleTime: settleTime, KeepsPortions: true}
	limit := Limit{Rate: 40, Burst: 40}
	leaving, next := New(config), New(config)
	for _, table := range []*Table{leaving, next} {
		table.SetLimit(start, "school", limit)
	}
	leaving.SetPortion(start, "school", 0.25)
	next.SetPortion(start, "school", 0)

	now := start.Add(10 * time.Second)
	leaving.SetPortion(now, "school", 0)
	next.Release(now, "school")
	assert.Equal(t, next.buckets["school"].portion(now, settleTime), 0.0)
	next.SetPortion(now.Add(200*time.Millisecond), "school", 0.25) // the list arrives later
	assert.Equal(t, next.buckets["school"].portion(now.Add(200*time.Millisecond), settleTime), 0.25)

	now = now.Add(3 * time.Second)
	back := New(Config{SettleTime: settleTime})
	back.SetLimit(now, "school", limit)
	back.SetPortion(now, "school", 0.25)
	assert.Equal(t, back.buckets["school"].portion(now, settleTime), 0.0)
	next.SetPortion(now.Add(300*time.Millisecond), "school", 0)
	back.Release(now.Add(301*time.Millisecond), "school")
	assert.Equal(t, back.buckets["school"].portion(now.Add(301*time.Millisecond), settleTime), 0.25)
}

// The node that had a portion fails without a release. The portion is used after
// SettleTime.
func TestNoReleaseArrives(t *testing.T) {
	const settleTime = 4 * time.Second
	table := New(Config{SettleTime: settleTime})
	table.SetLimit(start, "school", Limit{Rate: 40, Burst: 40})
	table.SetPortion(start, "school", 0.25)
	assert.Equal(t, table.buckets["school"].portion(start.Add(settleTime-1), settleTime), 0.0)
	assert.Equal(t, table.buckets["school"].portion(start.Add(settleTime), settleTime), 0.25)
}

// A node leaves. Only its own workspaces get other owner nodes.
func TestFewOwnersChange(t *testing.T) {
	s := newSite(16, Limit{}, Config{})
	for i := range 50 {
		workspace := fmt.Sprint("workspace-", i)
		before := Owners(workspace, 100, s.nodes)
		assert.Equal(t, len(before), 4)
		nodes := slices.Clone(s.nodes)
		nodes[5].Leaving = true
		after := Owners(workspace, 100, nodes)
		for z := range before {
			assert.Assert(t, before[z] == after[z] || before[z] == 5)
		}
	}
}
