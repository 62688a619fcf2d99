package directory

import (
	"context"
	"time"

	"auburngap/route"
)

// runTicks lets silent nodes expire. A relay hears itself.
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
	d.hearSelf(now)
	d.dropRetired(now)
	d.inform(now)
	d.state.Tick(now)
	if d.state.Version() != before {
		d.wake()
	}
}

// hearSelf lists a relay's own backend server; d.mu is held.
func (d *Directory) hearSelf(now time.Time) {
	if d.slot == noSlot {
		return
	}
	if standing, ok := d.state.Hear(now, d.self); !ok {
		d.self.Supersede(standing)
		d.wake()
	}
}

// runTargets tells the subscribed services' backend servers on each change.
func (d *Directory) runTargets(ctx context.Context) error {
	if d.config.OnTargets == nil {
		return nil
	}
	var told toldTargets
	for ctx.Err() == nil {
		changed := d.watch()
		var due map[string][]route.Target
		due, told = d.targetsDue(told)
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

// toldTargets tells up to where changes have been told.
type toldTargets struct {
	version, changes, news uint64
}

// targetsDue returns the backend servers of the services of which there is
// something to tell. Of one that seems to have none, nothing is told before
// relays have answered.
func (d *Directory) targetsDue(told toldTargets) (map[string][]route.Target, toldTargets) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed, version := d.state.ChangedServices(told.version)
	due := make(map[string][]route.Target)
	for service, since := range d.wanted.services {
		_, ok := changed[service]
		if !ok && since <= told.changes && d.wanted.news == told.news {
			continue
		}
		targets := d.state.Targets(service)
		if len(targets) > 0 || d.wanted.known(service, d.slot != noSlot, d.answered) {
			due[service] = targets
		}
	}
	return due, toldTargets{version, d.wanted.changes, d.wanted.news}
}

// runOffers hands bundles that may come into force to the sink, in order, as
// each may be a delta to the one before.
func (d *Directory) runOffers(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := d.watch()
		due := d.takeDue()
		for _, bundle := range due {
			d.config.Bundles.Offer(bundle.version, bundle.raw)
		}
		if len(due) > 0 {
			d.offered()
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// offered tells the subscribers' senders that the version in force may be another.
func (d *Directory) offered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wake()
}

func (d *Directory) takeDue() []heldBundle {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shelf.takeDue()
}

// provenBundle returns the newest bundle that may come into force, whole.
func (d *Directory) provenBundle() heldBundle {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.proofSince(0, d.shelf.ready)
}
