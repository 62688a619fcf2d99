package node

import (
	"sync/atomic"
	"time"

	"auburngap/backend"
)

// announcementTTL is how long an announcement is valid: three heartbeats and a margin.
const announcementTTL = 3500 * time.Millisecond

// announcements holds the last announcement of this VM's backend server.
type announcements struct {
	last atomic.Pointer[received]
	// ttl is how long an announcement is valid.
	ttl time.Duration
	// changed is signalled when an announcement differs in more than its load.
	changed chan struct{}
}

func newAnnouncements(ttl time.Duration) *announcements {
	return &announcements{ttl: ttl, changed: make(chan struct{}, 1)}
}

type received struct {
	announcement backend.Announcement
	receivedAt   time.Time
}

// Set stores an announcement.
func (a *announcements) Set(announcement backend.Announcement) {
	before := a.last.Swap(&received{announcement: announcement, receivedAt: time.Now()})
	if before != nil {
		announcement.Load = before.announcement.Load
	}
	if before != nil && before.announcement == announcement {
		return
	}
	a.signal()
}

func (a *announcements) signal() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Current returns the last announcement, or false if it is too old or there is none.
func (a *announcements) Current() (backend.Announcement, bool) {
	last := a.last.Load()
	if last == nil || time.Since(last.receivedAt) > a.ttl {
		return backend.Announcement{}, false
	}
	return last.announcement, true
}
