package commitment

import "encoding/binary"

// The invariants that ledgers and fences check of themselves at each step.
const (
	invariantOnePermission = "a key gets another permission only after it has not run"
	invariantAttemptsGrow  = "the attempts of a key grow"
	invariantDoneStays     = "what has run stays so, with its answer"
	invariantRecorded      = "a permission is handed out only once it is recorded"
	invariantAdmittedOnce  = "a permission is let through once"
)

// recentKeys is how many keys a recent remembers at most; a power of two.
const recentKeys = 1024

// recent remembers the highest attempt of keys seen lately, apart from the
// records that it checks. Of keys that share a place the last one stays.
type recent struct {
	places [recentKeys]struct {
		key     Key
		attempt uint32
	}
}

// advance notes an attempt and tells whether it is higher than that known.
func (r *recent) advance(key Key, attempt uint32) bool {
	place := &r.places[binary.BigEndian.Uint64(key[8:])%recentKeys]
	if place.key == key && attempt <= place.attempt {
		return false
	}
	place.key, place.attempt = key, attempt
	return true
}

// orIgnore returns what is to be told of violations, if anything.
func orIgnore(violated func(invariant string)) func(invariant string) {
	if violated == nil {
		return func(string) {}
	}
	return violated
}

// move changes a record's phase.
func (l *Ledger) move(known *record, phase Phase) {
	if known.phase == phaseDone {
		l.config.Violated(invariantDoneStays)
	}
	known.phase = phase
	known.notRun = phase == phaseReleased
}

// checkPermit checks a record just before its key is permitted to run again.
func (l *Ledger) checkPermit(known *record, key Key) {
	if known.attempt > 0 && !known.notRun {
		l.config.Violated(invariantOnePermission)
	}
	if !l.recent.advance(key, known.attempt+1) {
		l.config.Violated(invariantAttemptsGrow)
	}
}

// checkHandedOut checks a record whose permission leaves the owner.
func (l *Ledger) checkHandedOut(known *record) {
	if !known.cleared {
		l.config.Violated(invariantRecorded)
	}
}
