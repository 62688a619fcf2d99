package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburngap/backend"
	"auburngap/roster"
)

// leavePublishTimeout bounds how long a report that the backend server leaves waits for the
// key-value service. The server waits a second for the acknowledgement.
const leavePublishTimeout = 500 * time.Millisecond

// HandleReport applies a report of the VM's backend server. From then on requests are sent
// to it and no longer to another instance.
func (h *Hosted) HandleReport(announcement backend.Announcement) {
	h.backendMu.Lock()
	defer h.backendMu.Unlock()
	h.applyAnnouncement(announcement)
}

// applyAnnouncement makes an announcement the current one; h.backendMu must be held.
func (h *Hosted) applyAnnouncement(announcement backend.Announcement) {
	announcement.Address = h.config.BackendAddress
	if h.leavingBackend != nil && continuesRun(*h.leavingBackend, announcement) {
		announcement.Draining = true
	}
	before, known := h.announced.Current()
	h.announced.Set(announcement)
	if !known || before.Instance != announcement.Instance || before.Draining != announcement.Draining {
		h.logger.Info("backend: reported", zap.String("instance", announcement.Instance),
			zap.String("service", announcement.Service), zap.Int("slots", announcement.Slots),
			zap.Bool("draining", announcement.Draining), zap.Duration("coldFor", max(0, time.Until(announcement.WarmAt))))
	}
	if announcement.Draining {
		h.local.guard.dropQueued()
	}
}

// HandleLeave records that an instance of the backend server is leaving and will send no
// more reports. It may be the first that this process learns of the instance.
func (h *Hosted) HandleLeave(instance string) {
	h.backendMu.Lock()
	defer h.backendMu.Unlock()
	h.endedInstance = instance
	current, ok := h.announced.Current()
	if !ok || current.Instance != instance {
		h.logger.Info("backend: another instance left", zap.String("instance", instance))
		return
	}
	current.Draining = true
	h.applyAnnouncement(current)
}

// AwaitLeavePublished returns once the key-value service has what HandleLeave or a draining
// HandleReport has recorded, so that a later process on this VM learns of it, or after
// leavePublishTimeout. The caller then acknowledges the report in either case: while the
// service is away, the server reports itself in use no more, and restoreBackend trusts
// nothing else.
func (h *Hosted) AwaitLeavePublished() {
	ctx, cancel := context.WithTimeout(context.Background(), leavePublishTimeout)
	defer cancel()
	if !h.waitUntilPublished(ctx) {
		h.logger.Warn("backend: leaving acknowledged before it was published")
	}
}

// restoreBackend applies what an earlier process on this VM published about the backend
// server. A run that was leaving then is still leaving. Any other run is not in use before
// it reports to this process: the earlier one may have acknowledged that it leaves without
// publishing it, and a server that has left reports no more.
func (h *Hosted) restoreBackend(members []roster.Member) {
	h.backendMu.Lock()
	defer h.backendMu.Unlock()
	for _, member := range members {
		if member.VM != h.config.VM || member.Backend == nil {
			continue
		}
		current, reported := h.announced.Current()
		switch {
		case h.isLeaving(*member.Backend):
			h.leavingBackend = member.Backend
			if !reported {
				// Published again, as the next process has to learn of it, too.
				current = announcementOf(*member.Backend)
			}
			h.applyAnnouncement(current)
		case !reported:
			h.logger.Info("backend: not in use before it reports", zap.String("instance", member.Backend.Instance))
		}
	}
}

// isLeaving reports whether a published backend server was leaving then or has left since;
// h.backendMu must be held.
func (h *Hosted) isLeaving(published roster.Backend) bool {
	return published.Draining || h.endedInstance != "" && published.Instance == h.endedInstance
}

// announcementOf returns the announcement of a published backend server.
func announcementOf(published roster.Backend) backend.Announcement {
	return backend.Announcement{
		Service:     published.Service,
		Instance:    published.Instance,
		Slots:       published.Slots,
		Connections: published.Slots,
		Started:     published.Started,
		WarmAt:      published.WarmAt,
	}
}

// continuesRun reports whether an announcement belongs to the run that was published.
func continuesRun(published roster.Backend, announcement backend.Announcement) bool {
	return published.Instance == announcement.Instance && !announcement.Started.After(published.Started)
}
