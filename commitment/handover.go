package commitment

import (
	"bytes"
	"slices"
	"time"

	"auburngap/peer/peerpb"
)

// Export returns the state of the ledger for the shard's next owner and empties
// the ledger, which must not be used afterwards.
func (l *Ledger) Export(now time.Time) *peerpb.LedgerState {
	l.prune(now)
	state := &peerpb.LedgerState{
		Records:                l.recordsToProto(time.Time{}),
		SafeFromUnixMicros:     unixMicros(later(l.safeFrom, l.movedSafeFrom)),
		HorizonUnixMicros:      unixMicros(l.horizon),
		CoveredFromUnixMicros:  unixMicros(later(l.covered.From, l.movedSafeFrom)),
		CoveredUntilUnixMicros: unixMicros(l.covered.Until),
		Layout:                 l.layout.hash,
	}
	clear(l.records)
	l.safeFrom = now.Add(l.config.Limits.Retention)
	l.covered = Coverage{}
	return state
}

// recordsToProto returns the records of keys created at from or later, ordered by
// key.
func (l *Ledger) recordsToProto(from time.Time) []*peerpb.RecordState {
	var states []*peerpb.RecordState
	for key, rec := range l.records {
		if key.CreatedAt().Before(from) {
			continue
		}
		states = append(states, rec.toProto(key))
	}
	slices.SortFunc(states, func(a, b *peerpb.RecordState) int {
		return bytes.Compare(a.IdempotencyKey, b.IdempotencyKey)
	})
	return states
}

func (r *record) toProto(key Key) *peerpb.RecordState {
	return &peerpb.RecordState{
		IdempotencyKey:    key[:],
		Workspace:         r.workspace,
		Fingerprint:       []byte(r.fingerprint),
		Phase:             uint32(r.phase),
		Attempt:           r.attempt,
		Epoch:             r.epoch,
		RequestId:         r.requestID[:],
		BeganUnixMicros:   unixMicros(r.permittedAt),
		ExpiresUnixMicros: unixMicros(r.expiresAt),
		Answer:            r.answer,
		AnswerDropped:     r.answerDropped,
	}
}

// restoreHandover restores the ledger that the predecessor handed over. If the
// predecessor used a different layout, only its records and its horizon are used.
func (l *Ledger) restoreHandover(state *peerpb.LedgerState) {
	for _, s := range state.Records {
		l.restoreRecord(s)
	}
	l.horizon = timeFromUnixMicros(state.HorizonUnixMicros)
	if state.Layout != l.layout.hash {
		l.safeFrom = later(l.safeFrom, l.layoutSettledAt(l.config.GainedAt))
		return
	}
	l.movedSafeFrom = time.Time{}
	l.safeFrom = timeFromUnixMicros(state.SafeFromUnixMicros)
	l.covered = Coverage{
		From:  timeFromUnixMicros(state.CoveredFromUnixMicros),
		Until: timeFromUnixMicros(state.CoveredUntilUnixMicros),
	}
}

// restoreRecord adds a record unless the key has one already. It returns a nil
// record if it does, or if the key is invalid.
func (l *Ledger) restoreRecord(s *peerpb.RecordState) (Key, *record) {
	key, err := KeyFromBytes(s.GetIdempotencyKey())
	if err != nil || l.records[key] != nil {
		return key, nil
	}
	r := &record{
		workspace:     s.GetWorkspace(),
		fingerprint:   string(s.GetFingerprint()),
		phase:         Phase(s.GetPhase()),
		attempt:       s.GetAttempt(),
		epoch:         s.GetEpoch(),
		permittedAt:   timeFromUnixMicros(s.GetBeganUnixMicros()),
		expiresAt:     timeFromUnixMicros(s.GetExpiresUnixMicros()),
		answer:        s.GetAnswer(),
		answerDropped: s.GetAnswerDropped(),
	}
	r.notRun = r.phase == phaseReleased
	copy(r.requestID[:], s.GetRequestId())
	l.records[key] = r
	return key, r
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// unixMicros returns 0 for the zero time.
func unixMicros(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

func timeFromUnixMicros(micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}
