package directory

import (
	"time"

	"auburngap/peer/peerpb"
)

// confirmation is a read of the platform at which no bundle was newer than version.
type confirmation struct {
	version uint64
	at      time.Time
}

// confirmations determines when the bundle that a node holds was last confirmed: by a
// read that found no newer one.
type confirmations struct {
	latest time.Time
	// waiting is a read that found a newer bundle, which counts once that is held. It is
	// zero if there is none.
	waiting confirmation
}

// add applies a read, given the version that is held. A read is dropped while an earlier
// one waits: otherwise none would ever count while versions arrive faster than they
// become active.
func (c *confirmations) add(read confirmation, held uint64) {
	c.advance(held)
	switch {
	case read.version <= held:
		c.apply(read)
	case c.waiting.at.IsZero():
		c.waiting = read
	}
}

// confirmedAt returns when the version that is held was last confirmed.
func (c *confirmations) confirmedAt(held uint64) time.Time {
	c.advance(held)
	return c.latest
}

func (c *confirmations) advance(held uint64) {
	if !c.waiting.at.IsZero() && c.waiting.version <= held {
		c.apply(c.waiting)
		c.waiting = confirmation{}
	}
}

func (c *confirmations) apply(read confirmation) {
	if read.at.After(c.latest) {
		c.latest = read.at
	}
}

// ConfirmedAt returns when the active bundle was last confirmed, on the local clock: when
// this node, or another whose reads reach it through relays, read the platform and found
// no newer bundle. It is zero if not known. If the node's zone is isolated, or the newest
// bundle does not reach it, the time no longer advances.
func (d *Directory) ConfirmedAt() time.Time {
	active := d.config.Bundles.ActiveVersion()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.activeConfirmed.confirmedAt(active)
}

// applyConfirmationAge applies a relay's report of how long ago the platform was read.
// The bundles that the relay holds are no older than that read.
func (d *Directory) applyConfirmationAge(m *peerpb.BundleVersions) {
	if m.GetWordAgeMicros() <= 0 {
		return
	}
	confirmedAt := time.Now().Add(-time.Duration(m.GetWordAgeMicros()) * time.Microsecond)
	d.confirm(confirmation{version: m.GetHeld(), at: confirmedAt})
}

// confirm applies a read to the active bundle and to the newest one here, for which it is
// reported to others.
func (d *Directory) confirm(read confirmation) {
	active := d.config.Bundles.ActiveVersion()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeConfirmed.add(read, active)
	d.heldConfirmed.add(read, d.bundles.newest().version)
}

// confirmationAge returns how long ago the newest bundle here was confirmed, in
// microseconds. It is zero if not known. d.mu must be held.
func (d *Directory) confirmationAge() int64 {
	confirmedAt := d.heldConfirmed.confirmedAt(d.bundles.newest().version)
	if confirmedAt.IsZero() {
		return 0
	}
	return max(1, time.Since(confirmedAt).Microseconds())
}
