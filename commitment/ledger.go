package commitment

import (
	"time"

	"auburngap/peer/peerpb"
	"auburngap/request"
)

// defaultRetryAfter is the delay after which a request that got no final answer
// may be retried.
const defaultRetryAfter = time.Second

// Phase is what a ledger knows about the runs of a key.
type Phase uint8

// The phases.
const (
	// phaseUnknown keys may or may not have run.
	phaseUnknown Phase = iota
	// phaseRunning keys have an outstanding permission.
	phaseRunning
	// phaseDone keys have run, and the answer is known.
	phaseDone
	// phaseReleased keys have not run; the next request with the key may run.
	phaseReleased
)

// record is the state of one key. It is kept until the retention window is over.
type record struct {
	workspace     string
	fingerprint   string
	phase         Phase
	attempt       uint32
	requestID     request.ID
	epoch         uint64
	permittedAt   time.Time
	expiresAt     time.Time
	answer        []byte
	answerDropped bool
	// recorded is true once the permission may be handed out, journaled if the
	// record is in the journal and so outlives the owner.
	recorded  bool
	journaled bool
	// notRun is true once the last attempt is known not to have run.
	notRun bool
}

// LedgerConfig configures the Ledger of one shard.
type LedgerConfig struct {
	ShardID ShardID
	Epoch   uint64
	// GainedAt is the wall clock time at which the shard was acquired.
	GainedAt time.Time
	Limits   Limits
	// LayoutSince is when the layout became active on this VM, or when the VM
	// started.
	LayoutSince time.Time
	// State is what the predecessor handed over, or nil if it handed over nothing.
	State *peerpb.LedgerState
	// OnViolation is called with the name of an invariant that does not hold.
	OnViolation func(invariant string)
}

// Ledger records the keys of one shard at the shard's owner. It is not safe for
// concurrent use.
type Ledger struct {
	config  LedgerConfig
	records map[Key]*record
	layout  Layout
	// Keys that may have belonged to another shard under a different layout are
	// proven not to have run only if they have no record and were created at
	// movedSafeFrom or later. previousLayout is nil if that layout is not known.
	previousLayout *Layout
	movedSafeFrom  time.Time
	// safeFrom is the creation time from which the absence of a record proves that
	// a key has not run.
	safeFrom time.Time
	// covered contains creation times before safeFrom for which the same is true.
	covered Coverage
	// horizon is the creation time before which keys are forgotten; it never moves
	// back.
	horizon      time.Time
	prunedBefore time.Time
	attempts     attemptCache
}

// NewLedger returns a ledger that contains only the records that were handed over.
func NewLedger(config LedgerConfig, layout Layout) *Ledger {
	config.Limits = config.Limits.withDefaults()
	config.OnViolation = orNoop(config.OnViolation)
	l := &Ledger{config: config, layout: layout, records: make(map[Key]*record)}
	l.safeFrom = config.GainedAt.Add(config.Limits.takeoverMargin())
	l.movedSafeFrom = l.layoutSettledAt(config.LayoutSince)
	if config.State != nil {
		l.restoreHandover(config.State)
	}
	return l
}

// Apply makes a bundle's layout the active one.
func (l *Ledger) Apply(layout Layout, now time.Time) {
	if layout.hash == l.layout.hash {
		return
	}
	if l.movedSafeFrom.After(l.safeFrom) {
		l.safeFrom = l.movedSafeFrom
		l.covered = Coverage{}
	}
	previousLayout := l.layout
	l.previousLayout = &previousLayout
	l.layout = layout
	l.movedSafeFrom = l.layoutSettledAt(now)
}

// layoutSettledAt returns the creation time from which no owner can have received
// a key under a different layout.
func (l *Ledger) layoutSettledAt(since time.Time) time.Time {
	return since.Add(l.config.Limits.LayoutDelay + l.config.Limits.takeoverMargin())
}

// Begin decides about a request by its key. The record exists before Run is
// returned.
func (l *Ledger) Begin(r Request, now time.Time) Decision {
	l.prune(now)
	if ownerShard, ok := l.layout.ShardID(r.Key); !ok || ownerShard != l.config.ShardID {
		return unavailable()
	}
	rec, ok := l.records[r.Key]
	if ok {
		return l.beginExisting(rec, r, now)
	}
	if decision, ok := l.checkNewKey(r.Key, now); !ok {
		return decision
	}
	newRec := &record{workspace: r.Workspace, fingerprint: r.Fingerprint}
	l.records[r.Key] = newRec
	return l.permit(newRec, r, now)
}

// Lookup returns what is known about a request's key and records nothing: NotRun if
// the key has not run and no dispatch is in progress, otherwise the same as Begin.
func (l *Ledger) Lookup(r Request, now time.Time) Decision {
	l.prune(now)
	if ownerShard, ok := l.layout.ShardID(r.Key); !ok || ownerShard != l.config.ShardID {
		return unavailable()
	}
	if rec, ok := l.records[r.Key]; ok {
		return l.lookupExisting(rec, r, now)
	}
	if decision, ok := l.checkNewKey(r.Key, now); !ok {
		return decision
	}
	return Decision{Verdict: NotRun, RetryAfter: defaultRetryAfter}
}

// checkNewKey returns true if a key without a record may run, and the decision that
// refuses it otherwise. A key created only slightly too far in the future may have
// been accepted by another owner, whose clock differs, so it is not rejected as
// bad.
func (l *Ledger) checkNewKey(key Key, now time.Time) (Decision, bool) {
	createdAt, latest := key.CreatedAt(), now.Add(l.config.Limits.MaxAhead)
	switch {
	case createdAt.After(latest.Add(2 * l.config.Limits.ClockSkew)):
		return Decision{Verdict: BadKey}, false
	case createdAt.After(latest):
		return unavailable(), false
	case !l.provenNotRun(key, createdAt):
		return Decision{Verdict: Unknown}, false
	case len(l.records) >= l.config.Limits.MaxRecords:
		return Decision{Verdict: NotRun, RetryAfter: defaultRetryAfter}, false
	default:
		return Decision{}, true
	}
}

// provenNotRun reports whether a key without a record has certainly not run.
func (l *Ledger) provenNotRun(key Key, createdAt time.Time) bool {
	if createdAt.Before(l.horizon) {
		return false
	}
	if l.mayHaveMoved(key) && createdAt.Before(l.movedSafeFrom) {
		return false
	}
	return !createdAt.Before(l.safeFrom) || l.covered.contains(createdAt)
}

// mayHaveMoved reports whether the key may have belonged to another shard under
// the previous layout.
func (l *Ledger) mayHaveMoved(key Key) bool {
	if l.previousLayout == nil {
		return true
	}
	ownerShard, ok := l.previousLayout.ShardID(key)
	return !ok || ownerShard != l.config.ShardID
}

func (l *Ledger) beginExisting(rec *record, r Request, now time.Time) Decision {
	decision := l.lookupExisting(rec, r, now)
	switch {
	case decision.Verdict == NotRun:
		return l.permit(rec, r, now)
	case decision.Verdict == InProgress && rec.requestID == r.ID:
		return l.reissue(rec, r.Key, now)
	default:
		return decision
	}
}

// lookupExisting returns what is known about a key that has a record.
func (l *Ledger) lookupExisting(rec *record, r Request, now time.Time) Decision {
	if rec.workspace != r.Workspace || rec.fingerprint != r.Fingerprint {
		return Decision{Verdict: Conflict}
	}
	l.expireRun(rec, now)
	switch rec.phase {
	case phaseReleased:
		return Decision{Verdict: NotRun, RetryAfter: defaultRetryAfter}
	case phaseDone:
		return Decision{Verdict: Replay, Answer: rec.answer, AnswerDropped: rec.answerDropped, Journaled: rec.journaled}
	case phaseRunning:
		return Decision{Verdict: InProgress, RetryAfter: defaultRetryAfter}
	default:
		return Decision{Verdict: Unknown}
	}
}

// expireRun marks a dispatch as unknown if it has had no outcome for RunTimeout.
func (l *Ledger) expireRun(rec *record, now time.Time) {
	if rec.phase == phaseRunning && now.Sub(rec.permittedAt) > l.config.Limits.RunTimeout {
		l.setPhase(rec, phaseUnknown)
	}
}

func (l *Ledger) permit(rec *record, r Request, now time.Time) Decision {
	l.checkPermit(rec, r.Key)
	l.setPhase(rec, phaseRunning)
	rec.attempt++
	rec.requestID = r.ID
	rec.epoch = l.config.Epoch
	rec.permittedAt = now
	rec.expiresAt = now.Add(l.config.Limits.PermissionTTL)
	rec.recorded = false
	rec.journaled = false
	return Decision{Verdict: Run, Permission: l.permission(rec, r.Key)}
}

// reissue returns the permission again to a request that has not received it yet.
func (l *Ledger) reissue(rec *record, key Key, now time.Time) Decision {
	rec.epoch = l.config.Epoch
	rec.expiresAt = now.Add(l.config.Limits.PermissionTTL)
	return Decision{Verdict: Run, Permission: l.permission(rec, key)}
}

func (l *Ledger) permission(rec *record, key Key) Permission {
	return Permission{
		ShardID: l.config.ShardID, Epoch: rec.epoch, Key: key,
		Attempt: rec.attempt, Expires: rec.expiresAt,
	}
}

// Finish records the outcome of a permitted dispatch. It may be called late and
// more than once; a call for an earlier attempt changes nothing. An answer is
// accepted for permissions of predecessors too, since it proves that the request
// ran.
func (l *Ledger) Finish(p Permission, outcome request.Outcome, answer []byte, now time.Time) {
	l.prune(now)
	rec, ok := l.records[p.Key]
	if !ok || rec.attempt != p.Attempt || rec.phase == phaseDone || rec.phase == phaseReleased {
		return
	}
	switch outcome {
	case request.Answered:
		l.setPhase(rec, phaseDone)
		l.storeAnswer(rec, answer)
	case request.NotRun:
		l.setPhase(rec, phaseReleased)
	default:
		l.setPhase(rec, phaseUnknown)
	}
}

func (l *Ledger) storeAnswer(rec *record, answer []byte) {
	if len(answer) > l.config.Limits.MaxAnswerBytes {
		rec.answerDropped = true
		return
	}
	rec.answer = append([]byte(nil), answer...)
}

// Release revokes a permission that has not been handed out, and reports whether
// it did so.
func (l *Ledger) Release(p Permission) bool {
	rec, ok := l.records[p.Key]
	if !ok || rec.attempt != p.Attempt || rec.phase != phaseRunning || rec.recorded {
		return false
	}
	l.setPhase(rec, phaseReleased)
	return true
}

// pruneInterval is how often ledgers and fences remove old keys.
const pruneInterval = time.Second

// prune removes keys created before the retention window.
func (l *Ledger) prune(now time.Time) {
	if horizon := now.Add(-l.config.Limits.Retention); horizon.After(l.horizon) {
		l.horizon = horizon
	}
	if l.horizon.Sub(l.prunedBefore) < pruneInterval {
		return
	}
	l.prunedBefore = l.horizon
	for key := range l.records {
		if key.CreatedAt().Before(l.horizon) {
			delete(l.records, key)
		}
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	return len(l.records)
}
