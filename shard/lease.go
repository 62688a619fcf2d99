package shard

import (
	"time"

	"github.com/joomcode/errorx"

	"auburngap/charts"
	"auburngap/kv"
)

// lease is the VM's lease at the platform and the key that is bound to it.
type lease struct {
	chart *charts.Chart
	state string
	id    kv.LeaseID
	// expiresAt is when the lease may expire, counted from the reading taken before
	// the last successful grant or renewal was sent.
	expiresAt time.Duration
	// keySeenAt is when the VM learnt that the platform has the key.
	keySeenAt   time.Duration
	callPending bool
	nextCall    time.Duration
}

// fire applies an event to the chart of the lease. It returns false if the chart
// ignores the event.
func (l *lease) fire(m *Machine, event string) bool {
	t, ok := l.chart.Next(l.state, event, func(string) bool { return m.wantsLease() })
	if !ok {
		return false
	}
	l.state = t.To
	for _, action := range t.Actions {
		l.runAction(m, action)
	}
	return true
}

func (l *lease) runAction(m *Machine, action string) {
	switch action {
	case "grant":
		l.call(m, GrantLease{TTL: m.cfg.Timing.LeaseTTL})
	case "put":
		candidate := Candidate{VM: m.cfg.VM, Address: m.cfg.Address, Incarnation: m.cfg.Incarnation, Lease: l.id}
		l.call(m, PutLease{Candidate: candidate, IfRevision: m.view.candidates[m.cfg.VM].Revision})
	case "renew":
		l.call(m, RenewLease{Lease: l.id})
	case "revoke":
		m.emit(RevokeLease{Lease: l.id})
	default:
		m.checkInvariant(false, "the chart's actions are known")
	}
}

func (l *lease) call(m *Machine, action Action) {
	l.callPending = true
	m.emit(action)
}

// wantsLease reports whether the VM should hold a lease: the first VMs of the
// zone by rank do, and so does every owner.
func (m *Machine) wantsLease() bool {
	if m.shutdown.started || !m.view.readDone {
		return false
	}
	if m.ownsAny() {
		return true
	}
	if _, present := m.view.candidates[m.cfg.VM]; present {
		return m.eligible(m.cfg.VM)
	}
	return m.view.mayJoin
}

// updateVacancy lets the VM join the candidates if there are too few of them, but
// only after a delay that depends on the VM and a further read. When many VMs
// start together, only few of them try.
func (m *Machine) updateVacancy(readAt time.Duration) {
	v := &m.view
	_, present := v.candidates[m.cfg.VM]
	vacant := !present && len(v.candidates) < m.cfg.MaxCandidates
	if vacant && !v.vacant {
		delay := score(m.cfg.VM, leaseRankShard) % uint64(m.cfg.Timing.JoinJitter)
		v.joinAt = m.now + time.Duration(delay)
	}
	v.vacant = vacant
	v.mayJoin = vacant && readAt >= v.joinAt
	if vacant && !v.mayJoin {
		v.nextRead = min(v.nextRead, v.joinAt)
	}
}

// ownsAny reports whether the table names the VM as the owner of any shard.
func (m *Machine) ownsAny() bool {
	for i := range m.view.table.Shards {
		if m.view.table.Shards[i].Owner == m.cfg.VM {
			return true
		}
	}
	return false
}

// maintainLease requests, puts or renews the lease when that is due.
func (m *Machine) maintainLease() {
	l := &m.lease
	if l.callPending || m.now < l.nextCall {
		return
	}
	if l.state == "putting" && m.now >= l.expiresAt {
		l.fire(m, "leaseLost")
	}
	if !m.wantsLease() && !m.plan.writing && !m.shutdown.started && l.fire(m, "spare") {
		l.id, l.expiresAt = 0, distantPast
	}
	if l.fire(m, "due") {
		l.nextCall = m.now + m.cfg.Timing.PollInterval
	}
}

func (l *lease) extend(m *Machine, sentAt time.Duration) {
	if m.cfg.faults.clockReadAfterCall {
		sentAt = m.now
	}
	ttl := shortenByMargin(m.cfg.Timing.LeaseTTL)
	if m.cfg.faults.noMargin {
		ttl = m.cfg.Timing.LeaseTTL * 3 / 2
	}
	l.expiresAt = max(l.expiresAt, sentAt+ttl)
}

func (e LeaseGranted) apply(m *Machine) {
	l := &m.lease
	l.callPending = false
	if !m.contact.recordCall(m, e.SentAt, e.Err) {
		l.fire(m, "failed")
		return
	}
	l.id, l.expiresAt = e.Lease, distantPast
	l.extend(m, e.SentAt)
	l.nextCall = m.now
	l.fire(m, "granted")
}

func (e LeasePut) apply(m *Machine) {
	l := &m.lease
	l.callPending = false
	l.nextCall = m.now + m.cfg.Timing.AskInterval
	if !m.contact.recordCall(m, e.SentAt, e.Err) {
		m.view.nextRead = m.now
		if errorx.IsOfType(e.Err, kv.ErrNotFound) {
			l.markLost(m)
		}
		return
	}
	l.markHeld(m)
}

func (l *lease) markHeld(m *Machine) {
	l.keySeenAt = m.now
	if l.fire(m, "joined") {
		m.view.nextRead = m.now
	}
}

func (e LeaseRenewed) apply(m *Machine) {
	l := &m.lease
	l.callPending = false
	if e.Lease != l.id {
		return
	}
	if m.contact.recordCall(m, e.SentAt, e.Err) {
		l.extend(m, e.SentAt)
		return
	}
	if errorx.IsOfType(e.Err, kv.ErrNotFound) {
		l.markLost(m)
	}
}

func (l *lease) markLost(m *Machine) {
	l.fire(m, "leaseLost")
	l.id, l.expiresAt, l.nextCall = 0, distantPast, m.now
}

// reconcile compares the lease with the key stored at the platform: the answer to
// a put may have been lost, or the lease may have lapsed.
func (l *lease) reconcile(m *Machine, stored Candidate, sentAt time.Duration) {
	same := stored.Lease == l.id && l.id != 0
	switch {
	case l.state == "putting" && same:
		l.markHeld(m)
	case l.state == "held" && !same && sentAt > l.keySeenAt:
		l.markLost(m)
	}
}
