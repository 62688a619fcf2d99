package shard

import (
	"maps"
	"slices"
	"time"
)

// heir is the VM that gets a shard at shutdown.
type heir struct {
	vm string
	// incarnation is the heir's process that has the state; empty if it has none.
	incarnation string
	// ready means that the export has ended, well or not.
	ready bool
}

// shutdown is the progress of a graceful shutdown.
type shutdown struct {
	begun bool
	// until bounds the handover.
	until time.Duration
	// told is when the heirs were told of the last write.
	told time.Duration
	// farewell means that they were told; done that the machine has ended.
	farewell, done bool
}

func (e Shutdown) apply(m *Machine) {
	if m.shutdown.begun {
		return
	}
	m.shutdown.begun = true
	m.shutdown.until = m.now + m.cfg.Timing.Leave
	for i := range m.slots {
		m.fire(i, "handOver")
		if m.cfg.faults.lateStop && m.slots[i].state == "handing" {
			m.slots[i].owned = Ownership{Shard: i, Epoch: m.view.table.Shards[i].Epoch, Since: m.now}
		}
	}
}

// findHeir returns the first in rank of the other VMs that hold a lease; none
// while the platform is out of reach.
func (m *Machine) findHeir(i int) string {
	if !m.mayWrite() {
		return ""
	}
	for vm := range m.view.candidates {
		if vm != m.cfg.VM && m.rankWithout(vm, i) == 0 {
			return vm
		}
	}
	return ""
}

// rankWithout is the rank of a VM once this one has left.
func (m *Machine) rankWithout(vm string, i int) int {
	r := rank(vm, i, m.view.candidates)
	_, there := m.view.candidates[m.cfg.VM]
	own, other := score(m.cfg.VM, i), score(vm, i)
	if there && (own > other || (own == other && m.cfg.VM < vm)) {
		r--
	}
	return r
}

func (e Exported) apply(m *Machine) {
	s := &m.slots[e.Shard]
	s.heir.ready = true
	if e.Err == nil {
		s.heir.incarnation = e.Incarnation
	}
}

// draftHandover names the heir in place of this VM.
func (m *Machine) draftHandover(i int) {
	s := &m.slots[i]
	candidate, ok := m.view.candidates[s.heir.vm]
	e := &m.plan.draft.Shards[i]
	if !ok || !s.heir.ready || e.Owner != m.cfg.VM {
		return
	}
	e.Unreleased = addSet(e.Unreleased, e.Witnesses)
	e.Owner, e.Address = candidate.VM, candidate.Address
	e.Incarnation, e.Lease = candidate.Incarnation, candidate.Lease
	m.draftEpoch(e)
	e.HandedOver = s.heir.incarnation != "" && s.heir.incarnation == candidate.Incarnation
	e.Witnesses = m.witnessesAfter()
}

func (m *Machine) witnessesAfter() []string {
	var vms []string
	for _, vm := range m.witnessSet() {
		if vm != m.cfg.VM {
			vms = append(vms, vm)
		}
	}
	return vms
}

// leave ends the machine once nothing is left to hand over, or it takes too long.
func (m *Machine) leave() {
	s := &m.shutdown
	if !s.begun || s.done {
		return
	}
	if !s.farewell && (m.handedAll() || m.now >= s.until) {
		s.farewell = true
		s.told = m.now
		m.tellHeirs()
		return
	}
	if s.farewell && m.now-s.told >= m.cfg.Timing.AskInterval {
		m.finish()
	}
}

func (m *Machine) handedAll() bool {
	for i := range m.slots {
		if m.slots[i].state == "handing" {
			return false
		}
	}
	return true
}

// tellHeirs sends the table to the candidates with this VM's own release, so
// that the heirs need not wait for their next read.
func (m *Machine) tellHeirs() {
	table := m.view.table
	version := table.Version
	released := m.witness.release(version, m.now)
	for _, vm := range slices.Sorted(maps.Keys(m.view.candidates)) {
		if vm != m.cfg.VM {
			m.do(Ask{To: vm, Request: Request{Version: version, Table: &table, Released: released}})
		}
	}
}

// finish gives up what is left and ends the lease.
func (m *Machine) finish() {
	m.shutdown.done = true
	for i := range m.slots {
		if m.slots[i].state == "owned" {
			m.do(Lose{Shard: i, Epoch: m.slots[i].owned.Epoch})
		}
		m.slots[i].state = m.chart.Initial
	}
	m.lease.fire(m, "leave")
	m.do(Left{})
}
