package directory

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburngap/kv"
	"auburngap/peer/peerpb"
)

// otherZonesInterval is the maximum time between two searches for the relays of
// availability zones to which there is no link.
const otherZonesInterval = 10 * time.Second

// runWatch watches the zone's relay slots at the platform.
func (d *Directory) runWatch(ctx context.Context) error {
	wait := d.newBackoff()
	for ctx.Err() == nil {
		err := d.watchRelays(ctx)
		d.logger.Debug("directory: watch of relays ended", zap.Error(err))
		wait.wait(ctx)
	}
	return nil
}

// watchRelays applies the platform's changes of the relay slots until the platform
// returns an error, and returns that error.
func (d *Directory) watchRelays(ctx context.Context) error {
	_, revision, err := d.listRelaysAt(ctx, d.config.Zone)
	for err == nil {
		var entries []kv.Entry
		entries, revision, err = d.config.Platform.Watch(ctx, relayPrefix(d.config.Zone), revision)
		d.updateRelays(func(t *RelayTable) {
			for _, entry := range entries {
				if relay, ok := parseSlot(d.config.Zone, entry); ok {
					t.Merge(relay)
				}
			}
		})
	}
	return err
}

// runOtherZones searches for the relays of availability zones to which there is no
// link. A linked zone sends its changes over the link. The search is frequent at
// first: when zones start together, the others hold no slots yet when the first
// zone searches.
func (d *Directory) runOtherZones(ctx context.Context) error {
	seeds := d.newSeedCycle()
	wait := &backoff{first: d.config.Timing.Retry, longest: otherZonesInterval}
	for ctx.Err() == nil {
		unlinked := d.unlinkedZones()
		if len(unlinked) == 0 {
			wait.reset()
			sleep(ctx, d.config.Timing.Tick)
			continue
		}
		d.findZones(ctx, unlinked, seeds)
		wait.wait(ctx)
	}
	return nil
}

// findZones reads the relays of availability zones from the platform, and queries
// seeds if a read fails.
func (d *Directory) findZones(ctx context.Context, zones []string, seeds *seedCycle) {
	failed := false
	for _, zone := range zones {
		if _, err := d.listRelays(ctx, zone); err != nil {
			d.logger.Debug("directory: listing another zone's relays failed", zap.String("zone", zone), zap.Error(err))
			failed = true
		}
	}
	if failed {
		d.querySeeds(ctx, seeds.next(true))
	}
}

func (d *Directory) unlinkedZones() []string {
	if d.config.Zones == nil {
		return nil
	}
	zones := d.config.Zones()
	d.mu.Lock()
	defer d.mu.Unlock()
	var unlinked []string
	for _, zone := range zones {
		if zone != d.config.Zone && !d.linked[zone] {
			unlinked = append(unlinked, zone)
		}
	}
	return unlinked
}

// runSource reads each new bundle from the platform.
func (d *Directory) runSource(ctx context.Context) error {
	wait := d.newBackoff()
	read := d.config.Source.Head
	for ctx.Err() == nil {
		version, raw, err := read(ctx)
		if err == nil && version > 0 {
			err = d.storeBundle(&peerpb.BundleRecord{Version: version, Raw: raw})
		}
		if err != nil {
			d.logger.Debug("directory: reading a bundle failed", zap.Error(err))
			wait.wait(ctx)
			continue
		}
		d.updateBundles((*bundleStore).platformRead)
		d.confirm(confirmation{version: d.newestVersion(), at: time.Now()})
		wait.reset()
		read = d.nextBundle
	}
	return nil
}

// nextBundle waits for a bundle above the newest one here.
func (d *Directory) nextBundle(ctx context.Context) (uint64, []byte, error) {
	return d.config.Source.Next(ctx, d.newestVersion())
}

// newestVersion returns the version of the newest bundle here.
func (d *Directory) newestVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bundles.newest().version
}
