package commitment

import "time"

// Coverage is an interval of minting times. Every key minted within it that
// has run, or may have, is in the journal.
type Coverage struct {
	From, Until time.Time
}

// has tells whether a minting time lies in the interval.
func (c Coverage) has(minted time.Time) bool {
	return minted.After(c.From) && !minted.After(c.Until)
}
