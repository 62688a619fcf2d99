package directory

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"auburngap/peer/peerpb"
)

// send keeps the peer up to date. It sends at most once per Push interval, except
// after a new subscription, as a request may be waiting for that listing.
func (s *subscriber) send(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := s.d.watch()
		for _, frame := range s.collectFrames(time.Now()) {
			if err := s.stream.Send(frame); err != nil {
				return err
			}
		}
		interruptibleSleep(ctx, s.d.config.Timing.Push, s.immediate)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.wakeup:
		case <-time.After(confirmInterval):
		}
	}
	return ctx.Err()
}

// collectFrames returns the frames that the peer has to be sent.
func (s *subscriber) collectFrames(now time.Time) []*peerpb.DirectoryFrame {
	d := s.d
	d.mu.Lock()
	defer d.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	frames := s.pending
	s.pending = nil
	if s.relaysVersion != d.relays.Version() {
		s.relaysVersion = d.relays.Version()
		frames = append(frames, d.relayListFrame(s.relayZone()))
	}
	if s.bundleChanges != d.bundles.changes || !s.bundlesReported || now.Sub(s.bundlesReportedAt) >= confirmInterval {
		s.bundleChanges, s.bundlesReported, s.bundlesReportedAt = d.bundles.changes, true, now
		frames = append(frames, d.bundleVersionsFrame())
	}
	if bundle, ok := s.bundleDue(); ok {
		s.bundle = bundle.version
		frames = append(frames, bundle.frame())
	}
	if !s.subscribed {
		return frames
	}
	delta := d.state.ChangesSince(s.version, s.filter)
	s.version = delta.Version
	for _, update := range encodeDelta(now, delta) {
		update.Starting = !d.subscription.relayReady
		frames = append(frames, &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Update{Update: update}})
	}
	return frames
}

// relayZone returns the zone whose relays the peer needs; empty for all.
func (s *subscriber) relayZone() string {
	if s.role == peerpb.Role_ROLE_NODE {
		return s.d.config.Zone
	}
	return ""
}

// bundleDue returns the bundle to send to the peer, or false if there is none.
// d.mu and s.mu must be held.
func (s *subscriber) bundleDue() (heldBundle, bool) {
	due := s.targetBundle()
	if due.version <= s.bundle || s.role == peerpb.Role_ROLE_REMOTE_RELAY {
		return heldBundle{}, false
	}
	// A base relay gets bundles from the platform, and a node from its primary.
	waits := s.isBaseRelay() || s.role == peerpb.Role_ROLE_NODE && !s.primary
	if waits && s.lag < lagHeartbeats {
		return heldBundle{}, false
	}
	if due.version == s.d.bundles.ready.version {
		due = s.d.proofSince(s.bundle, due)
	}
	return due, due.version > s.bundle
}

// targetBundle returns the bundle that the peer should have: for a base relay the
// newest, for all others the newest that may become active.
func (s *subscriber) targetBundle() heldBundle {
	if s.isBaseRelay() {
		return s.d.bundles.newest()
	}
	return s.d.bundles.ready
}

// isBaseRelay reports whether the peer is a base relay of the zone.
func (s *subscriber) isBaseRelay() bool {
	base := s.d.relays.Base(s.d.config.Zone, s.d.config.Timing.BaseSlots)
	return s.role == peerpb.Role_ROLE_RELAY && slices.ContainsFunc(base, func(r Relay) bool { return r.VM == s.peer.VM })
}

// proofSince returns the bundle that brings a node from a version to one that may
// become active: the result of Config.ProofSince, or ready if that is nil.
func (d *Directory) proofSince(version uint64, ready heldBundle) heldBundle {
	if d.config.ProofSince == nil {
		return ready
	}
	proven, raw, err := d.config.ProofSince(version)
	if err != nil {
		d.logger.Warn("directory: no proof of the bundle", zap.Uint64("since", version), zap.Error(err))
		return heldBundle{}
	}
	return heldBundle{proven, raw}
}

func (b heldBundle) frame() *peerpb.DirectoryFrame {
	return &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Bundle{Bundle: &peerpb.BundleRecord{
		Version: b.version,
		Raw:     b.raw,
	}}}
}

// relayListFrame returns a frame with the relays of a zone, or of all zones if
// zone is empty. d.mu must be held.
func (d *Directory) relayListFrame(zone string) *peerpb.DirectoryFrame {
	list := &peerpb.RelayList{}
	for _, r := range d.relays.All() {
		if zone == "" || zone == r.Zone {
			list.Relays = append(list.Relays, r.encode())
		}
	}
	return &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Relays{Relays: list}}
}

// bundleVersionsFrame returns a frame with the bundle versions of this node. d.mu
// must be held.
func (d *Directory) bundleVersionsFrame() *peerpb.DirectoryFrame {
	return &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Versions{Versions: &peerpb.BundleVersions{
		Held:          d.bundles.newest().version,
		Released:      d.bundles.ready.version,
		CaughtUp:      d.bundles.caughtUp,
		WordAgeMicros: d.confirmationAge(),
	}}}
}
