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

// fault is a mistake that is planted to see that the checks find it.
type fault int

const (
	noFault fault = iota
	faultSendBeforeSubtract
	faultSuccessorFullBurst
	faultSuccessorNoWait
	faultEarlyLapse
	faultLateReadExpiry
	faultGiveBackReported
	faultHandoverKeepsBank
	faultReportTwice
	faultAcceptUnaskedAnswer
)

const testWorkspace = "school"

// tolerance covers rounding over a whole run, in tokens.
const tolerance = 1e-5

// vm has a clock that runs at its own rate from its own origin.
type vm struct {
	zone   string
	origin time.Duration
	speed  float64
	paused bool
	wallet *Wallet
	// waiting counts the requests that wait for an answer.
	waiting int
}

func (v *vm) read(real time.Duration) time.Duration {
	return v.origin + time.Duration(float64(real)*v.speed)
}

// keeper is one zone's shard: the VM that owns it and its bank, nil between
// owners.
type keeper struct {
	zone    string
	vm      *vm
	bank    *Bank
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

// world joins nodes and owners of several zones by a faulty network.
type world struct {
	choose   chooser
	fault    fault
	terms    Terms
	now      time.Duration
	nodes    []*vm
	keepers  []*keeper
	messages []message
	tickets  []ticket
	spends   []spend
	rates    []rateChange
	versions []*bundle.Index
	// highest is the largest burst that each zone ever had.
	highest map[string]float64
	// applied is when an owner last took in another bundle.
	applied time.Duration
	steps   []string
	// violations are the invariants that the program found not to hold.
	violations []string
}

func (w *world) violated(invariant string) { w.violations = append(w.violations, invariant) }

func newWorld(choose chooser, f fault, zones, nodes int) *world {
	w := &world{
		choose: choose, fault: f,
		terms:   Terms{ClockBound: 0.01}.withDefaults(),
		highest: make(map[string]float64),
	}
	w.versions = []*bundle.Index{testIndex(zones, float64(1+choose.Intn(40)), float64(1+choose.Intn(20)), nil)}
	for i := range zones {
		zone := w.versions[0].Bundle.Zones[i].Name
		w.keepers = append(w.keepers, &keeper{zone: zone})
		for range nodes {
			w.nodes = append(w.nodes, w.newVM(zone))
		}
		w.gain(w.keepers[i], nil)
	}
	return w
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

func (w *world) newVM(zone string) *vm {
	bound := w.terms.ClockBound
	speeds := []float64{1, 1 + bound, 1 - bound}
	v := &vm{
		zone: zone, origin: time.Duration(w.choose.Intn(1000)) * time.Second,
		speed: speeds[w.choose.Intn(len(speeds))],
	}
	w.restart(v)
	return v
}

func (w *world) restart(v *vm) {
	v.waiting = 0
	v.wallet = NewWallet(WalletConfig{Zone: v.zone, Violated: w.violated})
	v.wallet.Apply(w.versions[0])
}

func (w *world) keeper(zone string) *keeper {
	for _, k := range w.keepers {
		if k.zone == zone {
			return k
		}
	}
	return nil
}

// gain gives a shard to a new owner on another VM.
func (w *world) gain(k *keeper, state *peerpb.ShareState) {
	k.epoch++
	k.vm = w.newVM(k.zone)
	now := k.vm.read(w.now)
	k.bank = NewBank(BankConfig{
		Zone: k.zone, Epoch: k.epoch, GainedAt: now, Terms: w.terms, State: state, Violated: w.violated,
	})
	if w.fault == faultSuccessorNoWait && state == nil {
		k.bank.config.GainedAt = now - time.Hour
	}
	k.version = len(w.versions) - 1
	k.bank.Apply(w.versions[k.version], now)
	w.applied = w.now
	w.note(k)
	if w.fault == faultSuccessorFullBurst && state == nil {
		a := k.bank.accounts[testWorkspace]
		a.at, a.free = now, a.room(now)
	}
}

// note records the zone's rate and burst by the bundle in force there.
func (w *world) note(k *keeper) {
	l := k.bank.accounts[testWorkspace].limits
	w.highest[k.zone] = max(w.highest[k.zone], l.burst*l.share)
	w.noteRate()
}

func (w *world) noteRate() {
	sum := 0.0
	for _, k := range w.keepers {
		if k.bank != nil {
			l := k.bank.accounts[testWorkspace].limits
			sum += l.rate * l.share
		} else if k.vm != nil {
			index := w.versions[k.version]
			sum += index.Bundle.Workspaces[0].Rate * index.ZoneShare(&index.Bundle.Workspaces[0], k.zone)
		}
	}
	w.rates = append(w.rates, rateChange{at: w.now, rate: sum})
}

// send puts a message on the network.
func (w *world) send(deliver func()) {
	w.messages = append(w.messages, message{deliver: deliver})
}

// sendDraw carries a draw to its lender and the grant back.
func (w *world) sendDraw(d Draw, answer func(Grant, bool)) {
	w.send(func() {
		k := w.keeper(d.Zone)
		if k.bank == nil {
			return
		}
		grant, ok := w.lend(k, d)
		w.send(func() { answer(grant, ok) })
		w.shortage(k, d)
	})
}

// lend draws from a bank, with the planted faults that concern lending.
func (w *world) lend(k *keeper, d Draw) (Grant, bool) {
	now := k.vm.read(w.now)
	if w.fault == faultReportTwice {
		w.countReportsTwice(k, d)
	}
	grant, ok := k.bank.Draw(d, now)
	if !ok || grant.Tokens == 0 {
		return grant, ok
	}
	a := k.bank.accounts[testWorkspace]
	l := a.loans[grant.Loan]
	switch w.fault {
	case faultSendBeforeSubtract:
		a.free += l.own
		a.remove(l.id, l)
	case faultEarlyLapse:
		l.lapse = now + l.ttl/2
		a.nextLapse = min(a.nextLapse, l.lapse)
	}
	return grant, ok
}

// countReportsTwice frees the burst by a spend that was counted before.
func (w *world) countReportsTwice(k *keeper, d Draw) {
	a := k.bank.accounts[testWorkspace]
	for _, r := range d.Reports {
		if l, ok := a.loans[r.Loan]; ok {
			a.lent = max(0, a.lent-min(r.Spent, l.spent))
		}
	}
}

// shortage lets a bank that could not lend enough ask the other zones.
func (w *world) shortage(k *keeper, d Draw) {
	if !d.Whole || !d.Collect {
		return
	}
	bank, v := k.bank, k.vm
	askedAt := v.read(w.now)
	for _, draw := range bank.Shortage(testWorkspace, max(1, d.Need), askedAt) {
		w.sendDraw(draw, func(grant Grant, ok bool) {
			if !ok {
				bank.Failed(testWorkspace, draw.Zone, draw.ID, v.read(w.now))
				return
			}
			bank.Deposit(testWorkspace, draw.Zone, grant, askedAt, v.read(w.now))
		})
	}
}

// ask sends a node's draw.
func (w *world) ask(v *vm, need int) {
	draw := v.wallet.Draw(testWorkspace, need, v.read(w.now))
	wallet := v.wallet
	w.sendDraw(draw, func(grant Grant, ok bool) {
		if wallet != v.wallet || v.paused {
			return
		}
		now := v.read(w.now)
		if !ok {
			if wallet.Failed(testWorkspace, draw.ID, now) {
				w.ask(v, need)
			}
			return
		}
		p := wallet.purse(testWorkspace)
		switch w.fault {
		case faultLateReadExpiry:
			p.askedAt = now
		case faultAcceptUnaskedAnswer:
			p.pending = grant.ID
		}
		if wallet.Answer(testWorkspace, grant, now) {
			w.ask(v, need)
			return
		}
		w.serveWaiting(v)
	})
}

// take is one request at a node.
func (w *world) take(v *vm) {
	w.decided(v, v.wallet.Take(testWorkspace, v.read(w.now)))
}

// serveWaiting decides again about the requests that wait.
func (w *world) serveWaiting(v *vm) {
	waiting := v.waiting
	v.waiting = 0
	for range waiting {
		w.decided(v, v.wallet.Retake(testWorkspace, v.read(w.now)))
	}
}

func (w *world) decided(v *vm, decision Decision) {
	switch decision.Verdict {
	case Taken:
		w.tickets = append(w.tickets, ticket{vm: v, spend: decision.Spend, index: len(w.spends)})
		w.spends = append(w.spends, spend{at: w.now})
	case Wait:
		v.waiting++
	}
	if decision.Ask {
		w.ask(v, v.waiting)
	}
}

// giveBack ends a request as not run.
func (w *world) giveBack(i int) {
	t := w.tickets[i]
	w.tickets = append(w.tickets[:i], w.tickets[i+1:]...)
	if t.vm.paused {
		return
	}
	p := t.vm.wallet.purse(testWorkspace)
	if w.fault == faultGiveBackReported {
		for j := range p.loans[:p.count] {
			t.spend.reports = p.loans[j].reports
		}
	}
	if t.vm.wallet.GiveBack(testWorkspace, t.spend, t.vm.read(w.now)) {
		w.spends[t.index].undone = true
	}
}

// handOver lets an owner stop and another one go on with its state; the state
// may be lost.
func (w *world) handOver(k *keeper) {
	bank, now := k.bank, k.vm.read(w.now)
	if w.fault != faultHandoverKeepsBank {
		defer func() { k.bank = nil }()
	}
	state := bank.Export(now)
	if w.fault == faultHandoverKeepsBank {
		k.bank = NewBank(BankConfig{Zone: k.zone, Epoch: k.epoch, Terms: w.terms, State: state, Violated: w.violated})
		k.bank.Apply(w.versions[k.version], now)
	}
	epoch := k.epoch
	w.send(func() {
		if k.epoch == epoch {
			w.gain(k, state)
		}
	})
}

// change publishes a bundle with another rate, burst or split.
func (w *world) change() {
	zones := len(w.keepers)
	shares := map[string]float64{}
	for _, k := range w.keepers {
		shares[k.zone] = 0
	}
	parts := 4
	for range parts {
		shares[w.keepers[w.choose.Intn(zones)].zone] += 1 / float64(parts)
	}
	index := testIndex(zones, float64(1+w.choose.Intn(40)), float64(1+w.choose.Intn(20)), shares)
	w.versions = append(w.versions, index)
}

// apply puts the newest bundle into force at one owner.
func (w *world) apply(k *keeper) {
	if k.bank == nil || k.version == len(w.versions)-1 {
		return
	}
	k.version = len(w.versions) - 1
	k.bank.Apply(w.versions[k.version], k.vm.read(w.now))
	w.applied = w.now
	w.note(k)
}
