package commitment

import (
	"time"

	"auburngap/peer/peerpb"
	"auburngap/request"
)

// progressRetry is when a request whose key is in progress may be repeated.
const progressRetry = time.Second

// Phase is what a ledger knows of a key.
type Phase uint8

// The phases.
const (
	// phaseUnknown keys may or may not have run.
	phaseUnknown Phase = iota
	// phaseRunning keys have a permission out.
	phaseRunning
	// phaseDone keys have run, and the answer is known.
	phaseDone
	// phaseReleased keys have not run; the next request may.
	phaseReleased
)

// record is one key. Nothing is forgotten of it before the window is over.
type record struct {
	workspace   string
	fingerprint string
	phase       Phase
	attempt     uint32
	request     request.ID
	epoch       uint64
	began       time.Time
	expires     time.Time
	answer      []byte
	dropped     bool
	// cleared permissions may be handed out; journaled ones outlive the owner.
	cleared   bool
	journaled bool
	// notRun is true once the last attempt is known not to have run.
	notRun bool
}

// LedgerConfig says which shard a ledger is for.
type LedgerConfig struct {
	Home  Home
	Epoch uint64
	// GainedAt is the wall clock's reading when the shard was gained.
	GainedAt time.Time
	Terms    Terms
	// LayoutSince is when the VM put the layout into force, or started.
	LayoutSince time.Time
	// State is what the predecessor handed over; nil where it did not.
	State *peerpb.LedgerState
	// Violated is told the name of an invariant that does not hold.
	Violated func(invariant string)
}

// Ledger is the memory of a home shard's owner. It is not safe for concurrent
// use.
type Ledger struct {
	config  LedgerConfig
	records map[Key]*record
	layout  Layout
	// former and movedFrom cover keys that another layout may have moved here:
	// without a record they are safe only if minted from movedFrom on. Where
	// former is nil, that layout is not known.
	former    *Layout
	movedFrom time.Time
	// safeFrom is the minting time from which absence of a record proves that
	// a key has not run.
	safeFrom time.Time
	// covered holds minting times before safeFrom of which the same is true.
	covered Coverage
	// horizon is the minting time before which keys are forgotten; it never
	// goes back.
	horizon time.Time
	pruned  time.Time
	recent  recent
}

// NewLedger returns a ledger without records but those handed over.
func NewLedger(config LedgerConfig, layout Layout) *Ledger {
	config.Terms = config.Terms.withDefaults()
	config.Violated = orIgnore(config.Violated)
	l := &Ledger{config: config, layout: layout, records: make(map[Key]*record)}
	l.safeFrom = config.GainedAt.Add(config.Terms.margin())
	l.movedFrom = l.layoutSettles(config.LayoutSince)
	if config.State != nil {
		l.restore(config.State)
	}
	return l
}

// Apply puts a bundle's layout into force.
func (l *Ledger) Apply(layout Layout, now time.Time) {
	if layout.hash == l.layout.hash {
		return
	}
	if l.movedFrom.After(l.safeFrom) {
		l.safeFrom = l.movedFrom
		l.covered = Coverage{}
	}
	former := l.layout
	l.former = &former
	l.layout = layout
	l.movedFrom = l.layoutSettles(now)
}

// layoutSettles returns the minting time from which no owner can have seen a
// key under another layout.
func (l *Ledger) layoutSettles(since time.Time) time.Time {
	return since.Add(l.config.Terms.LayoutDelay + l.config.Terms.margin())
}

// Begin decides about a request by its key. The record is made before Run is
// returned.
func (l *Ledger) Begin(r Request, now time.Time) Ruling {
	l.prune(now)
	if home, ok := l.layout.Home(r.Key); !ok || home != l.config.Home {
		return unavailable()
	}
	known, ok := l.records[r.Key]
	if ok {
		return l.beginKnown(known, r, now)
	}
	if ruling, ok := l.refuseFresh(r.Key, now); !ok {
		return ruling
	}
	fresh := &record{workspace: r.Workspace, fingerprint: r.Fingerprint}
	l.records[r.Key] = fresh
	return l.permit(fresh, r, now)
}

// Look tells what is known of a request's key and records nothing: NotRun where
// the key has not run and no dispatch is under way, else what Begin would say.
func (l *Ledger) Look(r Request, now time.Time) Ruling {
	l.prune(now)
	if home, ok := l.layout.Home(r.Key); !ok || home != l.config.Home {
		return unavailable()
	}
	if known, ok := l.records[r.Key]; ok {
		return l.lookKnown(known, r, now)
	}
	if ruling, ok := l.refuseFresh(r.Key, now); !ok {
		return ruling
	}
	return Ruling{Verdict: NotRun, RetryAfter: progressRetry}
}

// refuseFresh decides about a key without a record that must not run. A key
// minted just a little too far ahead may have been accepted by another owner,
// whose clock differs.
func (l *Ledger) refuseFresh(key Key, now time.Time) (Ruling, bool) {
	minted, latest := key.Minted(), now.Add(l.config.Terms.Ahead)
	switch {
	case minted.After(latest.Add(2 * l.config.Terms.ClockSkew)):
		return Ruling{Verdict: BadKey}, false
	case minted.After(latest):
		return unavailable(), false
	case !l.provenFresh(key, minted):
		return Ruling{Verdict: Unknown}, false
	case len(l.records) >= l.config.Terms.Records:
		return Ruling{Verdict: NotRun, RetryAfter: progressRetry}, false
	default:
		return Ruling{}, true
	}
}

// provenFresh tells whether a key without a record has surely not run.
func (l *Ledger) provenFresh(key Key, minted time.Time) bool {
	if minted.Before(l.horizon) {
		return false
	}
	if l.moved(key) && minted.Before(l.movedFrom) {
		return false
	}
	return !minted.Before(l.safeFrom) || l.covered.has(minted)
}

// moved tells whether the key had another home before the last layout.
func (l *Ledger) moved(key Key) bool {
	if l.former == nil {
		return true
	}
	home, ok := l.former.Home(key)
	return !ok || home != l.config.Home
}

func (l *Ledger) beginKnown(known *record, r Request, now time.Time) Ruling {
	ruling := l.lookKnown(known, r, now)
	switch {
	case ruling.Verdict == NotRun:
		return l.permit(known, r, now)
	case ruling.Verdict == InProgress && known.request == r.ID:
		return l.renew(known, r.Key, now)
	default:
		return ruling
	}
}

// lookKnown tells what is known of a key that has a record.
func (l *Ledger) lookKnown(known *record, r Request, now time.Time) Ruling {
	if known.workspace != r.Workspace || known.fingerprint != r.Fingerprint {
		return Ruling{Verdict: Conflict}
	}
	l.giveUp(known, now)
	switch known.phase {
	case phaseReleased:
		return Ruling{Verdict: NotRun, RetryAfter: progressRetry}
	case phaseDone:
		return Ruling{Verdict: Replay, Answer: known.answer, AnswerDropped: known.dropped, Journaled: known.journaled}
	case phaseRunning:
		return Ruling{Verdict: InProgress, RetryAfter: progressRetry}
	default:
		return Ruling{Verdict: Unknown}
	}
}

// giveUp makes a dispatch without an outcome unknown.
func (l *Ledger) giveUp(known *record, now time.Time) {
	if known.phase == phaseRunning && now.Sub(known.began) > l.config.Terms.RunTimeout {
		l.move(known, phaseUnknown)
	}
}

func (l *Ledger) permit(known *record, r Request, now time.Time) Ruling {
	l.checkPermit(known, r.Key)
	l.move(known, phaseRunning)
	known.attempt++
	known.request = r.ID
	known.epoch = l.config.Epoch
	known.began = now
	known.expires = now.Add(l.config.Terms.PermissionLife)
	known.cleared = false
	known.journaled = false
	return Ruling{Verdict: Run, Permission: l.permission(known, r.Key)}
}

// renew gives a request the permission again whose answer it has not had.
func (l *Ledger) renew(known *record, key Key, now time.Time) Ruling {
	known.epoch = l.config.Epoch
	known.expires = now.Add(l.config.Terms.PermissionLife)
	return Ruling{Verdict: Run, Permission: l.permission(known, key)}
}

func (l *Ledger) permission(known *record, key Key) Permission {
	return Permission{
		Home: l.config.Home, Epoch: known.epoch, Key: key,
		Attempt: known.attempt, Expires: known.expires,
	}
}

// Finish records how a permitted dispatch ended. It may come late and more
// than once; one of an earlier attempt changes nothing. An answer is accepted
// from permissions of predecessors too, since it proves a run.
func (l *Ledger) Finish(p Permission, outcome request.Outcome, answer []byte, now time.Time) {
	l.prune(now)
	known, ok := l.records[p.Key]
	if !ok || known.attempt != p.Attempt || known.phase == phaseDone || known.phase == phaseReleased {
		return
	}
	switch outcome {
	case request.Answered:
		l.move(known, phaseDone)
		l.keepAnswer(known, answer)
	case request.NotRun:
		l.move(known, phaseReleased)
	default:
		l.move(known, phaseUnknown)
	}
}

func (l *Ledger) keepAnswer(known *record, answer []byte) {
	if len(answer) > l.config.Terms.AnswerBytes {
		known.dropped = true
		return
	}
	known.answer = append([]byte(nil), answer...)
}

// Release takes back a permission that has not been handed out, and returns
// whether it was so.
func (l *Ledger) Release(p Permission) bool {
	known, ok := l.records[p.Key]
	if !ok || known.attempt != p.Attempt || known.phase != phaseRunning || known.cleared {
		return false
	}
	l.move(known, phaseReleased)
	return true
}

// pruneInterval is how often old records are looked for.
const pruneInterval = time.Second

// prune forgets keys from before the window.
func (l *Ledger) prune(now time.Time) {
	if horizon := now.Add(-l.config.Terms.Window); horizon.After(l.horizon) {
		l.horizon = horizon
	}
	if l.horizon.Sub(l.pruned) < pruneInterval {
		return
	}
	l.pruned = l.horizon
	for key := range l.records {
		if key.Minted().Before(l.horizon) {
			delete(l.records, key)
		}
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	return len(l.records)
}
