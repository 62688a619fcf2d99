package node

import (
	"time"

	"go.uber.org/zap"

	"auburngap/backend"
	"auburngap/roster"
)

// heldReport is a report that waits until other nodes were asked about the backend server.
type heldReport struct {
	announcement backend.Announcement
	receivedAt   time.Time
}

// HandleReport applies a report of the VM's backend server. From then on requests are sent
// to it and no longer to another instance.
func (h *Hosted) HandleReport(announcement backend.Announcement) {
	h.backendMu.Lock()
	if announcement.Draining {
		h.addDeparture(announcement.Instance, announcement.Started)
	}
	h.applyAnnouncement(announcement)
	h.backendMu.Unlock()
	if announcement.Draining {
		h.follower.AddDeparture(h.departure(announcement.Instance, announcement.Started))
	}
}

// applyAnnouncement makes an announcement the current one; h.backendMu must be held. That a
// server is in use counts only once other nodes were asked: it may have left since, by an
// acknowledgement of an earlier process, and the report may be late.
func (h *Hosted) applyAnnouncement(announcement backend.Announcement) {
	announcement.Address = h.config.BackendAddress
	if h.hasDeparted(announcement.Instance, announcement.Started) {
		announcement.Draining = true
	}
	if !announcement.Draining && !h.settled {
		if h.held == nil {
			h.logger.Info("backend: not in use before other nodes are asked", zap.String("instance", announcement.Instance))
		}
		h.held = &heldReport{announcement: announcement, receivedAt: time.Now()}
		return
	}
	h.held = nil
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
// more reports. It may be the first that this process learns of the instance; then any run
// of it that has begun by now is meant.
func (h *Hosted) HandleLeave(instance string) {
	started := time.Now()
	h.backendMu.Lock()
	current, ok := h.latestReport()
	isCurrent := ok && current.Instance == instance
	if isCurrent {
		started = current.Started
	}
	h.addDeparture(instance, started)
	switch {
	case isCurrent:
		h.applyAnnouncement(current)
	case !ok:
		// Published, too, as a later process may get a report of it.
		h.applyAnnouncement(backend.Announcement{Service: h.config.Service, Instance: instance, Slots: 1, Connections: 1, Started: started})
	default:
		h.logger.Info("backend: another instance left", zap.String("instance", instance))
	}
	h.backendMu.Unlock()
	h.follower.AddDeparture(h.departure(instance, started))
	if ok && !isCurrent {
		h.startSpreading() // this node's entry has no place for it
	}
}

// latestReport returns the latest report, applied or held; h.backendMu must be held.
func (h *Hosted) latestReport() (backend.Announcement, bool) {
	if h.held != nil {
		return h.held.announcement, true
	}
	return h.announced.Current()
}

// restoreBackend applies what a view tells of this VM's backend server: which runs leave or
// have left, according to an earlier process or to other nodes, and whether other nodes were
// asked for that. No other run is in use before it reports to this process: the earlier one
// may have acknowledged that it leaves, and a server that has left reports no more.
func (h *Hosted) restoreBackend(view roster.View) {
	h.backendMu.Lock()
	defer h.backendMu.Unlock()
	for _, departure := range view.Departed {
		h.addDeparture(departure.Instance, departure.Started)
	}
	current, reported := h.latestReport()
	switch {
	case !reported:
		h.restorePublished(view.Members)
	case !current.Draining && h.hasDeparted(current.Instance, current.Started):
		h.applyAnnouncement(current)
	}
	if view.Settled && !h.settled {
		h.settled = true
		close(h.isSettled)
		h.applyHeld()
	}
}

// restorePublished publishes a departed server again, as the next process has to learn of
// it, too; h.backendMu must be held.
func (h *Hosted) restorePublished(members []roster.Member) {
	for _, member := range members {
		if member.VM != h.config.VM || member.Backend == nil || member.Incarnation == h.identity.Incarnation.String() {
			continue
		}
		if h.hasDeparted(member.Backend.Instance, member.Backend.Started) {
			h.applyAnnouncement(announcementOf(*member.Backend))
		} else if !h.viewApplied {
			h.logger.Info("backend: not in use before it reports", zap.String("instance", member.Backend.Instance))
		}
	}
}

// applyHeld applies the report that was held, unless it is too old; h.backendMu must be held.
func (h *Hosted) applyHeld() {
	held := h.held
	h.held = nil
	if held != nil && time.Since(held.receivedAt) < hostedAnnouncementTTL {
		h.applyAnnouncement(held.announcement)
	}
}

// addDeparture records that a run of the backend server leaves; h.backendMu must be held.
func (h *Hosted) addDeparture(instance string, started time.Time) {
	if !h.hasDeparted(instance, started) {
		h.departed = append(h.departed, h.departure(instance, started))
	}
}

// hasDeparted reports whether a run of the backend server leaves or has left; h.backendMu
// must be held.
func (h *Hosted) hasDeparted(instance string, started time.Time) bool {
	for _, departure := range h.departed {
		if departure.Covers(instance, started) {
			return true
		}
	}
	return false
}

func (h *Hosted) departure(instance string, started time.Time) roster.Departure {
	return roster.Departure{VM: h.config.VM, Instance: instance, Started: started}
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
