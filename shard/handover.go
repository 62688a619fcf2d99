package shard

import (
	"maps"
	"slices"
	"time"
)

// successor is the VM that receives a shard at shutdown.
type successor struct {
	vm string
	// incarnation is the successor's process that has received the state; empty if
	// none has.
	incarnation string
	// exportDone means that the export has ended, successfully or not.
	exportDone bool
}

// shutdown is the progress of a graceful shutdown.
type shutdown struct {
	started bool
	// handoverUntil is when the machine gives up on the remaining handovers.
	handoverUntil time.Duration
	// notifiedAt is when the table was sent to the candidates.
	notifiedAt time.Duration
	// notified means that it was sent, done that the machine has ended.
	notified, done bool
}

func (e Shutdown) apply(m *Machine) {
	if m.shutdown.started {
		return
	}
	m.shutdown.started = true
	m.shutdown.handoverUntil = m.now + m.cfg.Timing.HandoverTimeout
	for i := range m.shards {
		m.fire(i, "handOver")
		if m.cfg.faults.actAfterHandover && m.shards[i].state == "handing" {
			m.shards[i].ownership = Ownership{Shard: i, Epoch: m.view.table.Shards[i].Epoch, Since: m.now}
		}
	}
}

// findSuccessor returns the first by rank of the other VMs that hold a lease, or
// the empty string if there is none or the table cannot be written.
func (m *Machine) findSuccessor(i int) string {
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

// rankWithout returns the rank of a VM among the candidates without this VM.
func (m *Machine) rankWithout(vm string, i int) int {
	r := rank(vm, i, m.view.candidates)
	_, present := m.view.candidates[m.cfg.VM]
	localScore, otherScore := score(m.cfg.VM, i), score(vm, i)
	if present && (localScore > otherScore || (localScore == otherScore && m.cfg.VM < vm)) {
		r--
	}
	return r
}

func (e ShardExported) apply(m *Machine) {
	s := &m.shards[e.Shard]
	s.successor.exportDone = true
	if e.Err == nil {
		s.successor.incarnation = e.Incarnation
	}
}

// draftHandover makes the successor the owner in place of this VM.
func (m *Machine) draftHandover(i int) {
	s := &m.shards[i]
	candidate, ok := m.view.candidates[s.successor.vm]
	e := &m.plan.draft.Shards[i]
	if !ok || !s.successor.exportDone || e.Owner != m.cfg.VM {
		return
	}
	e.Unreleased = addWitnessSet(e.Unreleased, e.Witnesses)
	e.Owner, e.Address = candidate.VM, candidate.Address
	e.Incarnation, e.Lease = candidate.Incarnation, candidate.Lease
	m.draftEpoch(e)
	e.HandedOver = s.successor.incarnation != "" && s.successor.incarnation == candidate.Incarnation
	e.Witnesses = m.remainingWitnesses()
}

func (m *Machine) remainingWitnesses() []string {
	var vms []string
	for _, vm := range m.witnessSet() {
		if vm != m.cfg.VM {
			vms = append(vms, vm)
		}
	}
	return vms
}

// leave ends the machine once all shards are handed over or the time for it is over.
func (m *Machine) leave() {
	s := &m.shutdown
	if !s.started || s.done {
		return
	}
	if !s.notified && (m.allHandedOver() || m.now >= s.handoverUntil) {
		s.notified = true
		s.notifiedAt = m.now
		m.notifySuccessors()
		return
	}
	if s.notified && m.now-s.notifiedAt >= m.cfg.Timing.AskInterval {
		m.finish()
	}
}

func (m *Machine) allHandedOver() bool {
	for i := range m.shards {
		if m.shards[i].state == "handing" {
			return false
		}
	}
	return true
}

// notifySuccessors sends the table to the candidates together with this VM's
// release, so that the successors need not wait for their next read.
func (m *Machine) notifySuccessors() {
	table := m.view.table
	version := table.Version
	released := m.witness.release(version, m.now)
	for _, vm := range slices.Sorted(maps.Keys(m.view.candidates)) {
		if vm != m.cfg.VM {
			m.emit(SendRequest{To: vm, Request: Request{Version: version, Table: &table, Released: released}})
		}
	}
}

// finish gives up the remaining shards and ends the lease.
func (m *Machine) finish() {
	m.shutdown.done = true
	for i := range m.shards {
		if m.shards[i].state == "owned" {
			m.emit(LoseShard{Shard: i, Epoch: m.shards[i].ownership.Epoch})
		}
		m.shards[i].state = m.chart.Initial
	}
	m.lease.fire(m, "leave")
	m.emit(ShutdownComplete{})
}
