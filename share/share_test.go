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

// action is one kind of event; a run picks them by weight.
type action struct {
	name   string
	weight int
	do     func(w *world)
}

var actions = []action{
	{"take", 60, func(w *world) { w.onNode(w.take) }},
	{"burst of takes", 8, func(w *world) {
		w.onNode(func(v *vm) {
			for range 10 {
				w.take(v)
			}
		})
	}},
	{"deliver", 80, func(w *world) {
		for range 3 {
			w.deliver(0)
		}
	}},
	{"deliver out of order", 6, func(w *world) { w.deliver(w.choose.Intn(len(w.messages) + 1)) }},
	{"duplicate", 3, (*world).duplicate},
	{"drop", 3, (*world).drop},
	{"report", 10, func(w *world) { w.onNode(w.report) }},
	{"give back", 20, func(w *world) {
		if len(w.tickets) > 0 {
			w.giveBack(max(0, len(w.tickets)-1-w.choose.Intn(6)))
		}
	}},
	{"return lots", 5, (*world).returnLots},
	{"pause", 1, func(w *world) { w.anyNode().paused = true }},
	{"wake", 12, func(w *world) { w.anyNode().paused = false }},
	{"restart node", 1, func(w *world) { w.restart(w.anyNode()) }},
	{"short time", 40, func(w *world) { w.pass(time.Duration(w.choose.Intn(10)) * time.Millisecond) }},
	{"middle time", 4, func(w *world) { w.pass(time.Duration(w.choose.Intn(400)) * time.Millisecond) }},
	{"time of a loan", 2, func(w *world) { w.pass(w.terms.LoanTTL - 30*time.Millisecond) }},
	{"long time", 1, func(w *world) { w.pass(time.Duration(w.choose.Intn(5)) * time.Second) }},
	{"kill owner", 1, func(w *world) { w.anyKeeper().bank = nil }},
	{"gain", 4, func(w *world) {
		if k := w.anyKeeper(); k.bank == nil {
			w.gain(k, nil)
		}
	}},
	{"hand over", 1, func(w *world) {
		if k := w.anyKeeper(); k.bank != nil {
			w.handOver(k)
		}
	}},
}

var bundleActions = []action{
	{"change bundle", 1, (*world).change},
	{"apply bundle", 8, func(w *world) { w.apply(w.anyKeeper()) }},
}

func (w *world) anyNode() *vm { return w.nodes[w.choose.Intn(len(w.nodes))] }

func (w *world) anyKeeper() *keeper { return w.keepers[w.choose.Intn(len(w.keepers))] }

func (w *world) onNode(do func(*vm)) {
	if v := w.anyNode(); !v.paused {
		do(v)
	}
}

func (w *world) pass(d time.Duration) { w.now += d }

func (w *world) deliver(i int) {
	if i >= len(w.messages) {
		return
	}
	m := w.messages[i]
	w.messages = append(w.messages[:i], w.messages[i+1:]...)
	m.deliver()
}

func (w *world) duplicate() {
	if len(w.messages) > 0 {
		w.messages = append(w.messages, w.messages[w.choose.Intn(len(w.messages))])
	}
}

func (w *world) drop() {
	if len(w.messages) > 0 {
		i := w.choose.Intn(len(w.messages))
		w.messages = append(w.messages[:i], w.messages[i+1:]...)
	}
}

func (w *world) report(v *vm) {
	for _, draw := range v.wallet.Reports(v.read(w.now)) {
		w.sendDraw(draw, func(Grant, bool) {})
	}
}

func (w *world) returnLots() {
	k := w.anyKeeper()
	if k.bank == nil {
		return
	}
	for _, draw := range k.bank.Returns(k.vm.read(w.now)) {
		w.sendDraw(draw, func(Grant, bool) {})
	}
}

// check computes the worst window of all spends so far. Each owner's rate and
// burst count as they are in force there.
func (w *world) check() error {
	burst := 0.0
	for _, b := range w.highest {
		burst += b
	}
	if worst := w.worstSince(0); worst > burst+tolerance {
		return fmt.Errorf("spent %.6f beyond the rate in some window; burst %.6f", worst, burst)
	}
	return w.checkNewest()
}

// checkNewest looks at the windows that begin after every owner has the newest
// bundle and all former loans are over: the newest burst alone counts there.
func (w *world) checkNewest() error {
	for _, k := range w.keepers {
		if k.version != len(w.versions)-1 {
			return nil
		}
	}
	burst := w.versions[len(w.versions)-1].Bundle.Workspaces[0].Burst
	if worst := w.worstSince(w.applied + 2*w.terms.LoanTTL); worst > burst+tolerance {
		return fmt.Errorf("spent %.6f beyond the rate in some window; newest burst %.6f", worst, burst)
	}
	return nil
}

// worstSince returns the worst window that begins at from or later.
func (w *world) worstSince(from time.Duration) float64 {
	meter := NewMeter(0)
	next := 0
	for _, s := range w.spends {
		for next < len(w.rates) && w.rates[next].at <= s.at {
			meter.SetRate(w.rates[next].rate, w.rates[next].at)
			next++
		}
		if !s.undone && s.at >= from {
			meter.Spend(1, s.at)
		}
	}
	return meter.Worst()
}

// checkHeld checks at each owner that no more is held than its burst.
func (w *world) checkHeld() error {
	for _, k := range w.keepers {
		if k.bank == nil {
			continue
		}
		held := k.bank.Held(testWorkspace, k.vm.read(w.now))
		if held > w.highest[k.zone]+tolerance {
			return fmt.Errorf("%s holds %.6f, burst %.6f", k.zone, held, w.highest[k.zone])
		}
	}
	return nil
}

func (w *world) run(steps int, kinds []action) error {
	total := 0
	for _, a := range kinds {
		total += a.weight
	}
	for range steps {
		pick := w.choose.Intn(total)
		i := 0
		for pick >= kinds[i].weight {
			pick -= kinds[i].weight
			i++
		}
		kinds[i].do(w)
		w.steps = append(w.steps, kinds[i].name)
		if w.fault == noFault && len(w.violations) > 0 {
			return fmt.Errorf("the program found: %s", w.violations[0])
		}
		if err := w.checkHeld(); err != nil {
			return err
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

// runOnce ends at the first step after which a check from outside fails or,
// where no fault is planted, the program itself has found an invariant broken.
func runOnce(choose chooser, f fault, steps int) (*world, error) {
	w := newWorld(choose, f, 1+choose.Intn(4), 1+choose.Intn(5))
	kinds := actions
	if choose.Intn(2) == 0 {
		kinds = append(append([]action{}, actions...), bundleActions...)
	}
	return w, w.run(steps, kinds)
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
		w, err := runOnce(seeded(seed), noFault, 1500)
		assert.NilError(t, err, "seed %d", seed)
		spends += len(w.spends)
	}
	t.Logf("%d spends", spends)
	assert.Assert(t, spends > 1000)
}

// A request gave back the token that another one, not yet reported, had spent.
func TestGiveBackOfReportedSpendStaysRefused(t *testing.T) {
	_, err := runOnce(seeded(739), noFault, 3000)
	assert.NilError(t, err)
}

// Each planted fault must be found, or the checks above prove little.
func TestPlantedFaultsAreFound(t *testing.T) {
	faults := []struct {
		name  string
		fault fault
		// from is a seed a little before the first that finds it.
		from uint64
	}{
		{"lender sends before it subtracts", faultSendBeforeSubtract, 0},
		{"successor starts with the full burst", faultSuccessorFullBurst, 0},
		{"successor does not wait for loans", faultSuccessorNoWait, 0},
		{"loan is counted back too early", faultEarlyLapse, 0},
		{"loan's time counts from the answer", faultLateReadExpiry, 0},
		{"reported spend is given back", faultGiveBackReported, 980},
		{"predecessor goes on after handover", faultHandoverKeepsBank, 30},
		{"spends of one loan are counted twice", faultReportTwice, 1705},
		{"answer without a pending draw is counted", faultAcceptUnaskedAnswer, 0},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.from; seed < c.from+2000; seed++ {
				if w, err := runOnce(seeded(seed), c.fault, 1500); err != nil {
					t.Logf("seed %d, step %d: %v", seed, len(w.steps), err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// A running node must count some of them by itself.
func TestPlantedFaultsAreFoundByTheProgram(t *testing.T) {
	faults := []struct {
		name      string
		fault     fault
		invariant string
	}{
		{"lender sends before it subtracts", faultSendBeforeSubtract, invariantLendsInRate},
		{"reported spend is given back", faultGiveBackReported, invariantReportedKept},
		{"spends of one loan are counted twice", faultReportTwice, invariantLoansAddUp},
		{"answer without a pending draw is counted", faultAcceptUnaskedAnswer, invariantLoanOnce},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(50) {
				w, _ := runOnce(seeded(seed), c.fault, 1500)
				if slices.Contains(w.violations, c.invariant) {
					t.Logf("seed %d, step %d", seed, len(w.steps))
					return
				}
			}
			t.Error("not found")
		})
	}
}

// TestSoak runs for SOAK_MINUTES from SOAK_SEED on.
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
		w, err := runOnce(seeded(seed), noFault, 3000)
		assert.NilError(t, err, "seed %d, step %d, last steps: %s", seed, len(w.steps),
			strings.Join(w.steps[max(0, len(w.steps)-20):], ", "))
		steps += len(w.steps)
		spends += len(w.spends)
	}
	t.Logf("seeds %d to %d, %d steps, %d spends", first, seed-1, steps, spends)
}
