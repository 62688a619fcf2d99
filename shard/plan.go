package shard

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// plan is the next write of the table.
type plan struct {
	draft Table
	// changed means that there is something to write, bump that it makes a new version.
	changed, bump bool
	writing       bool
}

// write plans and sends a write of all that the machine wants changed.
func (m *Machine) write() {
	if m.plan.writing || !m.mayWrite() {
		return
	}
	p := &m.plan
	p.draft, p.changed, p.bump = m.view.table.Clone(), false, false
	for i := range m.slots {
		m.planShard(i)
	}
	if !p.changed {
		return
	}
	if p.bump {
		p.draft.Version++
	}
	p.draft.Addresses = m.addresses(&p.draft)
	p.writing = true
	m.do(Write{Table: p.draft, IfRevision: m.view.revision})
}

// addresses returns those of all witnesses that a table names, as far as known.
func (m *Machine) addresses(t *Table) map[string]netip.AddrPort {
	found := map[string]netip.AddrPort{}
	for i := range t.Shards {
		for _, set := range append([][]string{t.Shards[i].Witnesses}, t.Shards[i].Unreleased...) {
			m.findAddresses(set, found)
		}
	}
	return found
}

func (m *Machine) findAddresses(vms []string, found map[string]netip.AddrPort) {
	for _, vm := range vms {
		if candidate, ok := m.view.candidates[vm]; ok {
			found[vm] = candidate.Address
		} else if address, ok := m.view.table.Addresses[vm]; ok {
			found[vm] = address
		}
	}
}

// mayWrite tells whether the machine knows the platform's table and holds a
// lease that its entries can name.
func (m *Machine) mayWrite() bool {
	return m.view.synced && m.view.readDone && m.lease.state == "held" && m.lease.until > m.now && !m.contact.broken
}

func (m *Machine) planShard(i int) {
	e := &m.view.table.Shards[i]
	s := &m.slots[i]
	switch {
	case s.state == "handing":
		m.draftHandover(i)
	case m.shutdown.begun:
	case e.Owner != m.cfg.VM:
		m.fire(i, "ownerLapsed")
	case e.Lease != m.lease.id || e.Incarnation != m.cfg.Incarnation:
		if !m.cfg.faults.noBind {
			m.fire(i, "unbound")
		}
	case len(e.Unreleased) > 0 && s.unlocked && (m.releasedAll(i) || m.now >= s.aloneAt):
		m.fire(i, "settle")
	case m.witnessesOutdated(e):
		m.draftWitnesses(i)
	}
}

// myTurn tells whether the owner's lease has lapsed for long enough that this
// VM is the next to take the shard.
func (m *Machine) myTurn(i int) bool {
	s := &m.slots[i]
	if !m.steady() || !s.lapsed || !m.seated(m.cfg.VM) {
		return false
	}
	turn := time.Duration(rank(m.cfg.VM, i, m.seats())) * m.cfg.Timing.TakeStep
	return m.now-max(s.lapsedSince, m.contact.since+m.cfg.Timing.Steady) >= turn
}

// recheckLapsed notes for each shard whether its owner's lease is gone.
func (m *Machine) recheckLapsed() {
	for i := range m.slots {
		s := &m.slots[i]
		_, there := m.view.candidates[m.view.table.Shards[i].Owner]
		lapsed := !there || m.cfg.faults.noWait
		if lapsed && !s.lapsed {
			s.lapsedSince = m.now
		}
		s.lapsed = lapsed
	}
}

func (m *Machine) draftTake(i int) {
	e := &m.plan.draft.Shards[i]
	if e.Owner != "" {
		e.Unreleased = addSet(e.Unreleased, e.Witnesses)
	}
	m.draftOwn(e)
	e.Witnesses = m.witnessSet()
	m.draftEpoch(e)
}

// draftRetake puts the VM's present lease into an entry that it owns already.
func (m *Machine) draftRetake(i int) {
	e := &m.plan.draft.Shards[i]
	sameProcess := e.Incarnation == m.cfg.Incarnation
	m.draftOwn(e)
	if !sameProcess {
		m.draftEpoch(e)
	}
	m.plan.changed, m.plan.bump = true, true
}

func (m *Machine) draftOwn(e *Entry) {
	e.Owner, e.Address = m.cfg.VM, m.cfg.Address
	e.Incarnation, e.Lease = m.cfg.Incarnation, m.lease.id
}

func (m *Machine) draftEpoch(e *Entry) {
	e.FromEpoch, e.Epoch = e.Epoch, m.view.table.Version+1
	e.HandedOver = false
	e.Taken = time.Time{}
	m.plan.changed, m.plan.bump = true, true
}

func (m *Machine) draftSettle(i int) {
	m.plan.draft.Shards[i].Unreleased = nil
	m.plan.changed = true
}

// draftWitnesses replaces the witnesses; the old ones have yet to release.
func (m *Machine) draftWitnesses(i int) {
	e := &m.plan.draft.Shards[i]
	if !m.cfg.faults.forgetWitnesses {
		e.Unreleased = addSet(e.Unreleased, e.Witnesses)
	}
	e.Witnesses = m.witnessSet()
	m.plan.changed, m.plan.bump = true, true
}

// witnessSet returns the seated VMs and this one.
func (m *Machine) witnessSet() []string {
	vms := slices.Sorted(maps.Keys(m.seats()))
	if !slices.Contains(vms, m.cfg.VM) {
		vms = append(vms, m.cfg.VM)
		slices.Sort(vms)
	}
	return vms
}

// fewestWitnesses is the size below which a set of witnesses is not shrunk: a
// smaller set could lose its majority with one VM.
const fewestWitnesses = 3

// witnessesOutdated tells whether a witness has been without a lease for too
// long, or a candidate is not a witness yet. A change waits for the releases
// of the one before.
func (m *Machine) witnessesOutdated(e *Entry) bool {
	set := m.witnessSet()
	if len(e.Unreleased) > 0 || !m.steady() || slices.Equal(e.Witnesses, set) || len(set) < min(fewestWitnesses, len(e.Witnesses)) {
		return false
	}
	for _, vm := range e.Witnesses {
		since, missing := m.view.missing[vm]
		if missing && m.now-since < m.cfg.Timing.WitnessGrace {
			return false
		}
	}
	return true
}

// noteMissing notes since when each witness has had no lease.
func (m *Machine) noteMissing() {
	missing := map[string]time.Duration{}
	for i := range m.view.table.Shards {
		for _, vm := range m.view.table.Shards[i].Witnesses {
			if _, there := m.view.candidates[vm]; there {
				continue
			}
			since, known := m.view.missing[vm]
			if !known {
				since = m.now
			}
			missing[vm] = since
		}
	}
	m.view.missing = missing
}
