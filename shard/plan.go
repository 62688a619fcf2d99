package shard

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// plan holds the next write of the table.
type plan struct {
	draft Table
	// changed means that there is something to write, newVersion that the write
	// increases the version.
	changed, newVersion bool
	writing             bool
}

// writeTable collects all changes that the machine wants into one write and sends it.
func (m *Machine) writeTable() {
	if m.plan.writing || !m.mayWrite() {
		return
	}
	p := &m.plan
	p.draft, p.changed, p.newVersion = m.view.table.Clone(), false, false
	for i := range m.shards {
		m.planShard(i)
	}
	if !p.changed {
		return
	}
	if p.newVersion {
		p.draft.Version++
	}
	p.draft.Addresses = m.witnessAddresses(&p.draft)
	p.writing = true
	m.emit(WriteTable{Table: p.draft, IfRevision: m.view.revision})
}

// witnessAddresses returns the known addresses of all witnesses in a table.
func (m *Machine) witnessAddresses(t *Table) map[string]netip.AddrPort {
	found := map[string]netip.AddrPort{}
	for i := range t.Shards {
		for _, set := range append([][]string{t.Shards[i].Witnesses}, t.Shards[i].Unreleased...) {
			m.addAddresses(set, found)
		}
	}
	return found
}

func (m *Machine) addAddresses(vms []string, found map[string]netip.AddrPort) {
	for _, vm := range vms {
		if candidate, ok := m.view.candidates[vm]; ok {
			found[vm] = candidate.Address
		} else if address, ok := m.view.table.Addresses[vm]; ok {
			found[vm] = address
		}
	}
}

// mayWrite reports whether the machine knows the platform's current table and
// holds a lease that table entries can refer to.
func (m *Machine) mayWrite() bool {
	return m.view.synced && m.view.readDone && m.lease.state == "held" && m.lease.expiresAt > m.now && !m.contact.broken
}

func (m *Machine) planShard(i int) {
	e := &m.view.table.Shards[i]
	s := &m.shards[i]
	switch {
	case s.state == "handing":
		m.draftHandover(i)
	case m.shutdown.started:
	case e.Owner != m.cfg.VM:
		m.fire(i, "ownerLapsed")
	case e.Lease != m.lease.id || e.Incarnation != m.cfg.Incarnation:
		if !m.cfg.faults.noLeaseBinding {
			m.fire(i, "unbound")
		}
	case len(e.Unreleased) > 0 && s.unlocked && (m.releasedAll(i) || m.now >= s.horizonEndsAt):
		m.fire(i, "settle")
	case m.witnessesOutdated(e):
		m.draftWitnesses(i)
	}
}

// myTurn reports whether the owner's lease lapsed so long ago that this VM, by
// its rank, may take the shard.
func (m *Machine) myTurn(i int) bool {
	s := &m.shards[i]
	if !m.steady() || !s.ownerLapsed || !m.eligible(m.cfg.VM) {
		return false
	}
	turn := time.Duration(rank(m.cfg.VM, i, m.eligibleCandidates())) * m.cfg.Timing.TakeoverDelayPerRank
	return m.now-max(s.ownerLapsedSince, m.contact.reachableSince+m.cfg.Timing.SteadyAfter) >= turn
}

// updateLapsed records for each shard whether its owner's lease has lapsed.
func (m *Machine) updateLapsed() {
	for i := range m.shards {
		s := &m.shards[i]
		_, present := m.view.candidates[m.view.table.Shards[i].Owner]
		lapsed := !present || m.cfg.faults.noLeaseWait
		if lapsed && !s.ownerLapsed {
			s.ownerLapsedSince = m.now
		}
		s.ownerLapsed = lapsed
	}
}

func (m *Machine) draftTake(i int) {
	e := &m.plan.draft.Shards[i]
	if e.Owner != "" {
		e.Unreleased = addWitnessSet(e.Unreleased, e.Witnesses)
	}
	m.draftOwner(e)
	e.Witnesses = m.witnessSet()
	m.draftEpoch(e)
}

// draftRetake puts the VM's current lease into an entry that the VM already owns.
func (m *Machine) draftRetake(i int) {
	e := &m.plan.draft.Shards[i]
	sameProcess := e.Incarnation == m.cfg.Incarnation
	m.draftOwner(e)
	if !sameProcess {
		m.draftEpoch(e)
	}
	m.plan.changed, m.plan.newVersion = true, true
}

func (m *Machine) draftOwner(e *Entry) {
	e.Owner, e.Address = m.cfg.VM, m.cfg.Address
	e.Incarnation, e.Lease = m.cfg.Incarnation, m.lease.id
}

func (m *Machine) draftEpoch(e *Entry) {
	e.FromEpoch, e.Epoch = e.Epoch, m.view.table.Version+1
	e.HandedOver = false
	e.Taken = time.Time{}
	m.plan.changed, m.plan.newVersion = true, true
}

func (m *Machine) draftSettle(i int) {
	m.plan.draft.Shards[i].Unreleased = nil
	m.plan.changed = true
}

// draftWitnesses replaces the witnesses and adds the old set to those that have
// to release.
func (m *Machine) draftWitnesses(i int) {
	e := &m.plan.draft.Shards[i]
	if !m.cfg.faults.forgetWitnesses {
		e.Unreleased = addWitnessSet(e.Unreleased, e.Witnesses)
	}
	e.Witnesses = m.witnessSet()
	m.plan.changed, m.plan.newVersion = true, true
}

// witnessSet returns the eligible VMs and this one.
func (m *Machine) witnessSet() []string {
	vms := slices.Sorted(maps.Keys(m.eligibleCandidates()))
	if !slices.Contains(vms, m.cfg.VM) {
		vms = append(vms, m.cfg.VM)
		slices.Sort(vms)
	}
	return vms
}

// minWitnesses is the size below which a set of witnesses is not reduced. A
// smaller set could lose its majority with a single VM.
const minWitnesses = 3

// witnessesOutdated reports whether the witnesses should be replaced: a witness
// has lacked a lease for too long, or a candidate is not a witness yet. It is
// false until the witnesses of the previous change have released.
func (m *Machine) witnessesOutdated(e *Entry) bool {
	set := m.witnessSet()
	if len(e.Unreleased) > 0 || !m.steady() || slices.Equal(e.Witnesses, set) || len(set) < min(minWitnesses, len(e.Witnesses)) {
		return false
	}
	for _, vm := range e.Witnesses {
		since, missing := m.view.missingSince[vm]
		if missing && m.now-since < m.cfg.Timing.WitnessGrace {
			return false
		}
	}
	return true
}

// updateMissing records since when each witness has had no lease.
func (m *Machine) updateMissing() {
	missing := map[string]time.Duration{}
	for i := range m.view.table.Shards {
		for _, vm := range m.view.table.Shards[i].Witnesses {
			if _, present := m.view.candidates[vm]; present {
				continue
			}
			since, known := m.view.missingSince[vm]
			if !known {
				since = m.now
			}
			missing[vm] = since
		}
	}
	m.view.missingSince = missing
}
