package shard

import (
	"maps"
	"slices"
	"time"
)

// round is the current round of requests to witnesses and their answers.
type round struct {
	number uint64
	sentAt time.Duration
	nextAt time.Duration
	// extend means that the round requests confirmations.
	extend  bool
	targets map[string]bool
	// confirms holds the witnesses that have confirmed in this round, releases
	// those that have released for the current table version.
	confirms, releases map[string]bool
	// nextGossip is when to request a newer table from another VM. gossipCount is
	// the number of such requests so far.
	nextGossip  time.Duration
	gossipCount int
	// lastAnswerAt is when another VM last answered.
	lastAnswerAt time.Duration
	// knownVersions holds the last version that each VM reported.
	knownVersions map[string]uint64
}

// reset drops the answers for an earlier table version.
func (r *round) reset() {
	r.releases = map[string]bool{}
	r.confirms = nil
	r.nextAt = 0
}

// startRound starts a round of requests when one is due.
func (m *Machine) startRound() {
	if m.now < m.round.nextAt || m.shutdown.done {
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
	r.nextAt = m.now + m.cfg.Timing.AskInterval
	r.confirms = map[string]bool{}
	for _, vm := range slices.Sorted(maps.Keys(r.targets)) {
		m.sendRequest(vm)
	}
}

func (m *Machine) sendRequest(vm string) {
	request := Request{Round: m.round.number, Version: m.view.table.Version, Extend: m.round.extend, Term: m.cfg.Timing.ConfirmationTerm}
	if vm == m.cfg.VM {
		m.answerLocally(request)
		return
	}
	if m.round.knownVersions[vm] < request.Version {
		table := m.view.table
		request.Table = &table
	}
	m.emit(SendRequest{To: vm, Request: request})
}

// addTargets adds the VMs to send requests to: witnesses that have not released
// yet and witnesses that can confirm, or all VMs while no table is known.
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

// extend requests confirmations from the witnesses of a shard in this round.
func (m *Machine) extend(i int) {
	m.round.extend = true
	m.round.add(m.view.table.Shards[i].Witnesses)
}

func (m *Machine) answerLocally(request Request) {
	m.recordAnswer(m.cfg.VM, m.answerRequest(request))
}

// gossip requests a newer table from one other VM every GossipInterval, so that
// VMs that hold no lease learn of new owners.
func (m *Machine) gossip() {
	if !m.idle() || len(m.vms) == 0 || m.now < m.round.nextGossip {
		return
	}
	m.round.nextGossip = m.now + m.cfg.Timing.GossipInterval
	m.round.gossipCount++
	vm := m.vms[(m.round.gossipCount+rank(m.cfg.VM, 0, m.view.candidates))%len(m.vms)]
	if vm != m.cfg.VM {
		m.emit(SendRequest{To: vm, Request: Request{Version: m.view.table.Version}})
	}
}

// answerRequest answers a request as a witness.
func (m *Machine) answerRequest(request Request) Answer {
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

func (e RequestReceived) apply(m *Machine) {
	if e.Request.Table != nil {
		m.applyTable(*e.Request.Table, false, 0)
	}
	m.round.knownVersions[e.From] = e.Request.Version
	if e.Request.Released && e.Request.Version == m.view.table.Version {
		m.round.releases[e.From] = true
	}
	m.emit(SendAnswer{Answer: m.answerRequest(e.Request)})
}

func (e Refresh) apply(m *Machine) {
	m.round.nextGossip = min(m.round.nextGossip, m.now)
}

func (e AnswerReceived) apply(m *Machine) {
	m.round.lastAnswerAt = m.now
	m.recordAnswer(e.From, e.Answer)
	if e.Answer.Table != nil {
		m.applyTable(*e.Answer.Table, false, 0)
	}
}

// recordAnswer records an answer if it belongs to the current round.
func (m *Machine) recordAnswer(from string, answer Answer) {
	r := &m.round
	sentTable := r.knownVersions[from] < m.view.table.Version
	r.knownVersions[from] = answer.Version
	if answer.Round != r.number {
		return
	}
	if answer.Version < m.view.table.Version {
		if !sentTable {
			m.sendRequest(from)
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

// applyConfirms extends the ownership of a shard if a majority of its witnesses
// has confirmed in this round.
func (m *Machine) applyConfirms(i int) {
	e := &m.view.table.Shards[i]
	s := &m.shards[i]
	if e.Owner != m.cfg.VM || !s.unlocked || !m.round.extend || !hasMajority(e.Witnesses, m.round.confirms) {
		return
	}
	term := shortenByMargin(m.cfg.Timing.ConfirmationTerm)
	if m.cfg.faults.noMargin {
		term = m.cfg.Timing.ConfirmationTerm * 3 / 2
	}
	s.confirmedUntil = max(s.confirmedUntil, m.round.sentAt+term)
}
