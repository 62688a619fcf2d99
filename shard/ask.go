package shard

import (
	"maps"
	"slices"
	"time"
)

// round is what the machine asks of witnesses and what they have answered.
type round struct {
	number uint64
	sentAt time.Duration
	next   time.Duration
	// extend means that the round asks for confirmations.
	extend  bool
	targets map[string]bool
	// confirms and releases hold the witnesses that answered yes, for the
	// present round and for the present table version.
	confirms, releases map[string]bool
	// nextGossip is when to ask another VM for a newer table, gossiped how
	// often that was done.
	nextGossip time.Duration
	gossiped   int
	// heardAt is when another VM last answered.
	heardAt time.Duration
	// known holds the version that each VM was last heard to know.
	known map[string]uint64
}

// reset forgets the answers to an earlier table version.
func (r *round) reset() {
	r.releases = map[string]bool{}
	r.confirms = nil
	r.next = 0
}

// ask starts a round of questions when one is due.
func (m *Machine) ask() {
	if m.now < m.round.next || m.shutdown.done {
		return
	}
	r := &m.round
	r.extend = false
	r.targets = map[string]bool{}
	m.addTargets()
	if len(r.targets) == 0 {
		return
	}
	r.number++
	r.sentAt = m.now
	r.next = m.now + m.cfg.Timing.AskInterval
	r.confirms = map[string]bool{}
	for _, vm := range slices.Sorted(maps.Keys(r.targets)) {
		m.askOne(vm)
	}
}

func (m *Machine) askOne(vm string) {
	request := Request{Round: m.round.number, Version: m.view.table.Version, Extend: m.round.extend, Term: m.cfg.Timing.Term}
	if vm == m.cfg.VM {
		m.answerSelf(request)
		return
	}
	if m.round.known[vm] < request.Version {
		table := m.view.table
		request.Table = &table
	}
	m.do(Ask{To: vm, Request: request})
}

// addTargets adds whom to ask: witnesses who have yet to release, witnesses
// who can confirm, or anyone while no table is known.
func (m *Machine) addTargets() {
	r := &m.round
	if m.view.table.Version == 0 && !m.view.readDone {
		r.add(m.vms)
		delete(r.targets, m.cfg.VM)
		return
	}
	for i := range m.view.table.Shards {
		e := &m.view.table.Shards[i]
		if e.Owner != m.cfg.VM {
			continue
		}
		if !m.releasedAll(i) {
			r.addAll(e.Unreleased)
		}
		m.fire(i, "extend")
	}
}

func (r *round) add(vms []string) {
	for _, vm := range vms {
		r.targets[vm] = true
	}
}

func (r *round) addAll(sets [][]string) {
	for _, set := range sets {
		r.add(set)
	}
}

// extend asks the witnesses of a shard for confirmations in this round.
func (m *Machine) extend(i int) {
	m.round.extend = true
	m.round.add(m.view.table.Shards[i].Witnesses)
}

func (m *Machine) answerSelf(request Request) {
	m.noteAnswer(m.cfg.VM, m.judge(request))
}

// gossip asks one other VM for a newer table now and then, so that VMs that
// hold no lease hear of new owners.
func (m *Machine) gossip() {
	if !m.idle() || len(m.vms) == 0 || m.now < m.round.nextGossip {
		return
	}
	m.round.nextGossip = m.now + m.cfg.Timing.GossipInterval
	m.round.gossiped++
	vm := m.vms[(m.round.gossiped+rank(m.cfg.VM, 0, m.view.candidates))%len(m.vms)]
	if vm != m.cfg.VM {
		m.do(Ask{To: vm, Request: Request{Version: m.view.table.Version}})
	}
}

// judge answers a question as a witness.
func (m *Machine) judge(request Request) Answer {
	answer := Answer{Round: request.Round, Version: m.view.table.Version}
	answer.Released = m.witness.release(request.Version, m.now)
	if request.Extend {
		answer.Confirmed = m.witness.confirm(request.Version, request.Term, m.now, !m.steady())
	}
	if m.view.table.Version > request.Version {
		table := m.view.table
		answer.Table = &table
	}
	return answer
}

func (e Asked) apply(m *Machine) {
	if e.Request.Table != nil {
		m.learn(*e.Request.Table, false, 0)
	}
	m.round.known[e.From] = e.Request.Version
	if e.Request.Released && e.Request.Version == m.view.table.Version {
		m.round.releases[e.From] = true
	}
	m.do(Reply{Answer: m.judge(e.Request)})
}

func (e Refresh) apply(m *Machine) {
	m.round.nextGossip = min(m.round.nextGossip, m.now)
}

func (e Answered) apply(m *Machine) {
	m.round.heardAt = m.now
	m.noteAnswer(e.From, e.Answer)
	if e.Answer.Table != nil {
		m.learn(*e.Answer.Table, false, 0)
	}
}

// noteAnswer counts an answer if it belongs to the present round.
func (m *Machine) noteAnswer(from string, answer Answer) {
	r := &m.round
	sentTable := r.known[from] < m.view.table.Version
	r.known[from] = answer.Version
	if answer.Round != r.number {
		return
	}
	if answer.Version < m.view.table.Version {
		if !sentTable {
			m.askOne(from)
		}
		return
	}
	if answer.Version > m.view.table.Version {
		return
	}
	if answer.Confirmed && r.confirms != nil {
		r.confirms[from] = true
	}
	if answer.Released {
		r.releases[from] = true
	}
}

// applyConfirms extends a shard by the confirmations of this round.
func (m *Machine) applyConfirms(i int) {
	e := &m.view.table.Shards[i]
	s := &m.slots[i]
	if e.Owner != m.cfg.VM || !s.unlocked || !m.round.extend || !majority(e.Witnesses, m.round.confirms) {
		return
	}
	term := shorter(m.cfg.Timing.Term)
	if m.cfg.faults.noMargin {
		term = m.cfg.Timing.Term * 3 / 2
	}
	s.confirmedUntil = max(s.confirmedUntil, m.round.sentAt+term)
}
