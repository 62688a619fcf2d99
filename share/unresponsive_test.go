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

// stalledPeers delivers draws to the owner in zone0, except for those that are sent before
// awakeAt. All other zones are cut off.
type stalledPeers struct {
	owner   *Owner
	clock   Clock
	awakeAt time.Duration
}

// Draw implements Peers.
func (p *stalledPeers) Draw(ctx context.Context, draw *peerpb.Draw) (*peerpb.DrawAnswer, error) {
	if draw.GetAvailabilityZone() != "zone0" || p.clock() < p.awakeAt {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	return p.owner.HandleDraw(ctx, draw), nil
}

// TestStalledOwnerBesideCutRefusesNoRequest guards against requests within the rate that are
// refused beside a cut, after one or two draws that the owner in their zone did not answer in
// time: the node asked only the zones that were cut off then, although the owner answered
// again before unresponsiveTimeout.
func TestStalledOwnerBesideCutRefusesNoRequest(t *testing.T) {
	for stall := 100 * time.Millisecond; stall < unresponsiveTimeout-answerTimeout; stall += 100 * time.Millisecond {
		for _, zones := range []int{2, 3, 11} {
			t.Run(fmt.Sprintf("stall of %v, %d zones", stall, zones), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testStalledOwner(t, stall, zones) })
			})
		}
	}
}

func testStalledOwner(t *testing.T, stall time.Duration, zones int) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	index := testIndex(zones, 20000, 20000, nil)
	peers := &stalledPeers{clock: now}
	peers.owner = NewOwner(OwnerConfig{Zone: "zone0", OwnershipSource: liveGate{}, Peers: peers, Clock: now})
	peers.owner.Apply(index)
	peers.owner.Gained(0, 1, nil)
	client := NewClient(ClientConfig{Zone: "zone0", Peers: peers, Clock: now})
	client.Apply(index)
	time.Sleep(20 * time.Second)
	peers.awakeAt = now() + stall
	var group sync.WaitGroup
	var refused atomic.Int64
	for range 300 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if _, refusal := client.Take(ctx, testWorkspace); refusal != nil {
				refused.Add(1)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	assert.Equal(t, refused.Load(), int64(0))
	// The last draws and reports end.
	time.Sleep(time.Minute)
}
