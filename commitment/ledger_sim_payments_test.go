package commitment

import (
	"encoding/binary"
	"fmt"
	"time"

	"auburngap/request"
)

// pay sends a caller's request: the first one for a payment, or a retry.
func (s *ledgerSim) pay(p *payment) {
	s.lastID++
	a := &attempt{payment: p, started: s.now, entry: s.entries[s.choose.Intn(len(s.entries))]}
	binary.BigEndian.PutUint64(a.id[:], s.lastID)
	s.attempts = append(s.attempts, a)
	s.begin(a)
}

func (s *ledgerSim) newPayment() {
	p := &payment{}
	ahead := int((s.limits.MaxAhead - s.limits.ClockSkew) / time.Millisecond)
	createdAt := s.now.Add(time.Duration(s.choose.Intn(2*ahead)-ahead) * time.Millisecond)
	if s.choose.Intn(20) == 0 {
		createdAt = s.now.Add(s.limits.MaxAhead + time.Duration(s.choose.Intn(400)-200)*time.Millisecond)
	}
	var padded [8]byte
	binary.BigEndian.PutUint64(padded[:], uint64(createdAt.UnixMilli()))
	copy(p.key[:6], padded[2:])
	binary.BigEndian.PutUint64(p.key[8:], uint64(len(s.payments)+1)*0x9e3779b97f4a7c15)
	p.key[6] = 0x70
	p.key[8] = p.key[8]&0x3f | 0x80
	s.payments = append(s.payments, p)
	s.pay(p)
}

// begin asks the owner of the key's shard.
func (s *ledgerSim) begin(a *attempt) {
	layout := s.layouts[a.entry.layout]
	shardID, ok := layout.ShardID(a.payment.key)
	if !ok {
		return
	}
	s.send(func() {
		shard := s.shardOf(shardID)
		if shard.ledger == nil || s.layouts[shard.vm.layout].Hash() != layout.Hash() {
			return
		}
		ledger, now := shard.ledger, s.wallClock(shard.vm)
		decide := func() {
			r := Request{Key: a.payment.key, ID: a.id, Workspace: "school", Fingerprint: "f"}
			decision := s.decideWithFault(ledger, r, now)
			s.verdicts[decision.Verdict]++
			s.send(func() { s.handleDecision(a, decision) })
		}
		if s.choose.Intn(20) == 0 {
			// A pause between the lease check and the operation that it guards.
			s.send(decide)
			return
		}
		decide()
	})
}

func (s *ledgerSim) decideWithFault(ledger *Ledger, r Request, now time.Time) Decision {
	if rec := ledger.records[r.Key]; s.fault == faultUnknownReleased && rec != nil && rec.phase == phaseUnknown {
		rec.phase = phaseReleased
	}
	decision := ledger.Begin(r, now)
	switch {
	case s.fault == faultRecordAfterDispatch && decision.Verdict == Run && decision.Permission.Attempt == 1:
		delete(ledger.records, r.Key)
	case s.fault == faultForgetEarly:
		ledger.horizon = time.Time{}
		if rec := ledger.records[r.Key]; rec != nil && now.Sub(rec.permittedAt) > 5*time.Second {
			delete(ledger.records, r.Key)
		}
	case s.fault == faultBadKeyTooSoon && decision.Verdict == Unavailable:
		decision.Verdict = BadKey
	}
	return decision
}

// lookup asks what is known about a payment whose retry was refused elsewhere.
func (s *ledgerSim) lookup(p *payment) {
	layout := s.layouts[s.entries[s.choose.Intn(len(s.entries))].layout]
	shardID, ok := layout.ShardID(p.key)
	if !ok {
		return
	}
	shard := s.shardOf(shardID)
	if shard.ledger == nil || s.layouts[shard.vm.layout].Hash() != layout.Hash() {
		return
	}
	r := Request{Key: p.key, Workspace: "school", Fingerprint: "f"}
	decision := shard.ledger.Lookup(r, s.wallClock(shard.vm))
	s.lookups[decision.Verdict]++
	switch {
	case decision.Verdict == Run:
		s.fail("lookup permitted key %s to run", p.key)
	case decision.Verdict == NotRun && p.runs > 0:
		s.fail("key %s ran but is reported as not run", p.key)
	case decision.Verdict == Replay && string(decision.Answer) != p.answer:
		s.fail("replayed %q, first answer %q", decision.Answer, p.answer)
	}
}

// handleDecision handles a decision at the entry node.
func (s *ledgerSim) handleDecision(a *attempt, decision Decision) {
	if s.isOver(a) {
		return
	}
	if decision.Verdict != Run {
		if decision.Verdict == Replay && string(decision.Answer) != a.payment.answer {
			s.fail("replayed %q, first answer %q", decision.Answer, a.payment.answer)
		}
		a.ended = true
		if decision.Refusal().Outcome == request.NotRun {
			s.reportNotRun(a)
		}
		return
	}
	if a.dispatched {
		return
	}
	a.dispatched = true
	if s.choose.Intn(15) == 0 {
		s.finish(a, decision.Permission)
		return
	}
	s.dispatch(a, decision.Permission)
}

// dispatch sends a request to a backend server's node, where it may be refused, or
// the node may crash or its answer may be lost.
func (s *ledgerSim) dispatch(a *attempt, p Permission) {
	i, answered := s.choose.Intn(len(s.fences)), new(bool)
	s.send(func() {
		fence := s.fences[i]
		if s.fault == faultFenceAllowsRepeats {
			fence.used = make(map[Key]usedPermission)
		}
		switch fence.Admit(p, s.wallClock(s.fenceVMs[i])) {
		case Stale:
			s.refused(a, p, answered)
		case Admitted:
			s.runAt(a, p, answered)
		}
	})
}

// refused reports to the entry node that a dispatch has not run. The entry node
// ends the attempt or dispatches it to another backend server with the same
// permission.
func (s *ledgerSim) refused(a *attempt, p Permission, answered *bool) {
	if s.fault == faultRefusalRecordedAtServer {
		s.record(p, request.NotRun, "")
	}
	s.send(func() {
		if *answered {
			return // The call has already been answered.
		}
		*answered = true
		if s.choose.Intn(2) == 0 && !s.isOver(a) {
			s.dispatch(a, p)
			return
		}
		s.finish(a, p)
	})
}

func (s *ledgerSim) runAt(a *attempt, p Permission, answered *bool) {
	kind := s.choose.Intn(10)
	if kind == 0 {
		// The backend server sheds the request.
		s.refused(a, p, answered)
		return
	}
	if a.reportedNotRun {
		s.fail("key %s runs after it was reported as not run", a.payment.key)
	}
	a.payment.runs++
	if a.payment.runs > 1 {
		s.fail("key %s ran twice", a.payment.key)
	}
	if a.payment.answer == "" {
		a.payment.answer = fmt.Sprintf("answer %d", s.lastID)
	}
	if kind == 1 {
		return // The backend server or its node crashes.
	}
	s.record(p, request.Answered, a.payment.answer)
	s.send(func() { a.ended = true })
}

// finish ends, at the entry node, an attempt that has not run, and reports that to
// the owner.
func (s *ledgerSim) finish(a *attempt, p Permission) {
	if s.isOver(a) {
		return
	}
	a.ended = true
	s.reportNotRun(a)
	s.record(p, request.NotRun, "")
}

// record reports the outcome of a dispatch to the owner, sometimes twice.
func (s *ledgerSim) record(p Permission, outcome request.Outcome, answer string) {
	report := func() {
		shard := s.shardOf(p.ShardID)
		if shard.ledger == nil {
			return
		}
		if rec := shard.ledger.records[p.Key]; s.fault == faultReleaseByOldAttempt && rec != nil {
			p.Attempt, p.Epoch = rec.attempt, rec.epoch
		}
		shard.ledger.Finish(p, outcome, []byte(answer), s.wallClock(shard.vm))
	}
	s.send(report)
	if s.choose.Intn(4) == 0 {
		s.send(report)
	}
}

// isOver reports whether the entry node has finished with an attempt.
func (s *ledgerSim) isOver(a *attempt) bool {
	return a.ended || s.now.Sub(a.started) > s.limits.RunTimeout
}

// reportNotRun reports to the caller that a payment has not run, and checks that
// this is true.
func (s *ledgerSim) reportNotRun(a *attempt) {
	a.reportedNotRun = true
	if a.payment.runs > 0 {
		s.fail("key %s ran but is reported as not run", a.payment.key)
	}
}
