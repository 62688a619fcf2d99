package commitment

import (
	"bytes"
	"slices"
	"time"

	"auburngap/peer/peerpb"
)

// Export returns the ledger for the shard's next owner and empties this one,
// which must not be used afterwards.
func (l *Ledger) Export(now time.Time) *peerpb.LedgerState {
	l.prune(now)
	state := &peerpb.LedgerState{
		Records:                l.recordStates(time.Time{}),
		SafeFromUnixMicros:     unixMicros(later(l.safeFrom, l.movedFrom)),
		HorizonUnixMicros:      unixMicros(l.horizon),
		CoveredFromUnixMicros:  unixMicros(later(l.covered.From, l.movedFrom)),
		CoveredUntilUnixMicros: unixMicros(l.covered.Until),
		Layout:                 l.layout.hash,
	}
	clear(l.records)
	l.safeFrom = now.Add(l.config.Terms.Window)
	l.covered = Coverage{}
	return state
}

// recordStates returns the records of keys minted at from or later, in the
// keys' order.
func (l *Ledger) recordStates(from time.Time) []*peerpb.RecordState {
	var states []*peerpb.RecordState
	for key, known := range l.records {
		if key.Minted().Before(from) {
			continue
		}
		states = append(states, known.state(key))
	}
	slices.SortFunc(states, func(a, b *peerpb.RecordState) int {
		return bytes.Compare(a.IdempotencyKey, b.IdempotencyKey)
	})
	return states
}

func (r *record) state(key Key) *peerpb.RecordState {
	return &peerpb.RecordState{
		IdempotencyKey:    key[:],
		Workspace:         r.workspace,
		Fingerprint:       []byte(r.fingerprint),
		Phase:             uint32(r.phase),
		Attempt:           r.attempt,
		Epoch:             r.epoch,
		RequestId:         r.request[:],
		BeganUnixMicros:   unixMicros(r.began),
		ExpiresUnixMicros: unixMicros(r.expires),
		Answer:            r.answer,
		AnswerDropped:     r.dropped,
	}
}

// restore goes on with a predecessor's ledger. Under another layout than the
// predecessor's, nothing but its records is relied on.
func (l *Ledger) restore(state *peerpb.LedgerState) {
	for _, s := range state.Records {
		l.restoreRecord(s)
	}
	l.horizon = timeOf(state.HorizonUnixMicros)
	if state.Layout != l.layout.hash {
		l.safeFrom = later(l.safeFrom, l.layoutSettles(l.config.GainedAt))
		return
	}
	l.movedFrom = time.Time{}
	l.safeFrom = timeOf(state.SafeFromUnixMicros)
	l.covered = Coverage{
		From:  timeOf(state.CoveredFromUnixMicros),
		Until: timeOf(state.CoveredUntilUnixMicros),
	}
}

// restoreRecord takes in a record without ever replacing one; nil means that
// there was one, or no key.
func (l *Ledger) restoreRecord(s *peerpb.RecordState) (Key, *record) {
	key, err := KeyFromBytes(s.GetIdempotencyKey())
	if err != nil || l.records[key] != nil {
		return key, nil
	}
	r := &record{
		workspace:   s.GetWorkspace(),
		fingerprint: string(s.GetFingerprint()),
		phase:       Phase(s.GetPhase()),
		attempt:     s.GetAttempt(),
		epoch:       s.GetEpoch(),
		began:       timeOf(s.GetBeganUnixMicros()),
		expires:     timeOf(s.GetExpiresUnixMicros()),
		answer:      s.GetAnswer(),
		dropped:     s.GetAnswerDropped(),
	}
	r.notRun = r.phase == phaseReleased
	copy(r.request[:], s.GetRequestId())
	l.records[key] = r
	return key, r
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// unixMicros keeps the zero time at zero.
func unixMicros(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

func timeOf(micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}
