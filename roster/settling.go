package roster

import "time"

const (
	// settleTime is the pause between two reads of the service, so that changes
	// that come together take one call. It doubles with each read that brings
	// changes soon, up to longestSettleTime.
	settleTime        = 60 * time.Millisecond
	longestSettleTime = 240 * time.Millisecond
	// calmWait is how long a read waits for a change where they do not follow each other.
	calmWait = 200 * time.Millisecond
)

// settling decides the pause after a read of the service. It is short after calm,
// so that one change is known soon, and longer in a storm of changes and after the
// first read, as when many nodes start: each change would cost each reader a call.
// The zero settling is ready to use.
type settling struct {
	pause time.Duration
}

// after returns the pause after a read that took so long.
func (s *settling) after(took time.Duration) time.Duration {
	switch {
	case s.pause == 0:
		s.pause = longestSettleTime
	case took >= calmWait:
		s.pause = settleTime
	default:
		s.pause = min(2*s.pause, longestSettleTime)
	}
	return s.pause
}
