package commitment

import "time"

// The defaults of Terms.
const (
	defaultWindow         = 10 * time.Minute
	defaultClockSkew      = 100 * time.Millisecond
	defaultAhead          = 2 * time.Second
	defaultLayoutDelay    = 11 * time.Second
	defaultPermissionLife = 2 * time.Second
	defaultRunTimeout     = time.Minute
	defaultAnswerBytes    = 64 << 10
	defaultRecords        = 100_000
)

// Terms are the bounds of a site. Every node must use the same.
type Terms struct {
	// Window is how long after its minting a key is known.
	Window time.Duration
	// ClockSkew is how far a VM's wall clock may be from the true time.
	ClockSkew time.Duration
	// Ahead is how far a key's minting may lie in the future.
	Ahead time.Duration
	// LayoutDelay is how long another layout takes to be in force everywhere.
	LayoutDelay time.Duration
	// PermissionLife is how long a permission may be used.
	PermissionLife time.Duration
	// RunTimeout is after how long a dispatch without an outcome is given up.
	// No request that carries a key may have a longer deadline.
	RunTimeout time.Duration
	// AnswerBytes is the longest answer that is kept.
	AnswerBytes int
	// Records is the most keys that one shard keeps.
	Records int
}

func (t Terms) withDefaults() Terms {
	orDuration(&t.Window, defaultWindow)
	orDuration(&t.ClockSkew, defaultClockSkew)
	orDuration(&t.Ahead, defaultAhead)
	orDuration(&t.LayoutDelay, defaultLayoutDelay)
	orDuration(&t.PermissionLife, defaultPermissionLife)
	orDuration(&t.RunTimeout, defaultRunTimeout)
	if t.AnswerBytes == 0 {
		t.AnswerBytes = defaultAnswerBytes
	}
	if t.Records == 0 {
		t.Records = defaultRecords
	}
	return t
}

func orDuration(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// margin is what a minting time must be past an owner's start, by the owner's
// clock, so that no predecessor can have seen the key: the predecessor's clock
// and the owner's may both be off, and keys may be minted ahead.
func (t Terms) margin() time.Duration {
	return t.Ahead + 2*t.ClockSkew
}
