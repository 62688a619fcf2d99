package commitment

import (
	"time"

	"google.golang.org/protobuf/proto"

	"auburngap/peer/peerpb"
)

// Adopt takes in a predecessor's journal. What it covers is relied on only
// under the layout that it was written by.
func (l *Ledger) Adopt(state *peerpb.JournalState) Coverage {
	coverage := Coverage{From: timeOf(state.CoveredFromUnixMicros), Until: timeOf(state.CoveredUntilUnixMicros)}
	for _, s := range state.Records {
		l.adoptRecord(s, coverage)
	}
	if state.Layout == l.layout.hash && coverage.Until.After(coverage.From) {
		l.covered = coverage
		l.trustLayout(coverage.From)
	}
	return coverage
}

// adoptRecord takes in a journal's record. A key that is not covered may have
// gone on running on the predecessor's memory alone, unless it had run by then.
func (l *Ledger) adoptRecord(s *peerpb.RecordState, coverage Coverage) {
	key, adopted := l.restoreRecord(s)
	if adopted != nil && adopted.phase != phaseDone && !coverage.has(key.Minted()) {
		l.move(adopted, phaseUnknown)
	}
}

// trustLayout takes in that the layout was in force everywhere for keys minted
// after a time, as the predecessor knew.
func (l *Ledger) trustLayout(from time.Time) {
	if l.former == nil && from.Before(l.movedFrom) {
		l.movedFrom = from
	}
}

// CompleteFrom returns the minting time from which the ledger has every key
// that has run, or may have.
func (l *Ledger) CompleteFrom() time.Time {
	from := l.safeFrom
	if !l.covered.Until.Before(l.safeFrom) {
		from = l.covered.From
	}
	return later(from, l.movedFrom)
}

// JournalState returns what is written to the journal. Where the records are
// too many, the coverage begins later.
func (l *Ledger) JournalState(coverage Coverage, bytes int) (*peerpb.JournalState, Coverage) {
	for {
		state := &peerpb.JournalState{
			Epoch:                  l.config.Epoch,
			CoveredFromUnixMicros:  unixMicros(coverage.From),
			CoveredUntilUnixMicros: unixMicros(coverage.Until),
			Records:                l.recordStates(coverage.From),
			Layout:                 l.layout.hash,
		}
		if proto.Size(state) <= bytes || !coverage.From.Before(coverage.Until) {
			return state, coverage
		}
		coverage.From = coverage.From.Add(coverage.Until.Sub(coverage.From)/2 + time.Millisecond)
	}
}

// clear marks a permission as one that may be handed out.
func (l *Ledger) clear(p Permission, journaled bool) {
	known := l.records[p.Key]
	if known == nil || known.attempt != p.Attempt || known.phase != phaseRunning {
		return
	}
	known.cleared = true
	known.journaled = journaled
}
