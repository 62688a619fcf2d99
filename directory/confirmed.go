package directory

import "time"

// ConfirmedAt returns when the platform was last read, by this node or by another whose
// reads reach it through relays, on the local clock. It is zero if not known. If
// the node's zone is isolated, the time no longer advances.
func (d *Directory) ConfirmedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bundles.confirmedAt
}

// applyConfirmationAge applies a relay's report of how long ago the platform was
// read.
func (d *Directory) applyConfirmationAge(ageMicros int64) {
	if ageMicros <= 0 {
		return
	}
	confirmedAt := time.Now().Add(-time.Duration(ageMicros) * time.Microsecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bundles.confirm(confirmedAt)
}

// confirmationAge returns how long ago the platform was read, in microseconds. It
// is zero if not known. d.mu must be held.
func (d *Directory) confirmationAge() int64 {
	if d.bundles.confirmedAt.IsZero() {
		return 0
	}
	return max(1, time.Since(d.bundles.confirmedAt).Microseconds())
}
