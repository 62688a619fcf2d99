package directory

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburngap/peer/peerpb"
	"auburngap/platform"
)

// otherZonesEvery is the longest time between two looks at the platform for
// the relays of availability zones to which there is no link.
const otherZonesEvery = 10 * time.Second

// runWatch follows the zone's relay slots at the platform.
func (d *Directory) runWatch(ctx context.Context) error {
	wait := d.newBackoff()
	for ctx.Err() == nil {
		err := d.watchRelays(ctx)
		d.logger.Debug("directory: watch of relays ended", zap.Error(err))
		wait.wait(ctx)
	}
	return nil
}

// watchRelays returns the first error of the platform.
func (d *Directory) watchRelays(ctx context.Context) error {
	_, revision, err := d.listRelaysAt(ctx, d.config.Zone)
	for err == nil {
		var entries []platform.Entry
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

// runOtherZones reads the relays of availability zones to which there is no
// link. Where there is one, it tells of changes.
func (d *Directory) runOtherZones(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, zone := range d.unlinkedZones() {
			if _, err := d.listRelays(ctx, zone); err != nil {
				d.logger.Debug("directory: listing another zone's relays failed", zap.String("zone", zone), zap.Error(err))
			}
		}
		sleep(ctx, otherZonesEvery/2+jitter(otherZonesEvery/2))
	}
	return nil
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

// runSource takes each new bundle from the platform.
func (d *Directory) runSource(ctx context.Context) error {
	wait := d.newBackoff()
	read := d.config.Source.Head
	for ctx.Err() == nil {
		version, raw, err := read(ctx)
		if err == nil && version > 0 {
			err = d.holdBundle(&peerpb.BundleRecord{Version: version, Raw: raw})
		}
		if err != nil {
			d.logger.Debug("directory: reading a bundle failed", zap.Error(err))
			wait.wait(ctx)
			continue
		}
		d.updateShelf(func(s *shelf) { s.fromPlatform(time.Now()) })
		wait.reset()
		read = d.nextBundle
	}
	return nil
}

// nextBundle waits for a bundle above the newest one here.
func (d *Directory) nextBundle(ctx context.Context) (uint64, []byte, error) {
	d.mu.Lock()
	above := d.shelf.newest().version
	d.mu.Unlock()
	return d.config.Source.Next(ctx, above)
}
