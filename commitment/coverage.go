package commitment

import "time"

// Coverage is an interval of creation times of keys. Every key created within it
// that has run, or may have run, is in the journal.
type Coverage struct {
	From, Until time.Time
}

// contains reports whether a creation time lies in the interval, which excludes
// From and includes Until.
func (c Coverage) contains(createdAt time.Time) bool {
	return createdAt.After(c.From) && !createdAt.After(c.Until)
}
