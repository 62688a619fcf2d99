package share

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) Intn(n int) int {
	return rapid.IntRange(0, n-1).Draw(c.t, "choice")
}

type seededChooser struct{ source *rand.Rand }

func (c seededChooser) Intn(n int) int { return c.source.IntN(n) }

func seeded(seed uint64) seededChooser {
	return seededChooser{rand.New(rand.NewPCG(seed, 1))}
}

// action is one kind of event. A run picks actions by weight.
type action struct {
	name   string
	weight int
	do     func(sim *simulation)
}

var actions = []action{
	{"take", 60, func(sim *simulation) { sim.onNode(sim.take) }},
	{"burst of takes", 8, func(sim *simulation) {
		sim.onNode(func(v *vm) {
			for range 10 {
				sim.take(v)
			}
		})
	}},
	{"deliver", 80, func(sim *simulation) {
		for range 3 {
			sim.deliver(0)
		}
	}},
	{"deliver out of order", 6, func(sim *simulation) { sim.deliver(sim.choose.Intn(len(sim.messages) + 1)) }},
	{"duplicate", 3, (*simulation).duplicate},
	{"drop", 3, (*simulation).drop},
	{"report", 10, func(sim *simulation) { sim.onNode(sim.report) }},
	{"give back", 20, func(sim *simulation) {
		if len(sim.tickets) > 0 {
			sim.giveBack(max(0, len(sim.tickets)-1-sim.choose.Intn(6)))
		}
	}},
	{"report batches", 5, (*simulation).reportBatches},
	{"pause", 1, func(sim *simulation) { sim.anyNode().paused = true }},
	{"wake", 12, func(sim *simulation) { sim.anyNode().paused = false }},
	{"restart node", 1, func(sim *simulation) { sim.restart(sim.anyNode()) }},
	{"short time", 40, func(sim *simulation) { sim.advanceClock(time.Duration(sim.choose.Intn(10)) * time.Millisecond) }},
	{"middle time", 4, func(sim *simulation) { sim.advanceClock(time.Duration(sim.choose.Intn(400)) * time.Millisecond) }},
	{"time of a loan", 2, func(sim *simulation) { sim.advanceClock(sim.terms.LoanTTL - 30*time.Millisecond) }},
	{"long time", 1, func(sim *simulation) { sim.advanceClock(time.Duration(sim.choose.Intn(5)) * time.Second) }},
	{"kill owner", 1, func(sim *simulation) { sim.anyOwner().lender = nil }},
	{"gain", 4, func(sim *simulation) {
		if k := sim.anyOwner(); k.lender == nil {
			sim.gain(k, nil)
		}
	}},
	{"hand over", 1, func(sim *simulation) {
		if k := sim.anyOwner(); k.lender != nil {
			sim.handOver(k)
		}
	}},
}

var bundleActions = []action{
	{"change bundle", 1, (*simulation).publish},
	{"apply bundle", 8, func(sim *simulation) { sim.apply(sim.anyOwner()) }},
}

func (sim *simulation) anyNode() *vm { return sim.nodes[sim.choose.Intn(len(sim.nodes))] }

func (sim *simulation) anyOwner() *shardOwner { return sim.owners[sim.choose.Intn(len(sim.owners))] }

func (sim *simulation) onNode(do func(*vm)) {
	if v := sim.anyNode(); !v.paused {
		do(v)
	}
}

func (sim *simulation) advanceClock(d time.Duration) { sim.now += d }

func (sim *simulation) deliver(i int) {
	if i >= len(sim.messages) {
		return
	}
	m := sim.messages[i]
	sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
	m.deliver()
}

func (sim *simulation) duplicate() {
	if len(sim.messages) > 0 {
		sim.messages = append(sim.messages, sim.messages[sim.choose.Intn(len(sim.messages))])
	}
}

func (sim *simulation) drop() {
	if len(sim.messages) > 0 {
		i := sim.choose.Intn(len(sim.messages))
		sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
	}
}

func (sim *simulation) report(v *vm) {
	for _, draw := range v.cache.ReportDraws(v.read(sim.now)) {
		sim.sendDraw(draw, func(Grant, bool) {})
	}
}

func (sim *simulation) reportBatches() {
	k := sim.anyOwner()
	if k.lender == nil {
		return
	}
	for _, draw := range k.lender.ReportDraws(k.vm.read(sim.now)) {
		sim.sendDraw(draw, func(Grant, bool) {})
	}
}

// check computes the worst window of all spends so far, with the rates and bursts
// that are in use at each owner at the time.
func (sim *simulation) check() error {
	burst := 0.0
	for _, b := range sim.maxBursts {
		burst += b
	}
	if worst := sim.worstSince(0); worst > burst+tolerance {
		return fmt.Errorf("spent %.6f beyond the rate in some window; burst %.6f", worst, burst)
	}
	return sim.checkNewest()
}

// checkNewest checks the windows that begin after every owner has the newest
// bundle and all older loans are over. There, the newest burst is the limit.
func (sim *simulation) checkNewest() error {
	for _, k := range sim.owners {
		if k.version != len(sim.versions)-1 {
			return nil
		}
	}
	burst := sim.versions[len(sim.versions)-1].Bundle.Workspaces[0].Burst
	if worst := sim.worstSince(sim.appliedAt + 2*sim.terms.LoanTTL); worst > burst+tolerance {
		return fmt.Errorf("spent %.6f beyond the rate in some window; newest burst %.6f", worst, burst)
	}
	return nil
}

// worstSince returns the excess of the worst window that begins at from or later.
func (sim *simulation) worstSince(from time.Duration) float64 {
	meter := NewMeter(0)
	next := 0
	for _, s := range sim.spends {
		for next < len(sim.rates) && sim.rates[next].at <= s.at {
			meter.SetRate(sim.rates[next].rate, sim.rates[next].at)
			next++
		}
		if !s.undone && s.at >= from {
			meter.Spend(1, s.at)
		}
	}
	return meter.Worst()
}

// checkHeld checks that no owner holds more than its burst.
func (sim *simulation) checkHeld() error {
	for _, k := range sim.owners {
		if k.lender == nil {
			continue
		}
		held := k.lender.Held(testWorkspace, k.vm.read(sim.now))
		if held > sim.maxBursts[k.zone]+tolerance {
			return fmt.Errorf("%s holds %.6f, burst %.6f", k.zone, held, sim.maxBursts[k.zone])
		}
	}
	return nil
}

func (sim *simulation) run(steps int, kinds []action) error {
	total := 0
	for _, a := range kinds {
		total += a.weight
	}
	for range steps {
		pick := sim.choose.Intn(total)
		i := 0
		for pick >= kinds[i].weight {
			pick -= kinds[i].weight
			i++
		}
		kinds[i].do(sim)
		sim.steps = append(sim.steps, kinds[i].name)
		if sim.fault == noFault && len(sim.violations) > 0 {
			return fmt.Errorf("invariant violated: %s", sim.violations[0])
		}
		if err := sim.checkHeld(); err != nil {
			return err
		}
		if err := sim.check(); err != nil {
			return err
		}
	}
	return nil
}

// runOnce stops at the first step after which the simulation's check fails or, if
// no fault is injected, the code under test has reported a violated invariant.
func runOnce(choose chooser, f fault, steps int) (*simulation, error) {
	sim := newSimulation(choose, f, 1+choose.Intn(4), 1+choose.Intn(5))
	kinds := actions
	if choose.Intn(2) == 0 {
		kinds = append(append([]action{}, actions...), bundleActions...)
	}
	return sim, sim.run(steps, kinds)
}

func TestSpendsStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, err := runOnce(rapidChooser{t}, noFault, 300); err != nil {
			t.Fatal(err)
		}
	})
}

func TestSpendsStayWithinRateAndBurstInLongRuns(t *testing.T) {
	spends := 0
	for seed := range uint64(150) {
		sim, err := runOnce(seeded(seed), noFault, 1500)
		assert.NilError(t, err, "seed %d", seed)
		spends += len(sim.spends)
	}
	t.Logf("%d spends", spends)
	assert.Assert(t, spends > 1000)
}

// Guards against a request that gives back a token which another request has spent
// and which is not yet reported.
func TestGiveBackOfReportedSpendStaysRefused(t *testing.T) {
	_, err := runOnce(seeded(739), noFault, 3000)
	assert.NilError(t, err)
}

// Each injected fault must be found. This shows that the checks above are effective.
func TestInjectedFaultsAreDetected(t *testing.T) {
	faults := []struct {
		name  string
		fault fault
		// from is a seed shortly before the first one that finds the fault.
		from uint64
	}{
		{"lender sends before it subtracts", faultSendBeforeSubtract, 0},
		{"successor starts with the full burst", faultSuccessorFullBurst, 0},
		{"successor does not wait for loans", faultSuccessorNoWait, 0},
		{"loan expires too early at the lender", faultEarlyLapse, 0},
		{"loan's time counts from the answer", faultExpiryFromAnswer, 0},
		{"reported spend is given back", faultGiveBackReported, 980},
		{"predecessor continues after handover", faultHandoverKeepsLender, 30},
		{"spends of one loan are counted twice", faultReportTwice, 1705},
		{"grant without a pending draw is counted", faultAcceptUnrequestedGrant, 0},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.from; seed < c.from+2000; seed++ {
				if sim, err := runOnce(seeded(seed), c.fault, 1500); err != nil {
					t.Logf("seed %d, step %d: %v", seed, len(sim.steps), err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// A running node must detect some of the faults by its own checks.
func TestInjectedFaultsViolateInvariants(t *testing.T) {
	faults := []struct {
		name      string
		fault     fault
		invariant string
	}{
		{"lender sends before it subtracts", faultSendBeforeSubtract, invariantLendsInRate},
		{"reported spend is given back", faultGiveBackReported, invariantReportedKept},
		{"spends of one loan are counted twice", faultReportTwice, invariantLoansAddUp},
		{"grant without a pending draw is counted", faultAcceptUnrequestedGrant, invariantLoanOnce},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(50) {
				sim, _ := runOnce(seeded(seed), c.fault, 1500)
				if slices.Contains(sim.violations, c.invariant) {
					t.Logf("seed %d, step %d", seed, len(sim.steps))
					return
				}
			}
			t.Error("not found")
		})
	}
}

// TestSoak runs for SOAK_MINUTES, with seeds from SOAK_SEED on.
func TestSoak(t *testing.T) {
	minutes, err := strconv.ParseFloat(os.Getenv("SOAK_MINUTES"), 64)
	if err != nil {
		t.Skip("SOAK_MINUTES is not set")
	}
	seed, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	first, end, steps, spends := seed, time.Now().Add(time.Duration(minutes*float64(time.Minute))), 0, 0
	for ; time.Now().Before(end); seed++ {
		sim, err := runOnce(seeded(seed), noFault, 3000)
		assert.NilError(t, err, "seed %d, step %d, last steps: %s", seed, len(sim.steps),
			strings.Join(sim.steps[max(0, len(sim.steps)-20):], ", "))
		steps += len(sim.steps)
		spends += len(sim.spends)
	}
	t.Logf("seeds %d to %d, %d steps, %d spends", first, seed-1, steps, spends)
}
