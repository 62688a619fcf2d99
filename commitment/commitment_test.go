package commitment

import (
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

type action struct {
	name   string
	weight int
	do     func(w *world)
}

var actions = []action{
	{"new payment", 20, (*world).newPayment},
	{"repeat", 25, func(w *world) {
		if n := len(w.payments); n > 0 {
			w.pay(w.payments[max(0, n-1-w.choose.Intn(8))])
		}
	}},
	{"look", 10, func(w *world) {
		if n := len(w.payments); n > 0 {
			w.look(w.payments[max(0, n-1-w.choose.Intn(8))])
		}
	}},
	{"begin again", 4, func(w *world) {
		if n := len(w.attempts); n > 0 {
			if a := w.attempts[max(0, n-1-w.choose.Intn(5))]; !a.ended && !a.dispatched {
				w.begin(a)
			}
		}
	}},
	{"deliver", 80, func(w *world) {
		for range 3 {
			w.deliver(0)
		}
	}},
	{"deliver out of order", 15, func(w *world) { w.deliver(w.choose.Intn(len(w.messages) + 1)) }},
	{"duplicate", 6, func(w *world) {
		if n := len(w.messages); n > 0 {
			w.messages = append(w.messages, w.messages[w.choose.Intn(n)])
		}
	}},
	{"drop", 4, func(w *world) {
		if n := len(w.messages); n > 0 {
			i := w.choose.Intn(n)
			w.messages = append(w.messages[:i], w.messages[i+1:]...)
		}
	}},
	{"time out", 4, func(w *world) {
		if n := len(w.attempts); n > 0 {
			w.timeOut(w.attempts[max(0, n-1-w.choose.Intn(6))])
		}
	}},
	{"short time", 30, func(w *world) { w.pass(time.Duration(w.choose.Intn(60)) * time.Millisecond) }},
	{"middle time", 4, func(w *world) { w.pass(time.Duration(w.choose.Intn(1500)) * time.Millisecond) }},
	{"long time", 1, func(w *world) { w.pass(time.Duration(w.choose.Intn(20)) * time.Second) }},
	{"kill owner", 2, func(w *world) { w.anyHolder().ledger = nil }},
	{"gain", 6, func(w *world) {
		if h := w.anyHolder(); h.ledger == nil {
			w.gain(h, nil)
		}
	}},
	{"hand over", 2, (*world).handOver},
	{"change layout", 1, (*world).changeLayout},
	{"adopt layout", 4, (*world).adoptLayout},
}

func (w *world) anyHolder() *holder { return w.holders[w.choose.Intn(len(w.holders))] }

func (w *world) deliver(i int) {
	if i >= len(w.messages) {
		return
	}
	m := w.messages[i]
	w.messages = append(w.messages[:i], w.messages[i+1:]...)
	m()
}

// timeOut ends an attempt at its entry node before an answer came.
func (w *world) timeOut(a *attempt) {
	a.ended = true
}

func (w *world) handOver() {
	h := w.anyHolder()
	if h.ledger == nil {
		return
	}
	state, epoch := h.ledger.Export(w.read(h.vm)), h.epoch
	h.ledger = nil
	w.send(func() {
		if h.epoch == epoch && h.ledger == nil {
			w.gain(h, state)
		}
	})
}

// changeLayout adds or removes a zone or shards, once the last change is in
// force everywhere.
func (w *world) changeLayout() {
	if w.now.Sub(w.changed) < w.terms.LayoutDelay {
		return
	}
	w.layouts = append(w.layouts, testLayout(1+w.choose.Intn(3), 1+w.choose.Intn(2)))
	w.changed = w.now
}

// adoptLayout puts the newest layout into force at one VM.
func (w *world) adoptLayout() {
	newest := len(w.layouts) - 1
	if w.choose.Intn(2) == 0 {
		w.entries[w.choose.Intn(len(w.entries))].layout = newest
		return
	}
	w.adoptAt(w.anyHolder(), newest)
}

func (w *world) adoptAt(h *holder, newest int) {
	if h.ledger == nil || h.vm.layout == newest {
		return
	}
	h.vm.layout = newest
	now := w.read(h.vm)
	h.ledger.Apply(w.layouts[newest], now)
	if w.fault == faultLayoutTrusted {
		h.ledger.movedFrom = time.Time{}
	}
}

// pass lets time go on; a layout is in force everywhere within its delay.
func (w *world) pass(d time.Duration) {
	if w.now.Add(d).Sub(w.changed) >= w.terms.LayoutDelay {
		for _, e := range w.entries {
			e.layout = len(w.layouts) - 1
		}
		for _, h := range w.holders {
			w.adoptAt(h, len(w.layouts)-1)
		}
	}
	w.now = w.now.Add(d)
}

func runOnce(choose chooser, f fault, steps int) (*world, error) {
	w := newWorld(choose, f)
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	for range steps {
		pick, i := w.choose.Intn(total), 0
		for pick >= actions[i].weight {
			pick -= actions[i].weight
			i++
		}
		actions[i].do(w)
		w.steps = append(w.steps, actions[i].name)
		if w.broken != nil {
			break
		}
	}
	return w, w.broken
}

func TestCommitmentsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, err := runOnce(rapidChooser{t}, noFault, 300); err != nil {
			t.Fatal(err)
		}
	})
}

func TestCommitmentsRunAtMostOnceInLongRuns(t *testing.T) {
	verdicts, looks, runs := make(map[Verdict]int), make(map[Verdict]int), 0
	for seed := range uint64(200) {
		w, err := runOnce(seeded(seed), noFault, 2000)
		assert.NilError(t, err, "seed %d, step %d", seed, len(w.steps))
		for verdict, n := range w.verdicts {
			verdicts[verdict] += n
		}
		for verdict, n := range w.looks {
			looks[verdict] += n
		}
		for _, p := range w.payments {
			runs += p.runs
		}
	}
	t.Logf("%d runs, verdicts %v, looks %v", runs, verdicts, looks)
	for _, verdict := range []Verdict{Unknown, Replay, InProgress, NotRun} {
		assert.Assert(t, looks[verdict] > 0, "look: %s", verdict)
	}
	for verdict := Unknown; verdict <= Unavailable; verdict++ {
		assert.Assert(t, verdicts[verdict] > 0 || verdict == Conflict || verdict == NotRun, "%s", verdict)
	}
}

// Each planted fault must be found, or the checks above prove little.
func TestPlantedFaultsAreFound(t *testing.T) {
	faults := []struct {
		name  string
		fault fault
		from  uint64
	}{
		{"successor trusts the absence of a record", faultSuccessorTrustsAbsence, 0},
		{"successor leaves no margin for clocks", faultNoSkewMargin, 0},
		{"record is made after the permission", faultRecordAfterDispatch, 0},
		{"late end of an earlier attempt releases", faultReleaseByOldAttempt, 0},
		{"fence admits a permission twice", faultFenceAllowsRepeats, 0},
		{"handover loses records", faultHandoverDropsRecords, 0},
		{"layout is trusted at once", faultLayoutTrusted, 0},
		{"record is forgotten within the window", faultForgetEarly, 0},
		{"key is called bad that another owner accepted", faultBadKeyTooSoon, 0},
		{"unknown outcome is taken as not run", faultUnknownReleased, 0},
		{"refusal is recorded that may go to another server", faultRefusalRecordedBesideServer, 0},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.from; seed < c.from+2000; seed++ {
				if w, err := runOnce(seeded(seed), c.fault, 2000); err != nil {
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
		{"record is made after the permission", faultRecordAfterDispatch, invariantAttemptsGrow},
		{"record is forgotten within the window", faultForgetEarly, invariantAttemptsGrow},
		{"unknown outcome is taken as not run", faultUnknownReleased, invariantOnePermission},
		{"fence admits a permission twice", faultFenceAllowsRepeats, invariantAdmittedOnce},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(100) {
				w, _ := runOnce(seeded(seed), c.fault, 2000)
				if slices.Contains(w.violations, c.invariant) {
					t.Logf("seed %d, step %d", seed, len(w.steps))
					return
				}
			}
			t.Error("not found")
		})
	}
}

// These two cannot be broken from outside: the ledger is told to.
func TestLedgerChecksItsRecords(t *testing.T) {
	var violations []string
	ledger := NewLedger(LedgerConfig{
		Violated: func(invariant string) { violations = append(violations, invariant) },
	}, testLayout(1, 1))
	ledger.move(&record{phase: phaseDone}, phaseUnknown)
	ledger.checkHandedOut(&record{phase: phaseRunning, attempt: 1})
	assert.DeepEqual(t, violations, []string{invariantDoneStays, invariantRecorded})
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
	first, end, steps, runs := seed, time.Now().Add(time.Duration(minutes*float64(time.Minute))), 0, 0
	for ; time.Now().Before(end); seed++ {
		w, err := runOnce(seeded(seed), noFault, 3000)
		assert.NilError(t, err, "seed %d, step %d, last steps: %s", seed, len(w.steps),
			strings.Join(w.steps[max(0, len(w.steps)-20):], ", "))
		steps += len(w.steps)
		for _, p := range w.payments {
			runs += p.runs
		}
	}
	t.Logf("seeds %d to %d, %d steps, %d runs", first, seed-1, steps, runs)
	assert.Assert(t, runs > 0)
}
