package shard

import (
	"slices"
	"time"
)

// Ownership is a VM's right to act on a shard.
type Ownership struct {
	Shard int
	// Epoch increases with each change of the owner or of its process in the table.
	Epoch uint64
	// Since is the reading at which the ownership began.
	Since time.Duration
	// Inherited means that the state of the previous ownership is available.
	Inherited bool
}

// shardState is what the machine knows of one shard.
type shardState struct {
	state string
	// unlocked means that this entry's owner need not wait for earlier witnesses:
	// a majority of each earlier set has released, or the horizon is over.
	unlocked bool
	// horizonEndsAt is when the last confirmation of any earlier witness has expired.
	horizonEndsAt time.Duration
	// confirmedUntil is when the confirmations of a majority of the witnesses expire.
	confirmedUntil   time.Duration
	ownerLapsedSince time.Duration
	ownerLapsed      bool
	ownership        Ownership
	// stateEpoch is the epoch whose state this process has; zero if it has none.
	stateEpoch uint64
	successor  successor
}

// fire applies an event to the chart of a shard. It returns false if the chart
// ignores the event.
func (m *Machine) fire(i int, event string) bool {
	t, ok := m.chart.Next(m.shards[i].state, event, func(name string) bool { return m.guard(i, name) })
	if !ok {
		return false
	}
	m.shards[i].state = t.To
	for _, action := range t.Actions {
		m.runAction(i, action)
	}
	return true
}

func (m *Machine) guard(i int, name string) bool {
	switch name {
	case "myTurn":
		return m.myTurn(i)
	case "unlocked":
		return m.shards[i].unlocked
	case "pastHorizon":
		return m.now >= m.shards[i].horizonEndsAt
	case "live":
		return m.liveUntil(i) > m.now
	case "notLive":
		return m.liveUntil(i) <= m.now
	case "platformUnsteady":
		return !m.shutdown.started && !m.steady()
	case "hasHeir":
		return m.findSuccessor(i) != ""
	}
	m.checkInvariant(false, "the chart's guards are known")
	return false
}

func (m *Machine) runAction(i int, action string) {
	s := &m.shards[i]
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
		m.emit(LoseShard{Shard: i, Epoch: s.ownership.Epoch})
		s.ownership = Ownership{}
	case "export":
		s.successor = successor{vm: m.findSuccessor(i)}
		m.emit(ExportShard{Shard: i, Epoch: m.view.table.Shards[i].Epoch, To: s.successor.vm})
	default:
		m.checkInvariant(false, "the chart's actions are known")
	}
}

// liveUntil returns the reading up to which the VM may act on a shard that it owns.
func (m *Machine) liveUntil(i int) time.Duration {
	e := &m.view.table.Shards[i]
	if e.Owner != m.cfg.VM || m.lease.state == "gone" {
		return distantPast
	}
	until := m.shards[i].confirmedUntil
	bound := e.Incarnation == m.cfg.Incarnation && e.Lease == m.lease.id
	if (bound || m.cfg.faults.noLeaseBinding) && m.lease.state == "held" {
		until = max(until, m.lease.expiresAt)
	}
	return until
}

// LiveOwnership returns the ownership of a shard and the reading at which it ends. It
// returns false if the VM does not own the shard.
func (m *Machine) LiveOwnership(i int) (Ownership, time.Duration, bool) {
	s := &m.shards[i]
	lateStop := m.cfg.faults.actAfterHandover && s.state == "handing"
	if s.state != "owned" && !lateStop {
		return Ownership{}, distantPast, false
	}
	return s.ownership, m.liveUntil(i), true
}

// expire ends the ownerships that expired before this event, for example while
// the VM was suspended.
func (m *Machine) expire() {
	for i := range m.shards {
		m.fire(i, "expired")
	}
}

// advance applies new releases, confirmations and leases to the shards.
func (m *Machine) advance() {
	for i := range m.shards {
		m.applyReleases(i)
		m.applyConfirms(i)
		m.fire(i, "live")
		m.fire(i, "expired")
	}
}

func (m *Machine) applyReleases(i int) {
	s := &m.shards[i]
	if s.state != "unreleased" {
		return
	}
	s.unlocked = m.releasedAll(i) || m.cfg.faults.noReleaseWait
	if m.fire(i, "released") {
		m.round.nextAt = m.now
		return
	}
	if m.fire(i, "abandoned") {
		s.unlocked = true
	}
}

// releasedAll reports whether a majority of each set in the entry's Unreleased
// has released the versions before the table's version.
func (m *Machine) releasedAll(i int) bool {
	for _, set := range m.view.table.Shards[i].Unreleased {
		if !hasMajority(set, m.round.releases) {
			return false
		}
	}
	return true
}

func (m *Machine) gain(i int) {
	e := &m.view.table.Shards[i]
	s := &m.shards[i]
	m.checkInvariant(e.Owner == m.cfg.VM, "an owner is named by the table")
	m.checkInvariant(s.unlocked, "an owner acts only after the releases")
	handedOver := e.HandedOver && e.Incarnation == m.cfg.Incarnation
	inherited := s.stateEpoch == e.Epoch || handedOver
	handedOver = handedOver && s.stateEpoch != e.Epoch
	s.stateEpoch = e.Epoch
	s.ownership = Ownership{Shard: i, Epoch: e.Epoch, Since: m.now, Inherited: inherited}
	m.emit(GainShard{Shard: i, Epoch: e.Epoch, FromEpoch: e.FromEpoch, Inherited: inherited, ByHandover: handedOver})
}

// applyEntry applies a change of a shard's entry.
func (m *Machine) applyEntry(i int, old, entry Entry) {
	isOwner := entry.Owner == m.cfg.VM
	wasOwner := old.Owner == m.cfg.VM
	switch {
	case isOwner && wasOwner && entry.Epoch == old.Epoch:
		if !slices.EqualFunc(entry.Unreleased, old.Unreleased, slices.Equal) {
			m.shards[i].horizonEndsAt = m.horizonEnd()
		}
	case isOwner && wasOwner && entry.FromEpoch == old.Epoch && m.shards[i].state != "handing":
		m.continueAs(i, old, entry)
	case isOwner:
		m.becomeOwner(i)
	default:
		m.fire(i, "superseded")
		m.shards[i].stateEpoch = 0
	}
}

// continueAs continues an ownership with the new epoch of a write by this VM.
func (m *Machine) continueAs(i int, old, entry Entry) {
	s := &m.shards[i]
	m.checkInvariant(entry.Epoch > old.Epoch, "epochs grow")
	if s.stateEpoch == old.Epoch {
		s.stateEpoch = entry.Epoch
	}
	if s.state != "owned" {
		return
	}
	s.ownership.Epoch = entry.Epoch
	m.emit(GainShard{Shard: i, Epoch: entry.Epoch, FromEpoch: old.Epoch, Inherited: true})
}

// becomeOwner starts the wait for the releases after a table has named the VM as
// the owner.
func (m *Machine) becomeOwner(i int) {
	s := &m.shards[i]
	m.fire(i, "named")
	s.unlocked = false
	s.confirmedUntil = distantPast
	s.stateEpoch = 0
	s.horizonEndsAt = m.horizonEnd()
}

// horizonEnd returns when the last confirmation that any witness may have given
// for an earlier version has expired.
func (m *Machine) horizonEnd() time.Duration {
	return m.now + extendByMargin(m.cfg.Timing.Horizon+m.cfg.Timing.ConfirmationTerm)
}
