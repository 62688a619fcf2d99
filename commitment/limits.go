package commitment

import (
	"cmp"
	"time"
)

// The defaults of Limits.
const (
	defaultRetention      = 10 * time.Minute
	defaultClockSkew      = 100 * time.Millisecond
	defaultMaxAhead       = 2 * time.Second
	defaultLayoutDelay    = 11 * time.Second
	defaultPermissionTTL  = 2 * time.Second
	defaultRunTimeout     = time.Minute
	defaultMaxAnswerBytes = 64 << 10
	defaultMaxRecords     = 100_000
)

// Limits are the time and size limits of a site. Every node must use the same
// values.
type Limits struct {
	// Retention is how long after its creation a key is remembered.
	Retention time.Duration
	// ClockSkew is how far a VM's wall clock may differ from the true time.
	ClockSkew time.Duration
	// MaxAhead is how far in the future a key's creation time may lie.
	MaxAhead time.Duration
	// LayoutDelay is how long a new layout takes to become active on all nodes.
	LayoutDelay time.Duration
	// PermissionTTL is how long a permission may be used.
	PermissionTTL time.Duration
	// RunTimeout is the time after which a dispatch without an outcome counts as
	// unknown. No request that carries a key may have a longer deadline.
	RunTimeout time.Duration
	// MaxAnswerBytes is the size of the longest answer that is stored.
	MaxAnswerBytes int
	// MaxRecords is the maximum number of keys that one shard keeps.
	MaxRecords int
}

func (t Limits) withDefaults() Limits {
	t.Retention = cmp.Or(t.Retention, defaultRetention)
	t.ClockSkew = cmp.Or(t.ClockSkew, defaultClockSkew)
	t.MaxAhead = cmp.Or(t.MaxAhead, defaultMaxAhead)
	t.LayoutDelay = cmp.Or(t.LayoutDelay, defaultLayoutDelay)
	t.PermissionTTL = cmp.Or(t.PermissionTTL, defaultPermissionTTL)
	t.RunTimeout = cmp.Or(t.RunTimeout, defaultRunTimeout)
	t.MaxAnswerBytes = cmp.Or(t.MaxAnswerBytes, defaultMaxAnswerBytes)
	t.MaxRecords = cmp.Or(t.MaxRecords, defaultMaxRecords)
	return t
}

// takeoverMargin is how far after an owner's start, by the owner's clock, a key
// must have been created so that no predecessor can have seen it. The clocks of
// the predecessor and the owner may both be off, and keys may be created ahead of
// the true time.
func (t Limits) takeoverMargin() time.Duration {
	return t.MaxAhead + 2*t.ClockSkew
}
