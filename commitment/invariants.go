package commitment

import "encoding/binary"

// The invariants that ledgers and fences check at each step.
const (
	invariantOnePermission = "a key gets another permission only after it has not run"
	invariantAttemptsGrow  = "the attempts of a key grow"
	invariantDoneStays     = "what has run stays so, with its answer"
	invariantRecorded      = "a permission is handed out only once it is recorded"
	invariantAdmittedOnce  = "a permission is let through once"
)

// attemptCacheSize is the maximum number of keys in an attemptCache; a power of
// two.
const attemptCacheSize = 1024

// attemptCache stores the highest attempt of recently seen keys, independently of
// the records that it checks. If two keys share a slot, the later one replaces the
// earlier one.
type attemptCache struct {
	slots [attemptCacheSize]struct {
		key     Key
		attempt uint32
	}
}

// advance stores an attempt and reports whether it is higher than the stored one
// of the same key.
func (r *attemptCache) advance(key Key, attempt uint32) bool {
	slot := &r.slots[binary.BigEndian.Uint64(key[8:])%attemptCacheSize]
	if slot.key == key && attempt <= slot.attempt {
		return false
	}
	slot.key, slot.attempt = key, attempt
	return true
}

// orNoop returns the callback, or one that does nothing if it is nil.
func orNoop(callback func(invariant string)) func(invariant string) {
	if callback == nil {
		return func(string) {}
	}
	return callback
}

// setPhase changes the phase of a record.
func (l *Ledger) setPhase(rec *record, phase Phase) {
	if rec.phase == phaseDone {
		l.config.OnViolation(invariantDoneStays)
	}
	rec.phase = phase
	rec.notRun = phase == phaseReleased
}

// checkPermit checks a record just before its key is permitted to run again.
func (l *Ledger) checkPermit(rec *record, key Key) {
	if rec.attempt > 0 && !rec.notRun {
		l.config.OnViolation(invariantOnePermission)
	}
	if !l.attempts.advance(key, rec.attempt+1) {
		l.config.OnViolation(invariantAttemptsGrow)
	}
}

// checkHandedOut checks a record whose permission is about to leave the owner.
func (l *Ledger) checkHandedOut(rec *record) {
	if !rec.recorded {
		l.config.OnViolation(invariantRecorded)
	}
}
