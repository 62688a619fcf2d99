package share

import (
	"fmt"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

// chooser makes the random choices of a run: rapid, or a seeded source.
type chooser interface {
	Intn(n int) int
}

// fault is a mistake that is injected to check that the simulation finds it.
type fault int

const (
	noFault fault = iota
	faultSendBeforeSubtract
	faultSuccessorFullBurst
	faultSuccessorNoWait
	faultEarlyLapse
	faultExpiryFromAnswer
	faultGiveBackReported
	faultHandoverKeepsLender
	faultReportTwice
	faultAcceptUnrequestedGrant
)

const testWorkspace = "school"

// tolerance covers rounding over a whole run, in tokens.
const tolerance = 1e-5

// vm is a VM whose clock runs at its own rate from its own origin.
type vm struct {
	zone   string
	origin time.Duration
	speed  float64
	paused bool
	cache  *TokenCache
	// waiting counts the requests that wait for an answer.
	waiting int
}

func (v *vm) read(real time.Duration) time.Duration {
	return v.origin + time.Duration(float64(real)*v.speed)
}

// shardOwner is one zone's shard: the VM that owns it and its lender, nil while
// there is no owner.
type shardOwner struct {
	zone    string
	vm      *vm
	lender  *Lender
	epoch   uint64
	version int
}

type message struct {
	deliver func()
}

type ticket struct {
	vm    *vm
	spend Spend
	index int
}

type spend struct {
	at     time.Duration
	undone bool
}

type rateChange struct {
	at   time.Duration
	rate float64
}

// simulation connects nodes and owners of several zones by a faulty network.
type simulation struct {
	choose   chooser
	fault    fault
	terms    Terms
	now      time.Duration
	nodes    []*vm
	owners   []*shardOwner
	messages []message
	tickets  []ticket
	spends   []spend
	rates    []rateChange
	versions []*bundle.Index
	// maxBursts holds the largest burst that each zone ever had.
	maxBursts map[string]float64
	// appliedAt is when an owner last applied another bundle.
	appliedAt time.Duration
	steps     []string
	// violations are the invariants that the code under test has reported as violated.
	violations []string
}

func (sim *simulation) onViolation(invariant string) {
	sim.violations = append(sim.violations, invariant)
}

func newSimulation(choose chooser, f fault, zones, nodes int) *simulation {
	sim := &simulation{
		choose: choose, fault: f,
		terms:     Terms{ClockBound: 0.01}.withDefaults(),
		maxBursts: make(map[string]float64),
	}
	sim.versions = []*bundle.Index{testIndex(zones, float64(1+choose.Intn(40)), float64(1+choose.Intn(20)), nil)}
	for i := range zones {
		zone := sim.versions[0].Bundle.Zones[i].Name
		sim.owners = append(sim.owners, &shardOwner{zone: zone})
		for range nodes {
			sim.nodes = append(sim.nodes, sim.newVM(zone))
		}
		sim.gain(sim.owners[i], nil)
	}
	return sim
}

func testIndex(zones int, rate, burst float64, shares map[string]float64) *bundle.Index {
	b := &bundle.Bundle{Workspaces: []bundle.Workspace{{
		Name: testWorkspace, Rate: rate, Burst: burst, ZoneShares: shares,
	}}}
	for i := range zones {
		b.Zones = append(b.Zones, bundle.Zone{Name: fmt.Sprintf("zone%d", i), Shards: 1})
	}
	return bundle.NewIndex(b)
}

func (sim *simulation) newVM(zone string) *vm {
	bound := sim.terms.ClockBound
	speeds := []float64{1, 1 + bound, 1 - bound}
	v := &vm{
		zone: zone, origin: time.Duration(sim.choose.Intn(1000)) * time.Second,
		speed: speeds[sim.choose.Intn(len(speeds))],
	}
	sim.restart(v)
	return v
}

func (sim *simulation) restart(v *vm) {
	v.waiting = 0
	v.cache = NewTokenCache(TokenCacheConfig{Zone: v.zone, OnViolation: sim.onViolation})
	v.cache.Apply(sim.versions[0])
}

func (sim *simulation) shardOwner(zone string) *shardOwner {
	for _, k := range sim.owners {
		if k.zone == zone {
			return k
		}
	}
	return nil
}

// gain makes another VM the owner of a shard.
func (sim *simulation) gain(k *shardOwner, state *peerpb.ShareState) {
	k.epoch++
	k.vm = sim.newVM(k.zone)
	now := k.vm.read(sim.now)
	k.lender = NewLender(LenderConfig{
		Zone: k.zone, Epoch: k.epoch, GainedAt: now, Terms: sim.terms, State: state, OnViolation: sim.onViolation,
	})
	if sim.fault == faultSuccessorNoWait && state == nil {
		k.lender.config.GainedAt = now - time.Hour
	}
	k.version = len(sim.versions) - 1
	k.lender.Apply(sim.versions[k.version], now)
	sim.appliedAt = sim.now
	sim.recordLimits(k)
	if sim.fault == faultSuccessorFullBurst && state == nil {
		a := k.lender.accounts[testWorkspace]
		a.accruedUntil, a.free = now, a.spareCapacity(now)
	}
}

// recordLimits records the zone's rate and burst by its active bundle.
func (sim *simulation) recordLimits(k *shardOwner) {
	l := k.lender.accounts[testWorkspace].limits
	sim.maxBursts[k.zone] = max(sim.maxBursts[k.zone], l.burst*l.share)
	sim.recordRate()
}

func (sim *simulation) recordRate() {
	sum := 0.0
	for _, k := range sim.owners {
		if k.lender != nil {
			l := k.lender.accounts[testWorkspace].limits
			sum += l.rate * l.share
		} else if k.vm != nil {
			index := sim.versions[k.version]
			sum += index.Bundle.Workspaces[0].Rate * index.ZoneShare(&index.Bundle.Workspaces[0], k.zone)
		}
	}
	sim.rates = append(sim.rates, rateChange{at: sim.now, rate: sum})
}

// send puts a message on the network.
func (sim *simulation) send(deliver func()) {
	sim.messages = append(sim.messages, message{deliver: deliver})
}

// sendDraw delivers a draw to its lender and the grant back.
func (sim *simulation) sendDraw(d Draw, answer func(Grant, bool)) {
	sim.send(func() {
		k := sim.shardOwner(d.LenderZone)
		if k.lender == nil {
			return
		}
		grant, ok := sim.lend(k, d)
		sim.send(func() { answer(grant, ok) })
		sim.borrowMissing(k, d)
	})
}

// lend draws from a lender and applies the injected faults in lending.
func (sim *simulation) lend(k *shardOwner, d Draw) (Grant, bool) {
	now := k.vm.read(sim.now)
	if sim.fault == faultReportTwice {
		sim.countReportsTwice(k, d)
	}
	grant, ok := k.lender.Draw(d, now)
	if !ok || grant.Tokens == 0 {
		return grant, ok
	}
	a := k.lender.accounts[testWorkspace]
	l := a.loans[grant.Loan]
	switch sim.fault {
	case faultSendBeforeSubtract:
		a.free += l.own
		a.removeLoan(l.id, l)
	case faultEarlyLapse:
		l.lapsesAt = now + l.ttl/2
		a.nextExpiry = min(a.nextExpiry, l.lapsesAt)
	}
	return grant, ok
}

// countReportsTwice frees the burst again for spends that were counted before.
func (sim *simulation) countReportsTwice(k *shardOwner, d Draw) {
	a := k.lender.accounts[testWorkspace]
	for _, r := range d.Reports {
		if l, ok := a.loans[r.Loan]; ok {
			a.lent = max(0, a.lent-min(r.Spent, l.spent))
		}
	}
}

// borrowMissing lets a lender that lacked tokens ask the other zones.
func (sim *simulation) borrowMissing(k *shardOwner, d Draw) {
	if !d.Whole || !d.Collect {
		return
	}
	lender, v := k.lender, k.vm
	askedAt := v.read(sim.now)
	for _, draw := range lender.BorrowDraws(testWorkspace, max(1, d.Need), askedAt) {
		sim.sendDraw(draw, func(grant Grant, ok bool) {
			if !ok {
				lender.DrawFailed(testWorkspace, draw.LenderZone, draw.ID, v.read(sim.now))
				return
			}
			lender.HandleGrant(testWorkspace, draw.LenderZone, grant, askedAt, v.read(sim.now))
		})
	}
}

// sendNodeDraw sends a node's draw.
func (sim *simulation) sendNodeDraw(v *vm, need int) {
	draw := v.cache.Draw(testWorkspace, need, v.read(sim.now))
	cache := v.cache
	sim.sendDraw(draw, func(grant Grant, ok bool) {
		if cache != v.cache || v.paused {
			return
		}
		now := v.read(sim.now)
		if !ok {
			if cache.DrawFailed(testWorkspace, draw.ID, now) {
				sim.sendNodeDraw(v, need)
			}
			return
		}
		p := cache.balance(testWorkspace)
		switch sim.fault {
		case faultExpiryFromAnswer:
			p.askedAt = now
		case faultAcceptUnrequestedGrant:
			p.pending = grant.ID
		}
		if cache.HandleGrant(testWorkspace, grant, now) {
			sim.sendNodeDraw(v, need)
			return
		}
		sim.serveWaiting(v)
	})
}

// take handles one request at a node.
func (sim *simulation) take(v *vm) {
	sim.handleDecision(v, v.cache.Take(testWorkspace, v.read(sim.now)))
}

// serveWaiting decides again on the waiting requests.
func (sim *simulation) serveWaiting(v *vm) {
	waiting := v.waiting
	v.waiting = 0
	for range waiting {
		sim.handleDecision(v, v.cache.Retake(testWorkspace, v.read(sim.now)))
	}
}

func (sim *simulation) handleDecision(v *vm, decision Decision) {
	switch decision.Verdict {
	case Taken:
		sim.tickets = append(sim.tickets, ticket{vm: v, spend: decision.Spend, index: len(sim.spends)})
		sim.spends = append(sim.spends, spend{at: sim.now})
	case Wait:
		v.waiting++
	}
	if decision.SendDraw {
		sim.sendNodeDraw(v, v.waiting)
	}
}

// giveBack ends a request as not run.
func (sim *simulation) giveBack(i int) {
	t := sim.tickets[i]
	sim.tickets = append(sim.tickets[:i], sim.tickets[i+1:]...)
	if t.vm.paused {
		return
	}
	p := t.vm.cache.balance(testWorkspace)
	if sim.fault == faultGiveBackReported {
		for j := range p.loans[:p.count] {
			t.spend.reports = p.loans[j].reports
		}
	}
	if t.vm.cache.GiveBack(testWorkspace, t.spend, t.vm.read(sim.now)) {
		sim.spends[t.index].undone = true
	}
}

// handOver lets an owner stop and another one continue with its state, which may
// get lost.
func (sim *simulation) handOver(k *shardOwner) {
	lender, now := k.lender, k.vm.read(sim.now)
	if sim.fault != faultHandoverKeepsLender {
		defer func() { k.lender = nil }()
	}
	state := lender.Export(now)
	if sim.fault == faultHandoverKeepsLender {
		k.lender = NewLender(LenderConfig{Zone: k.zone, Epoch: k.epoch, Terms: sim.terms, State: state, OnViolation: sim.onViolation})
		k.lender.Apply(sim.versions[k.version], now)
	}
	epoch := k.epoch
	sim.send(func() {
		if k.epoch == epoch {
			sim.gain(k, state)
		}
	})
}

// publish publishes a bundle with another rate, burst and split.
func (sim *simulation) publish() {
	zones := len(sim.owners)
	shares := map[string]float64{}
	for _, k := range sim.owners {
		shares[k.zone] = 0
	}
	parts := 4
	for range parts {
		shares[sim.owners[sim.choose.Intn(zones)].zone] += 1 / float64(parts)
	}
	index := testIndex(zones, float64(1+sim.choose.Intn(40)), float64(1+sim.choose.Intn(20)), shares)
	sim.versions = append(sim.versions, index)
}

// apply applies the newest bundle at one owner.
func (sim *simulation) apply(k *shardOwner) {
	if k.lender == nil || k.version == len(sim.versions)-1 {
		return
	}
	k.version = len(sim.versions) - 1
	k.lender.Apply(sim.versions[k.version], k.vm.read(sim.now))
	sim.appliedAt = sim.now
	sim.recordLimits(k)
}
