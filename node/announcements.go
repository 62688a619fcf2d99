package node

import (
	"sync/atomic"
	"time"

	"auburngap/backend"
)

// announcementTTL is how long an announcement counts: three heartbeats and a margin.
const announcementTTL = 3500 * time.Millisecond

// announcements holds the last announcement of this VM's backend server.
type announcements struct {
	last atomic.Pointer[received]
}

type received struct {
	announcement backend.Announcement
	at           time.Time
}

// Set takes an announcement.
func (a *announcements) Set(announcement backend.Announcement) {
	a.last.Store(&received{announcement: announcement, at: time.Now()})
}

// Current returns the last announcement; false where it is too old or there is none.
func (a *announcements) Current() (backend.Announcement, bool) {
	last := a.last.Load()
	if last == nil || time.Since(last.at) > announcementTTL {
		return backend.Announcement{}, false
	}
	return last.announcement, true
}
