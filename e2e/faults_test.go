package e2e

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/kv/fake"
)

// payers send payments concurrently until they are stopped.
type payers struct {
	w     *testSite
	stop  chan struct{}
	group sync.WaitGroup
	all   []*payer
}

func (w *testSite) startPayers(n int) *payers {
	p := &payers{w: w, stop: make(chan struct{})}
	for i := range n {
		one := &payer{w: w, random: rand.New(rand.NewPCG(uint64(i), 2))}
		p.all = append(p.all, one)
		p.group.Go(func() { p.pay(one) })
	}
	return p
}

func (p *payers) pay(one *payer) {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(20 * time.Millisecond):
			one.payOnce()
		}
	}
}

// end stops the payers and returns the number of payments by outcome. No payment may
// have run twice, and each answered payment must have run.
func (p *payers) end(t *testing.T) (answered, unknown, notRun int) {
	t.Helper()
	close(p.stop)
	p.group.Wait()
	for _, one := range p.all {
		for _, key := range one.answered {
			assert.Equal(t, p.w.runs(key), 1, "an answered payment")
		}
		for _, key := range append(one.unknown, one.notRun...) {
			assert.Assert(t, p.w.runs(key) <= 1, "a payment ran %d times", p.w.runs(key))
		}
		answered += len(one.answered)
		unknown += len(one.unknown)
		notRun += len(one.notRun)
	}
	t.Logf("%d payments answered, %d unknown, %d not run", answered, unknown, notRun)
	return answered, unknown, notRun
}

// TestOwnersInTrouble runs two small sites concurrently.
func TestOwnersInTrouble(t *testing.T) {
	t.Run("commitments in platform trouble", testCommitmentsInPlatformTrouble)
	t.Run("paused owners", testPausedOwners)
}

// testCommitmentsInPlatformTrouble sends payments while the platform is slow and loses
// answers and an owner is killed, then while the platform is down and another owner is
// killed. No payment may run twice, and each answered payment has run once.
func testCommitmentsInPlatformTrouble(t *testing.T) {
	t.Parallel()
	w := newReplicatedTestSite(t, payBundle(), 3)
	w.waitUntilPaymentsAccepted()
	admin := fake.Admin{Address: w.site.Platform}
	owners := []string{w.owner("palermo"), w.owner("catania")}
	trouble := []fake.Faults{
		{DelayMicros: (300 * time.Millisecond).Microseconds(), LoseAnswers: 50},
		{Down: true},
	}
	payers := w.startPayers(8)
	for i, faults := range trouble {
		time.Sleep(time.Second)
		assert.NilError(t, admin.SetFaults(w.ctx, faults))
		time.Sleep(time.Second)
		w.site.Node(owners[i]).Kill()
		time.Sleep(time.Second)
		assert.NilError(t, w.site.StartNode(w.ctx, owners[i]))
		time.Sleep(3 * time.Second)
		assert.NilError(t, admin.SetFaults(w.ctx, fake.Faults{}))
	}
	payers.end(t)
	w.waitUntilPaymentsAccepted()
	w.expectNoViolation()
}

// testPausedOwners stops the owners of all shards for longer than their leases,
// until others have taken over, and resumes them, at many times a workspace's rate.
// No window may exceed rate and burst, and no two owners may act at the same time.
func testPausedOwners(t *testing.T) {
	t.Parallel()
	const rate, burst = 30, 60
	b := pairBundle()
	b.Workspaces[1].Rate = rate
	b.Workspaces[1].Burst = burst
	w := newReplicatedTestSite(t, b, 3)
	paused := map[string]string{"palermo": w.owner("palermo"), "catania": w.owner("catania")}
	var through, others []netip.AddrPort
	for _, vm := range w.vms() {
		address := w.site.Node(vm.name).Settings.CallerAddress
		if paused[vm.zone] == vm.name {
			through = append(through, address)
			continue
		}
		others = append(others, address)
	}
	count := w.meterRate("/single", rate)
	// Many callers wait at the paused nodes, so that the first thing these nodes do when
	// resumed is to spend tokens, if any are left.
	waiting := w.startTraffic(64, 100*time.Millisecond, "/single", parishKey, func() []netip.AddrPort { return through })
	flood := func() *traffic {
		return w.startTraffic(12, 20*time.Millisecond, "/single", parishKey, func() []netip.AddrPort { return others })
	}
	before := flood()
	time.Sleep(2 * time.Second)
	before.end()
	for _, vm := range paused {
		w.site.Node(vm).Pause()
	}
	for zone, vm := range paused {
		w.waitFor("takeover in "+zone, func() bool { return w.owner(zone) != vm })
	}
	// The successors' tokens fill up to the burst, as those of the paused owners would if
	// they continued: the next requests find the largest number of tokens.
	time.Sleep(4 * time.Second)
	after := flood()
	for _, vm := range paused {
		w.site.Node(vm).Continue()
	}
	time.Sleep(3 * time.Second)
	after.end()
	waiting.end()
	count.expect(t, rate, burst)
	w.expectNoViolation()
}

// TestCommitmentsInRollingRestart restarts every node of a site, one after the
// other, while payments are sent: each payment is answered in the end.
func TestCommitmentsInRollingRestart(t *testing.T) {
	w := newReplicatedTestSite(t, payBundle(), 3)
	w.waitUntilPaymentsAccepted()
	payers := w.startPayers(8)
	for _, vm := range w.vms() {
		node := w.site.Node(vm.name)
		node.Terminate()
		assert.Assert(t, node.Wait(30*time.Second), "node of %s did not end by itself", vm.name)
		assert.NilError(t, w.site.StartNode(w.ctx, vm.name))
		w.waitUntilNodeServes(vm.name)
	}
	answered, unknown, notRun := payers.end(t)
	expectServed(t, answered, 500)
	assert.Equal(t, unknown, 0)
	assert.Equal(t, notRun, 0)
	w.expectNoViolation()
}
