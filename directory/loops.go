package directory

import (
	"context"
	"time"

	"auburngap/route"
)

// runTicks expires unresponsive nodes. A relay renews its own entry with each tick.
func (d *Directory) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(d.config.Timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.tick(time.Now())
		}
	}
}

func (d *Directory) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.state.Version()
	d.announceSelf(now)
	d.dropRetired(now)
	d.markRelayReady(now)
	if d.subscription.completeStarting(now) {
		d.wake()
	}
	d.state.Tick(now)
	if d.state.Version() != before {
		d.wake()
	}
}

// announceSelf lists a relay's own backend server. d.mu must be held.
func (d *Directory) announceSelf(now time.Time) {
	if d.slot == noSlot {
		return
	}
	if current, ok := d.state.ApplyAnnouncement(now, d.self); !ok {
		d.self.Supersede(current)
		d.wake()
	}
}

// runTargets calls OnTargets for each subscribed service whose backend servers
// have changed.
func (d *Directory) runTargets(ctx context.Context) error {
	if d.config.OnTargets == nil {
		return nil
	}
	var reported reportedTargets
	for ctx.Err() == nil {
		changed := d.watch()
		var due map[string][]route.Target
		due, reported = d.targetsDue(reported)
		for service, targets := range due {
			d.config.OnTargets(service, targets)
		}
		if len(due) > 0 {
			sleep(ctx, d.config.Timing.Push/2)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// reportedTargets holds the positions up to which changes have been reported.
type reportedTargets struct {
	version, changes, answerChanges uint64
}

// targetsDue returns the backend servers of the services for which there is
// something to report. A service without backend servers is reported only after
// relays have answered.
func (d *Directory) targetsDue(reported reportedTargets) (map[string][]route.Target, reportedTargets) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed, version := d.state.ChangedServices(reported.version)
	due := make(map[string][]route.Target)
	for service, since := range d.subscription.services {
		_, ok := changed[service]
		if !ok && since <= reported.changes && d.subscription.answerChanges == reported.answerChanges {
			continue
		}
		targets := d.state.Targets(service)
		if len(targets) > 0 || d.subscription.isComplete(service, d.slot != noSlot, d.answered) {
			due[service] = targets
		}
	}
	return due, reportedTargets{version, d.subscription.changes, d.subscription.answerChanges}
}

// runOffers passes bundles that may become active to the sink. It does so in
// order, because each may be a delta to the one before.
func (d *Directory) runOffers(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := d.watch()
		due := d.takeDue()
		for _, bundle := range due {
			d.config.Bundles.Offer(bundle.version, bundle.raw)
		}
		if len(due) > 0 {
			d.notifyOffered()
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// notifyOffered wakes the subscribers' senders, as the active version may have
// changed.
func (d *Directory) notifyOffered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wake()
}

func (d *Directory) takeDue() []heldBundle {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bundles.takeDue()
}

// provenBundle returns the newest bundle that may become active, in full.
func (d *Directory) provenBundle() heldBundle {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.proofSince(0, d.bundles.ready)
}
