package commitment

import (
	"time"

	"google.golang.org/protobuf/proto"

	"auburngap/peer/peerpb"
)

// RestoreJournal adds the records of a predecessor's journal and returns its
// coverage. The coverage is used only if the journal was written under the active
// layout.
func (l *Ledger) RestoreJournal(state *peerpb.JournalState) Coverage {
	coverage := Coverage{From: timeFromUnixMicros(state.CoveredFromUnixMicros), Until: timeFromUnixMicros(state.CoveredUntilUnixMicros)}
	for _, s := range state.Records {
		l.restoreJournalRecord(s, coverage)
	}
	if state.Layout == l.layout.hash && coverage.Until.After(coverage.From) {
		l.covered = coverage
		l.trustLayout(coverage.From)
	}
	return coverage
}

// restoreJournalRecord adds a record from a journal. A key that is not covered may
// have run again later with a record in the predecessor's memory alone, unless the
// journal records it as done.
func (l *Ledger) restoreJournalRecord(s *peerpb.RecordState, coverage Coverage) {
	key, restored := l.restoreRecord(s)
	if restored != nil && restored.phase != phaseDone && !coverage.contains(key.CreatedAt()) {
		l.setPhase(restored, phaseUnknown)
	}
}

// trustLayout records that the layout was active on all nodes for keys created
// after a time, as the predecessor knew.
func (l *Ledger) trustLayout(from time.Time) {
	if l.previousLayout == nil && from.Before(l.movedSafeFrom) {
		l.movedSafeFrom = from
	}
}

// CompleteFrom returns the creation time from which the ledger has every key that
// has run, or may have run.
func (l *Ledger) CompleteFrom() time.Time {
	from := l.safeFrom
	if !l.covered.Until.Before(l.safeFrom) {
		from = l.covered.From
	}
	return later(from, l.movedSafeFrom)
}

// JournalState returns the content of a journal write and its coverage. If the
// records are too many, the coverage starts later.
func (l *Ledger) JournalState(coverage Coverage, bytes int) (*peerpb.JournalState, Coverage) {
	for {
		state := &peerpb.JournalState{
			Epoch:                  l.config.Epoch,
			CoveredFromUnixMicros:  unixMicros(coverage.From),
			CoveredUntilUnixMicros: unixMicros(coverage.Until),
			Records:                l.recordsToProto(coverage.From),
			Layout:                 l.layout.hash,
		}
		if proto.Size(state) <= bytes || !coverage.From.Before(coverage.Until) {
			return state, coverage
		}
		coverage.From = coverage.From.Add(coverage.Until.Sub(coverage.From)/2 + time.Millisecond)
	}
}

// markRecorded marks a permission as one that may be handed out.
func (l *Ledger) markRecorded(p Permission, journaled bool) {
	rec := l.records[p.Key]
	if rec == nil || rec.attempt != p.Attempt || rec.phase != phaseRunning {
		return
	}
	rec.recorded = true
	rec.journaled = journaled
}
