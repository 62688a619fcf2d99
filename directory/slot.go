package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"auburngap/kv"
)

var (
	// ErrSlotTaken means that another VM holds the relay slot.
	ErrSlotTaken = errs.NewType("slotTaken")
	// errStepDown ends the node's work as a relay.
	errStepDown = errs.NewType("stepDown")
)

// revokeTimeout limits how long revoking a slot's lease may take.
const revokeTimeout = time.Second

// slotValue is the platform's entry of a relay slot.
type slotValue struct {
	VM      string         `json:"vm"`
	Address netip.AddrPort `json:"address"`
	// ControlAddress is where operators reach the relay.
	ControlAddress netip.AddrPort `json:"controlAddress"`
}

// relayPrefix is the platform's prefix of a zone's relay slots.
func relayPrefix(zone string) string { return "zones/" + zone + "/relays/" }

func slotKeyOf(zone string, slot int) string { return fmt.Sprint(relayPrefix(zone), slot) }

// parseSlot returns the relay in a platform entry, or false if the entry is not
// a relay slot.
func parseSlot(zone string, entry kv.Entry) (Relay, bool) {
	slot, err := strconv.Atoi(strings.TrimPrefix(entry.Key, relayPrefix(zone)))
	if err != nil || slot < 0 {
		return Relay{}, false
	}
	relay := Relay{Zone: zone, Slot: slot, Revision: entry.Revision}
	if entry.Deleted {
		return relay, true
	}
	var value slotValue
	if err := json.Unmarshal(entry.Value, &value); err != nil {
		return Relay{}, false
	}
	relay.VM, relay.Address = value.VM, value.Address
	return relay, value.isRelay()
}

// isRelay reports whether the value names a VM and an address that can be dialled.
func (v *slotValue) isRelay() bool {
	return v.VM != "" && v.Address.IsValid() && v.Address.Port() != 0
}

// listRelays reads a zone's relays from the platform and merges them into the
// table.
func (d *Directory) listRelays(ctx context.Context, zone string) ([]Relay, error) {
	relays, _, err := d.listRelaysAt(ctx, zone)
	return relays, err
}

func (d *Directory) listRelaysAt(ctx context.Context, zone string) ([]Relay, kv.Revision, error) {
	entries, revision, err := d.config.Platform.List(ctx, relayPrefix(zone))
	if err != nil {
		return nil, 0, err
	}
	var relays []Relay
	for _, entry := range entries {
		if relay, ok := parseSlot(zone, entry); ok {
			relays = append(relays, relay)
		}
	}
	d.updateRelays(func(t *RelayTable) { t.MergeZone(zone, relays, revision) })
	return relays, revision, nil
}

// runRelay runs the node as a relay whenever it acquires a slot.
func (d *Directory) runRelay(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case slot := <-d.invites:
			if err := d.holdSlot(ctx, slot); err != nil {
				d.logger.Info("directory: relay slot not held", zap.Int("slot", slot), zap.Error(err))
			}
		}
	}
}

// holdSlot acquires a slot and works as a relay until the slot is lost. A slot that
// the table assigns to this VM is used at once, even while the platform is down.
func (d *Directory) holdSlot(ctx context.Context, slot int) error {
	lease := kv.LeaseID(0)
	if !d.ownsSlot(slot) {
		var err error
		if lease, err = d.acquireSlot(ctx, slot); err != nil {
			return err
		}
	}
	d.setSlot(slot)
	defer d.setSlot(noSlot)
	d.logger.Info("directory: relay slot held", zap.Int("slot", slot))
	group, working := errgroup.WithContext(ctx)
	group.Go(func() error { return d.keepSlot(working, slot, &lease) })
	group.Go(func() error { return d.runMesh(working) })
	if slot < d.config.Timing.BaseSlots {
		group.Go(func() error { return d.runWatch(working) })
		group.Go(func() error { return d.runOtherZones(working) })
		group.Go(func() error { return d.runSource(working) })
	}
	err := group.Wait()
	if ctx.Err() != nil {
		d.revokeLease(lease)
	}
	return err
}

func (d *Directory) ownsSlot(slot int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, relay := range d.relays.Zone(d.config.Zone) {
		if relay.Slot == slot {
			return relay.VM == d.config.VM
		}
	}
	return false
}

// setSlot changes the node's role. It clears caughtUp, as a new relay may lack
// bundles that the previous holder of the slot held.
func (d *Directory) setSlot(slot int) {
	d.mu.Lock()
	d.slot = slot
	d.bundles.caughtUp = false
	d.relaySince, d.subscription.relayReady = time.Now(), false
	d.announceSelf(time.Now())
	var closing []*subscriber
	if slot == noSlot {
		closing = slices.Collect(maps.Keys(d.subscribers))
	}
	d.wake()
	d.mu.Unlock()
	for _, s := range closing {
		closeQuietly(s.stream)
	}
}

// acquireSlot writes this VM into a slot that is free or already held by this VM.
func (d *Directory) acquireSlot(ctx context.Context, slot int) (kv.LeaseID, error) {
	key := slotKeyOf(d.config.Zone, slot)
	held, err := d.config.Platform.Get(ctx, key)
	if err != nil && !errorx.IsOfType(err, kv.ErrNotFound) {
		return 0, err
	}
	if err == nil {
		if relay, ok := parseSlot(d.config.Zone, held); ok && relay.VM != d.config.VM {
			d.updateRelays(func(t *RelayTable) { t.Merge(relay) })
			return 0, ErrSlotTaken.New("slot %d is held by %s", slot, relay.VM)
		}
	}
	value, err := json.Marshal(slotValue{VM: d.config.VM, Address: d.config.Address, ControlAddress: d.config.ControlAddress})
	if err != nil {
		return 0, err
	}
	lease, err := d.config.Platform.Grant(ctx, d.leaseDuration(slot))
	if err != nil {
		return 0, err
	}
	written, err := d.config.Platform.Put(ctx, kv.PutRequest{Key: key, Value: value, IfRevision: held.Revision, Lease: lease})
	if err != nil {
		d.revokeLease(lease)
		return 0, err
	}
	if relay, ok := parseSlot(d.config.Zone, written); ok {
		d.updateRelays(func(t *RelayTable) { t.Merge(relay) })
	}
	return lease, nil
}

func (d *Directory) leaseDuration(slot int) time.Duration {
	if slot < d.config.Timing.BaseSlots {
		return d.config.Timing.Lease
	}
	return d.config.Timing.ExtraLease
}

// keepSlot renews the lease, and acquires the slot again if the lease expired
// while the platform was down. It returns once another VM holds the slot.
func (d *Directory) keepSlot(ctx context.Context, slot int, lease *kv.LeaseID) error {
	for ctx.Err() == nil {
		err := d.renewSlot(ctx, slot, lease)
		if errorx.IsOfType(err, ErrSlotTaken) {
			return errStepDown.Wrap(err, "slot %d", slot)
		}
		if err != nil {
			d.logger.Warn("directory: relay slot not renewed", zap.Error(err))
		}
		interval := d.leaseDuration(slot) / 3
		sleep(ctx, interval/2+jitter(interval/2))
	}
	return nil
}

func (d *Directory) renewSlot(ctx context.Context, slot int, lease *kv.LeaseID) error {
	if *lease != 0 {
		err := d.config.Platform.Renew(ctx, *lease)
		if err == nil || !errorx.IsOfType(err, kv.ErrNotFound) {
			return err
		}
		*lease = 0
	}
	taken, err := d.acquireSlot(ctx, slot)
	if err == nil {
		*lease = taken
	}
	return err
}

// revokeLease revokes a lease. It works after the node's context has ended.
func (d *Directory) revokeLease(lease kv.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := d.config.Platform.Revoke(ctx, lease); err != nil {
		d.logger.Info("directory: relay slot not given back", zap.Error(err))
	}
}
