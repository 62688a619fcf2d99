package share

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/peer/peerpb"
)

func TestMeterFindsTheWorstWindow(t *testing.T) {
	cases := []struct {
		name   string
		rate   float64
		spends []time.Duration
		worst  float64
	}{
		{"none", 1, nil, 0},
		{"at once", 1, []time.Duration{0, 0, 0}, 3},
		{"exactly at the rate", 2, []time.Duration{0, time.Second / 2, time.Second}, 1},
		{"worst in the middle", 1, []time.Duration{0, 10 * time.Second, 10 * time.Second, 20 * time.Second}, 2},
		{"slow build-up", 1, []time.Duration{0, time.Second / 2, time.Second, 3 * time.Second / 2}, 2.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			meter := NewMeter(c.rate)
			for _, at := range c.spends {
				meter.Spend(1, at)
			}
			assert.Equal(t, meter.Worst(), c.worst)
		})
	}
}

func TestOwnerShardMovesFewWorkspaces(t *testing.T) {
	moved := 0
	for i := range 1000 {
		name := string(rune('a'+i%26)) + time.Duration(i).String()
		before, after := OwnerShard(name, 9), OwnerShard(name, 10)
		assert.Assert(t, before >= 0 && before < 9)
		if before != after {
			assert.Equal(t, after, 9)
			moved++
		}
	}
	assert.Assert(t, moved > 50 && moved < 150, "%d", moved)
}

func TestGrownShareWaitsForShrunkenOnes(t *testing.T) {
	terms := Terms{}.withDefaults()
	lender := NewLender(LenderConfig{Zone: "zone0", GainedAt: 0, Terms: terms})
	lender.Apply(testIndex(2, 10, 100, nil), 0)
	lender.Apply(testIndex(2, 10, 100, map[string]float64{"zone0": 1}), 20*time.Second)
	before := lender.Available(testWorkspace, 30*time.Second)
	assert.Equal(t, before, 50.0)
	after := lender.Available(testWorkspace, 32*time.Second)
	assert.Assert(t, after > 59.9 && after <= 60, "%v", after)
}

func TestMovedWorkspaceWaitsForItsFormerOwner(t *testing.T) {
	terms := Terms{}.withDefaults()
	before := testIndex(1, 10, 100, nil)
	after := testIndex(1, 10, 100, nil)
	after.Bundle.Zones[0].Shards = 64
	home := OwnerShard(testWorkspace, 64)
	assert.Assert(t, home != 0)
	lender := NewLender(LenderConfig{Zone: "zone0", Shard: home, Terms: terms})
	lender.Apply(before, 0)
	lender.Apply(after, time.Minute)
	moved := time.Minute + terms.GrowthDelay + terms.LoanTTL
	assert.Equal(t, lender.Available(testWorkspace, moved), 0.0)
	assert.Assert(t, lender.Available(testWorkspace, moved+time.Second) > 9)
}

func TestHandoverKeepsTokensAndLoans(t *testing.T) {
	terms := Terms{}.withDefaults()
	index := testIndex(1, 10, 100, nil)
	first := NewLender(LenderConfig{Zone: "zone0", Epoch: 1, Terms: terms})
	first.Apply(index, 0)
	now := 20 * time.Second
	grant, ok := first.Draw(Draw{ID: 1, LenderZone: "zone0", BorrowerZone: "zone0", Workspace: testWorkspace, Need: 30, Whole: true}, now)
	assert.Assert(t, ok && grant.Tokens == 30)
	state := first.Export(now)
	assert.Equal(t, first.Available(testWorkspace, now), 0.0)

	start := time.Hour
	second := NewLender(LenderConfig{Zone: "zone0", Epoch: 2, GainedAt: start, Terms: terms, State: state})
	second.Apply(index, start)
	assert.Equal(t, second.Available(testWorkspace, start), 70.0)
	second.Report(testWorkspace, []Report{{Loan: grant.Loan, Spent: 10, Closed: true}}, start)
	assert.Equal(t, second.Available(testWorkspace, start), 90.0)
	assert.Equal(t, second.Held(testWorkspace, start), 90.0)
}

// A process that is restarted in its slot may own the shard at the same epoch.
// Reports on its predecessor's loans must not settle its own loans.
func TestRestartAtOneEpochKeepsLoansSeparate(t *testing.T) {
	index := testIndex(1, 10, 100, nil)
	draw := Draw{ID: 1, LenderZone: "zone0", BorrowerZone: "zone0", Workspace: testWorkspace, Need: 10, Whole: true}
	var loans []LoanID
	for process := range uint64(2) {
		lender := NewLender(LenderConfig{Zone: "zone0", Epoch: 1, FirstSequence: process * 1000})
		lender.Apply(index, 0)
		grant, ok := lender.Draw(draw, 10*time.Second)
		assert.Assert(t, ok && grant.Tokens == 10)
		for _, former := range loans {
			lender.Report(testWorkspace, []Report{{Loan: former, Spent: 0, Closed: true}}, 10*time.Second)
		}
		a := lender.accounts[testWorkspace]
		assert.Equal(t, a.lent, 10.0)
		loans = append(loans, grant.Loan)
	}
}

// Of two spends of one loan, only the first has been reported.
func TestGiveBackOfUnreportedSpendOnly(t *testing.T) {
	cache := NewTokenCache(TokenCacheConfig{Zone: "zone0"})
	cache.Apply(testIndex(1, 10, 100, nil))
	now := time.Second
	cache.Take(testWorkspace, now)
	draw := cache.Draw(testWorkspace, 1, now)
	cache.HandleGrant(testWorkspace, Grant{ID: draw.ID, Loan: LoanID{1, 1}, Tokens: 3, TTL: time.Second}, now)
	reported := cache.Retake(testWorkspace, now)
	assert.Equal(t, len(cache.ReportDraws(now)), 1)
	unreported := cache.Take(testWorkspace, now)
	assert.Assert(t, !cache.GiveBack(testWorkspace, reported.Spend, now))
	assert.Assert(t, cache.GiveBack(testWorkspace, unreported.Spend, now))
	assert.Equal(t, cache.Unspent(testWorkspace, now), 2.0)
}

// Loans of two zones may have the same ID: a spend of an expired loan is not given
// back to the other loan.
func TestGiveBackDistinguishesZones(t *testing.T) {
	cache := NewTokenCache(TokenCacheConfig{Zone: "zone0"})
	cache.Apply(testIndex(2, 10, 4, nil))
	now := time.Second
	spendOf := func(zone string, tokens float64) Spend {
		t.Helper()
		cache.Take(testWorkspace, now)
		draw := cache.Draw(testWorkspace, 1, now)
		assert.Equal(t, draw.LenderZone, zone)
		cache.HandleGrant(testWorkspace, Grant{ID: draw.ID, Loan: LoanID{1, 1}, Tokens: tokens, TTL: time.Second}, now)
		return cache.Retake(testWorkspace, now).Spend
	}
	cache.DrawFailed(testWorkspace, cache.Draw(testWorkspace, 1, now).ID, now)
	over := spendOf("zone1", 1)
	assert.Assert(t, cache.ReportDraws(now)[0].Reports[0].Closed)
	now += time.Second / 2
	lasting := spendOf("zone0", 2)
	assert.Assert(t, !cache.GiveBack(testWorkspace, over, now))
	assert.Assert(t, cache.GiveBack(testWorkspace, lasting, now))
}

// A node waits for an answer that takes 200 ms, as from a busy VM.
func TestSlowAnswerIsWaitedFor(t *testing.T) {
	cache := NewTokenCache(TokenCacheConfig{Zone: "zone0"})
	cache.Apply(testIndex(1, 10, 8, nil))
	now := time.Second
	assert.Equal(t, cache.Take(testWorkspace, now).Verdict, Wait)
	draw := cache.Draw(testWorkspace, 1, now)
	now += 200 * time.Millisecond
	later := cache.Take(testWorkspace, now)
	assert.Equal(t, later.Verdict, Wait)
	assert.Assert(t, !later.SendDraw)
	cache.HandleGrant(testWorkspace, Grant{ID: draw.ID, Loan: LoanID{1, 1}, Tokens: 1, TTL: time.Second}, now)
	assert.Equal(t, cache.Retake(testWorkspace, now).Verdict, Taken)
}

// exactPeers grants each draw exactly what it needs, after a delay.
type exactPeers struct{ loans atomic.Uint64 }

// Draw implements Peers.
func (n *exactPeers) Draw(_ context.Context, message *peerpb.Draw) (*peerpb.DrawAnswer, error) {
	draw := drawFromProto(message)
	time.Sleep(10 * time.Millisecond)
	return grantToProto(Grant{ID: draw.ID, Loan: LoanID{1, n.loans.Add(1)}, Tokens: draw.Need, TTL: time.Second}), nil
}

// Requests that arrive while a draw is pending wait for as many further draws as
// needed, as long as these bring tokens.
func TestWaitingRequestsAreServedWhileTokensCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		client := NewClient(ClientConfig{
			Zone: "zone0", Peers: &exactPeers{}, Clock: func() time.Duration { return time.Since(start) },
		})
		client.Apply(testIndex(1, 1000, 1000, nil))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var group sync.WaitGroup
		var refused atomic.Int64
		for range 5000 {
			time.Sleep(500 * time.Microsecond)
			group.Go(func() {
				if _, refusal := client.Take(ctx, testWorkspace); refusal != nil {
					refused.Add(1)
				}
			})
		}
		group.Wait()
		assert.Equal(t, refused.Load(), int64(0))
		time.Sleep(time.Minute)
	})
}

// partitionedPeers delivers draws of nodes to the owners of two zones. The owners cannot
// reach each other.
type partitionedPeers struct {
	owners map[string]*Owner
}

func (p *partitionedPeers) Draw(ctx context.Context, draw *peerpb.Draw) (*peerpb.DrawAnswer, error) {
	owner, ok := p.owners[draw.GetAvailabilityZone()]
	if !ok || !draw.GetWhole() {
		return nil, errNoAnswer
	}
	return owner.HandleDraw(ctx, draw), nil
}

// liveGate owns every shard.
type liveGate struct{}

func (liveGate) LiveOwnership(int, time.Duration) (uint64, bool) { return 1, true }

// restartOwner starts both zones' owners, waits until their tokens are full, and
// restarts the owner of zone0 without its tokens. It returns a client of zone0.
func (p *partitionedPeers) restartOwner(now Clock) *Client {
	index := testIndex(2, 400, 400, nil)
	for _, zone := range []string{"zone0", "zone1"} {
		owner := NewOwner(OwnerConfig{Zone: zone, OwnershipSource: liveGate{}, Peers: p, Clock: now})
		owner.Apply(index)
		owner.Gained(0, 1, nil)
		p.owners[zone] = owner
	}
	client := NewClient(ClientConfig{Zone: "zone0", Peers: p, Clock: now})
	client.Apply(index)
	time.Sleep(20 * time.Second)
	p.owners["zone0"].Gained(0, 1, nil)
	return client
}

// TestStartingOwnerRefusesNoRequest restarts an owner in its slot. The owner has no
// session with the other zone yet, so nodes draw from that zone themselves. If
// that zone is gone too, they wait until the owner has tokens.
func TestStartingOwnerRefusesNoRequest(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprintf("other zone unavailable: %t", gone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				now := func() time.Duration { return time.Since(start) }
				peers := &partitionedPeers{owners: make(map[string]*Owner)}
				client := peers.restartOwner(now)
				if gone {
					delete(peers.owners, "zone1")
				}
				for i := range 150 {
					_, refusal := client.Take(t.Context(), testWorkspace)
					assert.Assert(t, refusal == nil, "request %d refused %v after the restart", i, now()-20*time.Second)
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}
