package commitment

import (
	"cmp"
	"time"
)

// The defaults of JournalConfig.
const (
	defaultCoverAhead       = 10 * time.Second
	defaultWriteInterval    = 50 * time.Millisecond
	defaultWriteTimeout     = 300 * time.Millisecond
	defaultBackoff          = 5 * time.Second
	defaultJournalRetention = time.Minute
	defaultMaxJournalBytes  = 256 << 10
)

// JournalConfig configures journals. Every node must use the same values.
type JournalConfig struct {
	// CoverAhead is how far into the future a write covers creation times. It
	// should be longer than a takeover. When an outage of the platform begins,
	// keys are refused for this long.
	CoverAhead time.Duration
	// WriteInterval is the minimum time between two writes of one shard.
	WriteInterval time.Duration
	// WriteTimeout bounds one read or write.
	WriteTimeout time.Duration
	// Backoff is the time between attempts during an outage.
	Backoff time.Duration
	// Retention is how long after its creation a key stays in the journal.
	Retention time.Duration
	// MaxBytes bounds the size of one shard's journal.
	MaxBytes int
}

func (t JournalConfig) withDefaults() JournalConfig {
	t.CoverAhead = cmp.Or(t.CoverAhead, defaultCoverAhead)
	t.WriteInterval = cmp.Or(t.WriteInterval, defaultWriteInterval)
	t.WriteTimeout = cmp.Or(t.WriteTimeout, defaultWriteTimeout)
	t.Backoff = cmp.Or(t.Backoff, defaultBackoff)
	t.Retention = cmp.Or(t.Retention, defaultJournalRetention)
	t.MaxBytes = cmp.Or(t.MaxBytes, defaultMaxJournalBytes)
	return t
}

// RecordMode is how a key must be recorded before it may run.
type RecordMode uint8

// The record modes.
const (
	// RefuseKey means that the key may not run: the platform may hold a journal
	// that covers the key's creation time but does not contain the key.
	RefuseKey RecordMode = iota
	// RecordInJournal means that the key may run once it is in the journal.
	RecordInJournal
	// RecordInMemory means that the key may run with a record in the owner's
	// memory alone.
	RecordInMemory
)

// Journal decides how keys are recorded, and which creation times the journal
// stored in the platform covers. The rule: a key whose creation time may be
// covered by the stored journal never runs unless the stored journal contains the
// key. Journal is not safe for concurrent use.
type Journal struct {
	config JournalConfig
	// written is the coverage that the stored journal is known to have.
	written Coverage
	// mayCoverUntil is the latest creation time that the stored journal may cover.
	mayCoverUntil time.Time
	healthy       bool
	retryAt       time.Time
}

// NewJournal returns the journal of an owner that has not read the stored journal
// yet. gainedAt is the wall clock time at which the shard was acquired.
func NewJournal(config JournalConfig, limits Limits, gainedAt time.Time) *Journal {
	config = config.withDefaults()
	limits = limits.withDefaults()
	ahead := max(config.CoverAhead, limits.MaxAhead) + 2*limits.ClockSkew
	return &Journal{config: config, mayCoverUntil: gainedAt.Add(ahead)}
}

// Loaded records the coverage of the stored journal, at a point from which no
// other owner can change it.
func (j *Journal) Loaded(coverage Coverage) {
	j.written = coverage
	j.mayCoverUntil = coverage.Until
	j.healthy = true
}

// RecordMode returns how a key with the given creation time must be recorded.
func (j *Journal) RecordMode(createdAt time.Time) RecordMode {
	switch {
	case j.healthy:
		return RecordInJournal
	case !createdAt.After(j.mayCoverUntil):
		return RefuseKey
	default:
		return RecordInMemory
	}
}

// Next returns the coverage of the next write. It starts no earlier than from, the
// creation time from which the owner's records are complete. During an outage the
// coverage is not extended, so that keys can still run with records in memory
// alone.
func (j *Journal) Next(from, newest, now time.Time) Coverage {
	next := Coverage{From: later(from, now.Add(-j.config.Retention)), Until: j.mayCoverUntil}
	if j.healthy {
		next.Until = later(later(next.Until, newest), now.Add(j.config.CoverAhead))
	}
	j.mayCoverUntil = next.Until
	return next
}

// Written records that a write has taken effect.
func (j *Journal) Written(coverage Coverage) {
	j.written = coverage
	j.healthy = true
}

// Failed records that a write may or may not have taken effect.
func (j *Journal) Failed(now time.Time) {
	j.healthy = false
	j.retryAt = now.Add(j.config.Backoff)
}
