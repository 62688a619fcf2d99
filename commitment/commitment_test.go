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
	do     func(s *ledgerSim)
}

var actions = []action{
	{"new payment", 20, (*ledgerSim).newPayment},
	{"repeat", 25, func(s *ledgerSim) {
		if n := len(s.payments); n > 0 {
			s.pay(s.payments[max(0, n-1-s.choose.Intn(8))])
		}
	}},
	{"look", 10, func(s *ledgerSim) {
		if n := len(s.payments); n > 0 {
			s.lookup(s.payments[max(0, n-1-s.choose.Intn(8))])
		}
	}},
	{"begin again", 4, func(s *ledgerSim) {
		if n := len(s.attempts); n > 0 {
			if a := s.attempts[max(0, n-1-s.choose.Intn(5))]; !a.ended && !a.dispatched {
				s.begin(a)
			}
		}
	}},
	{"deliver", 80, func(s *ledgerSim) {
		for range 3 {
			s.deliver(0)
		}
	}},
	{"deliver out of order", 15, func(s *ledgerSim) { s.deliver(s.choose.Intn(len(s.messages) + 1)) }},
	{"duplicate", 6, func(s *ledgerSim) {
		if n := len(s.messages); n > 0 {
			s.messages = append(s.messages, s.messages[s.choose.Intn(n)])
		}
	}},
	{"drop", 4, func(s *ledgerSim) {
		if n := len(s.messages); n > 0 {
			i := s.choose.Intn(n)
			s.messages = append(s.messages[:i], s.messages[i+1:]...)
		}
	}},
	{"time out", 4, func(s *ledgerSim) {
		if n := len(s.attempts); n > 0 {
			s.timeOut(s.attempts[max(0, n-1-s.choose.Intn(6))])
		}
	}},
	{"short time", 30, func(s *ledgerSim) { s.advance(time.Duration(s.choose.Intn(60)) * time.Millisecond) }},
	{"middle time", 4, func(s *ledgerSim) { s.advance(time.Duration(s.choose.Intn(1500)) * time.Millisecond) }},
	{"long time", 1, func(s *ledgerSim) { s.advance(time.Duration(s.choose.Intn(20)) * time.Second) }},
	{"kill owner", 2, func(s *ledgerSim) { s.anyShard().ledger = nil }},
	{"gain", 6, func(s *ledgerSim) {
		if shard := s.anyShard(); shard.ledger == nil {
			s.acquire(shard, nil)
		}
	}},
	{"hand over", 2, (*ledgerSim).handOver},
	{"change layout", 1, (*ledgerSim).changeLayout},
	{"adopt layout", 4, (*ledgerSim).applyLayout},
}

func (s *ledgerSim) anyShard() *simShard { return s.shards[s.choose.Intn(len(s.shards))] }

func (s *ledgerSim) deliver(i int) {
	if i >= len(s.messages) {
		return
	}
	m := s.messages[i]
	s.messages = append(s.messages[:i], s.messages[i+1:]...)
	m()
}

// timeOut ends an attempt at its entry node before an answer arrives.
func (s *ledgerSim) timeOut(a *attempt) {
	a.ended = true
}

func (s *ledgerSim) handOver() {
	shard := s.anyShard()
	if shard.ledger == nil {
		return
	}
	state, epoch := shard.ledger.Export(s.wallClock(shard.vm)), shard.epoch
	shard.ledger = nil
	s.send(func() {
		if shard.epoch == epoch && shard.ledger == nil {
			s.acquire(shard, state)
		}
	})
}

// changeLayout adds or removes a zone or shards, once the previous change is
// active on all nodes.
func (s *ledgerSim) changeLayout() {
	if s.now.Sub(s.layoutChangedAt) < s.limits.LayoutDelay {
		return
	}
	s.layouts = append(s.layouts, testLayout(1+s.choose.Intn(3), 1+s.choose.Intn(2)))
	s.layoutChangedAt = s.now
}

// applyLayout makes the newest layout active on one VM.
func (s *ledgerSim) applyLayout() {
	newest := len(s.layouts) - 1
	if s.choose.Intn(2) == 0 {
		s.entries[s.choose.Intn(len(s.entries))].layout = newest
		return
	}
	s.applyLayoutAt(s.anyShard(), newest)
}

func (s *ledgerSim) applyLayoutAt(shard *simShard, newest int) {
	if shard.ledger == nil || shard.vm.layout == newest {
		return
	}
	shard.vm.layout = newest
	now := s.wallClock(shard.vm)
	shard.ledger.Apply(s.layouts[newest], now)
	if s.fault == faultLayoutTrusted {
		shard.ledger.movedSafeFrom = time.Time{}
	}
}

// advance moves the time forward. A layout becomes active on all nodes within
// LayoutDelay.
func (s *ledgerSim) advance(d time.Duration) {
	if s.now.Add(d).Sub(s.layoutChangedAt) >= s.limits.LayoutDelay {
		for _, e := range s.entries {
			e.layout = len(s.layouts) - 1
		}
		for _, shard := range s.shards {
			s.applyLayoutAt(shard, len(s.layouts)-1)
		}
	}
	s.now = s.now.Add(d)
}

func runOnce(choose chooser, f fault, steps int) (*ledgerSim, error) {
	s := newLedgerSim(choose, f)
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	for range steps {
		pick, i := s.choose.Intn(total), 0
		for pick >= actions[i].weight {
			pick -= actions[i].weight
			i++
		}
		actions[i].do(s)
		s.steps = append(s.steps, actions[i].name)
		if s.checkErr != nil {
			break
		}
	}
	return s, s.checkErr
}

func TestCommitmentsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, err := runOnce(rapidChooser{t}, noFault, 300); err != nil {
			t.Fatal(err)
		}
	})
}

func TestCommitmentsRunAtMostOnceInLongRuns(t *testing.T) {
	verdicts, lookups, runs := make(map[Verdict]int), make(map[Verdict]int), 0
	for seed := range uint64(200) {
		s, err := runOnce(seeded(seed), noFault, 2000)
		assert.NilError(t, err, "seed %d, step %d", seed, len(s.steps))
		for verdict, n := range s.verdicts {
			verdicts[verdict] += n
		}
		for verdict, n := range s.lookups {
			lookups[verdict] += n
		}
		for _, p := range s.payments {
			runs += p.runs
		}
	}
	t.Logf("%d runs, verdicts %v, looks %v", runs, verdicts, lookups)
	for _, verdict := range []Verdict{Unknown, Replay, InProgress, NotRun} {
		assert.Assert(t, lookups[verdict] > 0, "lookup: %s", verdict)
	}
	for verdict := Unknown; verdict <= Unavailable; verdict++ {
		assert.Assert(t, verdicts[verdict] > 0 || verdict == Conflict || verdict == NotRun, "%s", verdict)
	}
}

// Each injected fault must be detected, otherwise the tests above prove little.
func TestInjectedFaultsAreDetected(t *testing.T) {
	faults := []struct {
		name  string
		fault fault
		from  uint64
	}{
		{"successor trusts the absence of a record", faultSuccessorTrustsAbsence, 0},
		{"successor leaves no margin for clock skew", faultNoSkewMargin, 0},
		{"record is made after the permission", faultRecordAfterDispatch, 0},
		{"late outcome of an earlier attempt releases the key", faultReleaseByOldAttempt, 0},
		{"fence admits a permission twice", faultFenceAllowsRepeats, 0},
		{"handover loses records", faultHandoverDropsRecords, 0},
		{"layout counts as active everywhere at once", faultLayoutTrusted, 0},
		{"record is removed within the retention window", faultForgetEarly, 0},
		{"key that another owner accepted is rejected as bad", faultBadKeyTooSoon, 0},
		{"refusal is recorded before a retry at another server", faultRefusalRecordedAtServer, 0},
		{"unknown outcome is treated as not run", faultUnknownReleased, 0},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.from; seed < c.from+2000; seed++ {
				if s, err := runOnce(seeded(seed), c.fault, 2000); err != nil {
					t.Logf("seed %d, step %d: %v", seed, len(s.steps), err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// The invariant checks of a running node must detect some of the faults as well.
func TestInjectedFaultsViolateInvariants(t *testing.T) {
	faults := []struct {
		name      string
		fault     fault
		invariant string
	}{
		{"record is made after the permission", faultRecordAfterDispatch, invariantAttemptsGrow},
		{"record is removed within the retention window", faultForgetEarly, invariantAttemptsGrow},
		{"unknown outcome is treated as not run", faultUnknownReleased, invariantOnePermission},
		{"fence admits a permission twice", faultFenceAllowsRepeats, invariantAdmittedOnce},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(100) {
				s, _ := runOnce(seeded(seed), c.fault, 2000)
				if slices.Contains(s.violations, c.invariant) {
					t.Logf("seed %d, step %d", seed, len(s.steps))
					return
				}
			}
			t.Error("not found")
		})
	}
}

// These two invariants cannot be violated from outside, so the test calls
// unexported methods.
func TestLedgerChecksInvariants(t *testing.T) {
	var violations []string
	ledger := NewLedger(LedgerConfig{
		OnViolation: func(invariant string) { violations = append(violations, invariant) },
	}, testLayout(1, 1))
	ledger.setPhase(&record{phase: phaseDone}, phaseUnknown)
	ledger.checkHandedOut(&record{phase: phaseRunning, attempt: 1})
	assert.DeepEqual(t, violations, []string{invariantDoneStays, invariantRecorded})
}

// TestSoak runs for SOAK_MINUTES with successive seeds, starting at SOAK_SEED.
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
		s, err := runOnce(seeded(seed), noFault, 3000)
		assert.NilError(t, err, "seed %d, step %d, last steps: %s", seed, len(s.steps),
			strings.Join(s.steps[max(0, len(s.steps)-20):], ", "))
		steps += len(s.steps)
		for _, p := range s.payments {
			runs += p.runs
		}
	}
	t.Logf("seeds %d to %d, %d steps, %d runs", first, seed-1, steps, runs)
	assert.Assert(t, runs > 0)
}
