package commitment

import (
	"fmt"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
	"auburngap/request"
)

// chooser makes the random choices of a run, from rapid or from a seeded source.
type chooser interface {
	Intn(n int) int
}

// fault is a fault that is injected to check that the tests detect it.
type fault int

const (
	noFault fault = iota
	faultSuccessorTrustsAbsence
	faultNoSkewMargin
	faultRecordAfterDispatch
	faultReleaseByOldAttempt
	faultFenceAllowsRepeats
	faultHandoverDropsRecords
	faultLayoutTrusted
	faultForgetEarly
	faultBadKeyTooSoon
	faultRefusalRecordedAtServer
	faultUnknownReleased
)

// simVM is a VM with its own wall clock and active layout.
type simVM struct {
	offset time.Duration
	layout int
}

// simShard is a shard and the ledger of its owner, which is nil while there is no
// owner.
type simShard struct {
	shardID ShardID
	vm      *simVM
	ledger  *Ledger
	epoch   uint64
}

// payment is an operation that a caller wants to run once.
type payment struct {
	key  Key
	runs int
	// answer is the answer of the first run.
	answer string
}

// attempt is one request for a payment at an entry node.
type attempt struct {
	payment *payment
	// started bounds the attempt: a request's deadline is within RunTimeout.
	started    time.Time
	id         request.ID
	entry      *simVM
	dispatched bool
	ended      bool
	// reportedNotRun is true once the caller has been told that the attempt has
	// not run.
	reportedNotRun bool
}

type ledgerSim struct {
	choose          chooser
	fault           fault
	limits          Limits
	now             time.Time
	layouts         []Layout
	layoutChangedAt time.Time
	shards          []*simShard
	entries         []*simVM
	fences          []*Fence
	fenceVMs        []*simVM
	payments        []*payment
	attempts        []*attempt
	messages        []func()
	lastID          uint64
	verdicts        map[Verdict]int
	lookups         map[Verdict]int
	steps           []string
	checkErr        error
	// violations are the names of the invariants that did not hold.
	violations []string
}

// onViolation fails the run unless a fault is injected.
func (s *ledgerSim) onViolation(invariant string) {
	s.violations = append(s.violations, invariant)
	if s.fault == noFault {
		s.fail("invariant violated: %s", invariant)
	}
}

func newLedgerSim(choose chooser, f fault) *ledgerSim {
	s := &ledgerSim{
		choose: choose, fault: f, now: time.UnixMilli(1_800_000_000_000),
		limits: Limits{
			Retention: 30 * time.Second, ClockSkew: 100 * time.Millisecond, MaxAhead: time.Second,
			LayoutDelay: 3 * time.Second, PermissionTTL: time.Second, RunTimeout: 4 * time.Second,
		}.withDefaults(),
		verdicts: make(map[Verdict]int),
		lookups:  make(map[Verdict]int),
	}
	s.layouts = []Layout{testLayout(1+choose.Intn(2), 1)}
	for zone := range 3 {
		for index := range 2 {
			s.shards = append(s.shards, &simShard{shardID: ShardID{Zone: zoneName(zone), Shard: index}})
		}
	}
	for range 3 {
		s.entries = append(s.entries, s.newVM())
		s.fences = append(s.fences, NewFence(FenceConfig{Limits: s.limits, OnViolation: s.onViolation}))
		s.fenceVMs = append(s.fenceVMs, s.newVM())
	}
	s.layoutChangedAt = s.now.Add(-time.Hour)
	for _, shard := range s.shards {
		s.acquire(shard, nil)
	}
	return s
}

func zoneName(i int) string { return fmt.Sprintf("zone%d", i) }

func testLayout(zones, shards int) Layout {
	b := &bundle.Bundle{}
	for i := range zones {
		b.Zones = append(b.Zones, bundle.Zone{Name: zoneName(i), Shards: shards})
	}
	return NewLayout(bundle.NewIndex(b))
}

func (s *ledgerSim) newVM() *simVM {
	skew := int(s.limits.ClockSkew / time.Millisecond)
	return &simVM{offset: time.Duration(s.choose.Intn(2*skew+1)-skew) * time.Millisecond, layout: len(s.layouts) - 1}
}

func (s *ledgerSim) wallClock(vm *simVM) time.Time { return s.now.Add(vm.offset) }

func (s *ledgerSim) send(deliver func()) { s.messages = append(s.messages, deliver) }

func (s *ledgerSim) shardOf(shardID ShardID) *simShard {
	for _, shard := range s.shards {
		if shard.shardID == shardID {
			return shard
		}
	}
	return nil
}

// acquire assigns a shard to a new owner.
func (s *ledgerSim) acquire(shard *simShard, state *peerpb.LedgerState) {
	shard.epoch++
	shard.vm = s.newVM()
	if s.now.Sub(s.layoutChangedAt) < s.limits.LayoutDelay && s.choose.Intn(2) == 0 {
		shard.vm.layout = max(0, len(s.layouts)-2)
	}
	config := LedgerConfig{
		ShardID: shard.shardID, Epoch: shard.epoch, GainedAt: s.wallClock(shard.vm), LayoutSince: s.wallClock(shard.vm), Limits: s.limits, State: state,
		OnViolation: s.onViolation,
	}
	if s.choose.Intn(2) == 0 && shard.vm.layout == len(s.layouts)-1 {
		// The VM was running before the layout changed.
		config.LayoutSince = s.layoutChangedAt.Add(shard.vm.offset)
	}
	if s.fault == faultHandoverDropsRecords && state != nil {
		state.Records = nil
	}
	if s.fault == faultLayoutTrusted {
		config.LayoutSince = config.LayoutSince.Add(-time.Hour)
	}
	shard.ledger = NewLedger(config, s.layouts[shard.vm.layout])
	if s.fault == faultSuccessorTrustsAbsence && state == nil {
		shard.ledger.safeFrom = time.Time{}
	}
	if s.fault == faultNoSkewMargin && state == nil {
		shard.ledger.safeFrom = config.GainedAt
	}
}

func (s *ledgerSim) fail(format string, args ...any) {
	if s.checkErr == nil {
		s.checkErr = fmt.Errorf(format, args...)
	}
}
