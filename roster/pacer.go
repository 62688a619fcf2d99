package roster

import "time"

const (
	// minReadPause is the shortest pause between two reads of the service, so that one
	// call returns all changes of a short time. The pause doubles with each read that
	// returns soon, up to maxReadPause.
	minReadPause = 60 * time.Millisecond
	maxReadPause = 240 * time.Millisecond
	// quietReadTime is how long a read must have waited for a change to show that
	// there is no burst of changes.
	quietReadTime = 200 * time.Millisecond
)

// readPacer decides the pause after a read of the service. The pause is short after
// a quiet time, so that a single change is known soon. It is longer in a burst of
// changes, such as when many nodes start, and after the first read: without the
// pause, each change would cost each reader a call. The zero value is ready to use.
type readPacer struct {
	pause time.Duration
}

// pauseAfter returns the pause after a read of the given duration.
func (s *readPacer) pauseAfter(duration time.Duration) time.Duration {
	switch {
	case s.pause == 0:
		s.pause = maxReadPause
	case duration >= quietReadTime:
		s.pause = minReadPause
	default:
		s.pause = min(2*s.pause, maxReadPause)
	}
	return s.pause
}
