package directory

import (
	"context"
	"time"
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
	version, changes := uint64(0), uint64(0)
	for ctx.Err() == nil {
		changed := d.watch()
		version, changes = d.tellTargets(version, changes)
		sleep(ctx, d.config.Timing.Push/2)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// tellTargets tells of the services that changed after a version, or of all
// where the subscription has changed.
func (d *Directory) tellTargets(version, changes uint64) (uint64, uint64) {
	d.mu.Lock()
	changed, version := d.state.ChangedServices(version)
	if d.servicesChanges != changes {
		changed = d.services
	}
	changes = d.servicesChanges
	var told []string
	for service := range changed {
		if _, ok := d.services[service]; ok {
			told = append(told, service)
		}
	}
	d.mu.Unlock()
	if d.config.OnTargets == nil {
		return version, changes
	}
	for _, service := range told {
		d.config.OnTargets(service, d.Targets(service))
	}
	return version, changes
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
