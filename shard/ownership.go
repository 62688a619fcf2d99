package shard

import (
	"slices"
	"time"
)

// Ownership is a VM's right to act on a shard.
type Ownership struct {
	Shard int
	// Epoch grows with each change of the owner or of its process at the platform.
	Epoch uint64
	// Since is the reading at which it began.
	Since time.Duration
	// Inherited means that the state of the shard came along.
	Inherited bool
}

// slot is what the machine knows of one shard.
type slot struct {
	state string
	// unlocked means that majorities released what came before the entry.
	unlocked bool
	// aloneAt is when the horizon of all earlier witnesses is over.
	aloneAt time.Duration
	// confirmedUntil is the end of a majority's confirmations.
	confirmedUntil time.Duration
	lapsedSince    time.Duration
	lapsed         bool
	owned          Ownership
	// kept is the epoch whose state this process has; zero is none.
	kept uint64
	heir heir
}

// fire follows the chart of shards; false if the chart ignores the event.
func (m *Machine) fire(i int, event string) bool {
	t, ok := m.chart.Next(m.slots[i].state, event, func(name string) bool { return m.guard(i, name) })
	if !ok {
		return false
	}
	m.slots[i].state = t.To
	for _, action := range t.Actions {
		m.act(i, action)
	}
	return true
}

func (m *Machine) guard(i int, name string) bool {
	switch name {
	case "myTurn":
		return m.myTurn(i)
	case "unlocked":
		return m.slots[i].unlocked
	case "pastHorizon":
		return m.now >= m.slots[i].aloneAt
	case "live":
		return m.until(i) > m.now
	case "notLive":
		return m.until(i) <= m.now
	case "platformUnsteady":
		return !m.shutdown.begun && !m.steady()
	case "hasHeir":
		return m.findHeir(i) != ""
	}
	m.check(false, "the chart's guards are known")
	return false
}

func (m *Machine) act(i int, action string) {
	s := &m.slots[i]
	switch action {
	case "take":
		m.draftTake(i)
	case "retake":
		m.draftRetake(i)
	case "settle":
		m.draftSettle(i)
	case "extend":
		m.extend(i)
	case "gain":
		m.gain(i)
	case "lose":
		m.do(Lose{Shard: i, Epoch: s.owned.Epoch})
		s.owned = Ownership{}
	case "export":
		s.heir = heir{vm: m.findHeir(i)}
		m.do(Export{Shard: i, Epoch: m.view.table.Shards[i].Epoch, To: s.heir.vm})
	default:
		m.check(false, "the chart's actions are known")
	}
}

// until returns the reading up to which the VM may act on a shard that it owns.
func (m *Machine) until(i int) time.Duration {
	e := &m.view.table.Shards[i]
	if e.Owner != m.cfg.VM || m.lease.state == "gone" {
		return never
	}
	until := m.slots[i].confirmedUntil
	bound := e.Incarnation == m.cfg.Incarnation && e.Lease == m.lease.id
	if (bound || m.cfg.faults.noBind) && m.lease.state == "held" {
		until = max(until, m.lease.until)
	}
	return until
}

// Live returns the ownership of a shard and the reading up to which it lasts;
// false if the VM does not own the shard.
func (m *Machine) Live(i int) (Ownership, time.Duration, bool) {
	s := &m.slots[i]
	late := m.cfg.faults.lateStop && s.state == "handing"
	if s.state != "owned" && !late {
		return Ownership{}, never, false
	}
	return s.owned, m.until(i), true
}

// expire ends what ran out before this event, such as during a pause.
func (m *Machine) expire() {
	for i := range m.slots {
		m.fire(i, "expired")
	}
}

// advance follows from what has been learnt: releases, confirmations, leases.
func (m *Machine) advance() {
	for i := range m.slots {
		m.unlock(i)
		m.applyConfirms(i)
		m.fire(i, "live")
		m.fire(i, "expired")
	}
}

func (m *Machine) unlock(i int) {
	s := &m.slots[i]
	if s.state != "unreleased" {
		return
	}
	s.unlocked = m.releasedAll(i) || m.cfg.faults.noRelease
	if m.fire(i, "released") {
		m.round.next = m.now
		return
	}
	if m.fire(i, "abandoned") {
		s.unlocked = true
	}
}

// releasedAll tells whether a majority of each set that the entry lists has
// released what came before the table's version.
func (m *Machine) releasedAll(i int) bool {
	for _, set := range m.view.table.Shards[i].Unreleased {
		if !majority(set, m.round.releases) {
			return false
		}
	}
	return true
}

func (m *Machine) gain(i int) {
	e := &m.view.table.Shards[i]
	s := &m.slots[i]
	m.check(e.Owner == m.cfg.VM, "an owner is named by the table")
	m.check(s.unlocked, "an owner acts only after the releases")
	handed := e.HandedOver && e.Incarnation == m.cfg.Incarnation
	inherited := s.kept == e.Epoch || handed
	handed = handed && s.kept != e.Epoch
	s.kept = e.Epoch
	s.owned = Ownership{Shard: i, Epoch: e.Epoch, Since: m.now, Inherited: inherited}
	m.do(Gain{Shard: i, Epoch: e.Epoch, FromEpoch: e.FromEpoch, Inherited: inherited, Handed: handed})
}

// adopt follows a change of a shard's entry.
func (m *Machine) adopt(i int, old, entry Entry) {
	mine := entry.Owner == m.cfg.VM
	was := old.Owner == m.cfg.VM
	switch {
	case mine && was && entry.Epoch == old.Epoch:
		if !slices.EqualFunc(entry.Unreleased, old.Unreleased, slices.Equal) {
			m.slots[i].aloneAt = m.horizonEnd()
		}
	case mine && was && entry.FromEpoch == old.Epoch && m.slots[i].state != "handing":
		m.continueAs(i, old, entry)
	case mine:
		m.named(i)
	default:
		m.fire(i, "superseded")
		m.slots[i].kept = 0
	}
}

// continueAs goes on under the new epoch of a write of the VM's own.
func (m *Machine) continueAs(i int, old, entry Entry) {
	s := &m.slots[i]
	m.check(entry.Epoch > old.Epoch, "epochs grow")
	if s.kept == old.Epoch {
		s.kept = entry.Epoch
	}
	if s.state != "owned" {
		return
	}
	s.owned.Epoch = entry.Epoch
	m.do(Gain{Shard: i, Epoch: entry.Epoch, FromEpoch: old.Epoch, Inherited: true})
}

func (m *Machine) named(i int) {
	s := &m.slots[i]
	m.fire(i, "named")
	s.unlocked = false
	s.confirmedUntil = never
	s.kept = 0
	s.aloneAt = m.horizonEnd()
}

// horizonEnd is when the last confirmation that any witness may have given for
// an earlier version has run out.
func (m *Machine) horizonEnd() time.Duration {
	return m.now + longer(m.cfg.Timing.Horizon+m.cfg.Timing.Term)
}
