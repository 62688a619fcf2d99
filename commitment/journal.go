package commitment

import "time"

// The defaults of JournalTerms.
const (
	defaultCover         = 10 * time.Second
	defaultWriteInterval = 50 * time.Millisecond
	defaultWriteTimeout  = 300 * time.Millisecond
	defaultBackoff       = 5 * time.Second
	defaultSpan          = time.Minute
	defaultJournalBytes  = 256 << 10
)

// JournalTerms are the bounds of journals. Every node must use the same.
type JournalTerms struct {
	// Cover is how far ahead of now a write covers minting times. It should be
	// longer than a takeover; for as long, keys are refused when an outage of
	// the platform begins.
	Cover time.Duration
	// WriteInterval is the least time between two writes of a shard.
	WriteInterval time.Duration
	// WriteTimeout bounds one write.
	WriteTimeout time.Duration
	// Backoff is the time between attempts in an outage.
	Backoff time.Duration
	// Span is how long after its minting a key stays in the journal.
	Span time.Duration
	// Bytes bounds the journal of one shard.
	Bytes int
}

func (t JournalTerms) withDefaults() JournalTerms {
	orDuration(&t.Cover, defaultCover)
	orDuration(&t.WriteInterval, defaultWriteInterval)
	orDuration(&t.WriteTimeout, defaultWriteTimeout)
	orDuration(&t.Backoff, defaultBackoff)
	orDuration(&t.Span, defaultSpan)
	if t.Bytes == 0 {
		t.Bytes = defaultJournalBytes
	}
	return t
}

// Route is how a key that may run is to be recorded.
type Route uint8

// The routes.
const (
	// RouteRefuse means that the key may not run: the platform may hold a
	// journal that covers the key without having it.
	RouteRefuse Route = iota
	// RouteWrite means that the key runs once it is in the journal.
	RouteWrite
	// RouteMemory means that the key runs on the owner's memory alone.
	RouteMemory
)

// Journal decides how keys are recorded in the platform, and what its journal
// covers. The rule: a key whose minting time may be covered by what the
// platform holds never runs unless the platform holds the key. It is not safe
// for concurrent use.
type Journal struct {
	terms JournalTerms
	// written is the coverage that the platform is known to hold.
	written Coverage
	// attempted is the latest minting time that the platform may cover.
	attempted time.Time
	healthy   bool
	retryAt   time.Time
}

// NewJournal returns the journal of an owner that has not read the platform's
// yet: gainedAt is the wall clock's reading when the shard was gained.
func NewJournal(terms JournalTerms, bounds Terms, gainedAt time.Time) *Journal {
	terms = terms.withDefaults()
	bounds = bounds.withDefaults()
	ahead := max(terms.Cover, bounds.Ahead) + 2*bounds.ClockSkew
	return &Journal{terms: terms, attempted: gainedAt.Add(ahead)}
}

// Loaded takes in what the platform holds, from which no other owner can
// change it any more.
func (j *Journal) Loaded(coverage Coverage) {
	j.written = coverage
	j.attempted = coverage.Until
	j.healthy = true
}

// Route decides how a key is recorded.
func (j *Journal) Route(minted time.Time) Route {
	switch {
	case j.healthy:
		return RouteWrite
	case !minted.After(j.attempted):
		return RouteRefuse
	default:
		return RouteMemory
	}
}

// Next returns the coverage that the next write states, from on the earliest
// minting time that the owner's records are complete for. In an outage nothing
// more is covered, so that keys can go on running on memory alone.
func (j *Journal) Next(from, newest, now time.Time) Coverage {
	next := Coverage{From: later(from, now.Add(-j.terms.Span)), Until: j.attempted}
	if j.healthy {
		next.Until = later(later(next.Until, newest), now.Add(j.terms.Cover))
	}
	j.attempted = next.Until
	return next
}

// Written tells that a write has taken effect.
func (j *Journal) Written(coverage Coverage) {
	j.written = coverage
	j.healthy = true
}

// Failed tells that a write may or may not have taken effect.
func (j *Journal) Failed(now time.Time) {
	j.healthy = false
	j.retryAt = now.Add(j.terms.Backoff)
}
