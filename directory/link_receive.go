package directory

import (
	"time"

	"go.uber.org/zap"

	"auburngap/peer/peerpb"
)

func (l *link) receive() error {
	for {
		frame, err := l.stream.Receive()
		if err != nil {
			return err
		}
		if err := l.handle(time.Now(), frame); err != nil {
			l.d.logger.Warn("directory: relay's message refused", zap.String("vm", l.relay.VM), zap.Error(err))
			return err
		}
	}
}

func (l *link) handle(now time.Time, frame *peerpb.DirectoryFrame) error {
	switch m := frame.GetFrame().(type) {
	case *peerpb.DirectoryFrame_Update:
		return l.applyUpdate(now, m.Update)
	case *peerpb.DirectoryFrame_Relays:
		return l.d.mergeRelays(m.Relays)
	case *peerpb.DirectoryFrame_Versions:
		l.applyVersions(m.Versions)
	case *peerpb.DirectoryFrame_Bundle:
		l.applyBundle(m.Bundle)
	case *peerpb.DirectoryFrame_Outdated:
		l.d.supersede(Entry{Incarnation: m.Outdated.GetIncarnation(), Sequence: m.Outdated.GetSequence()})
		notify(l.reannounce)
	case *peerpb.DirectoryFrame_Invite:
		l.d.invite(int(m.Invite.GetSlot()))
	case *peerpb.DirectoryFrame_BundleRequest:
		notify(l.bundleRequests)
	default:
		return ErrMessage.New("unexpected message %T", m)
	}
	return nil
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// applyUpdate applies a listing or delta of the relay.
func (l *link) applyUpdate(now time.Time, m *peerpb.Update) error {
	entries := make([]Entry, len(m.GetAnnouncements()))
	for i, a := range m.GetAnnouncements() {
		entry, err := decodeEntry(now, a)
		if err != nil {
			return err
		}
		entries[i] = entry
	}
	if m.GetWhole() {
		l.listing = make(map[string]struct{})
	}
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	before := l.d.state.Version()
	for _, entry := range entries {
		l.d.state.Merge(l.source, entry)
		if l.listing != nil {
			l.listing[entry.VM] = struct{}{}
		}
	}
	for _, vm := range m.GetGoneVms() {
		l.d.state.Unlist(now, l.source, vm)
	}
	if l.listing != nil && !m.GetMore() {
		l.d.state.Retain(now, l.source, l.listing)
		l.listing = nil
		l.listingComplete(now, m.GetStarting())
	}
	if l.d.state.Version() != before {
		l.d.wake()
	}
	return nil
}

// listingComplete records that the relay has sent a full listing. l.d.mu must be
// held.
func (l *link) listingComplete(now time.Time, starting bool) {
	l.dropPrevious(now, starting)
	if !l.awaitingListing {
		return
	}
	l.awaitingListing = false
	if starting {
		l.d.subscription.recordStartingAnswer(l.index, l.subscribed, now)
	} else {
		l.d.subscription.recordAnswer(l.index, l.subscribed)
	}
	l.d.wake()
}

// dropPrevious drops what the previous connection listed. If the relay is
// starting, its listing may be incomplete, so the drop is delayed by
// relayReadyAfter. A relay that this one replaces may be gone, so its listing of
// itself is dropped at once. l.d.mu must be held.
func (l *link) dropPrevious(now time.Time, starting bool) {
	if l.previous == noSource {
		return
	}
	if starting {
		l.d.retired[l.previous] = now.Add(relayReadyAfter)
		if l.previousRelay != l.relay.VM {
			l.d.state.Unlist(now, l.previous, l.previousRelay)
		}
	} else {
		l.d.state.Retain(now, l.previous, nil)
	}
	l.previous = noSource
}

// applyVersions applies the bundle versions that the relay reports.
func (l *link) applyVersions(m *peerpb.BundleVersions) {
	l.d.applyConfirmationAge(m)
	switch l.role {
	case peerpb.Role_ROLE_NODE:
		l.d.setAnswered(l.index, true)
		l.d.updateBundles(func(s *bundleStore) { s.release(m.GetReleased()) })
	case peerpb.Role_ROLE_RELAY:
		l.d.updateBundles(func(s *bundleStore) {
			s.setReport(l.relay.VM, relayVersions{m.GetHeld(), m.GetReleased(), m.GetCaughtUp()})
		})
	case peerpb.Role_ROLE_REMOTE_RELAY:
		l.d.setLinked(l.relay.Zone, true)
	}
}

func (d *Directory) setAnswered(i int, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.answered[i] != answered {
		d.answered[i] = answered
		d.subscription.answerChanges++
		d.wake()
	}
}

func (d *Directory) setLinked(zone string, linked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.linked[zone] = linked
}

// applyBundle stores a bundle. One that fails the check may be a delta that came
// too early. The relay sends it again while this node lags.
func (l *link) applyBundle(m *peerpb.BundleRecord) {
	if err := l.d.storeBundle(m); err != nil {
		l.d.logger.Warn("directory: bundle refused", zap.String("relay", l.relay.VM), zap.Error(err))
		return
	}
	if l.role == peerpb.Role_ROLE_NODE {
		l.d.updateBundles(func(s *bundleStore) {
			s.release(m.GetVersion())
			s.reoffer(m.GetVersion(), m.GetRaw())
		})
	}
}

// supersede makes this node's announcement newer than the one that a relay holds.
func (d *Directory) supersede(current Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.Supersede(current)
	d.wake()
}

func (d *Directory) mergeRelays(m *peerpb.RelayList) error {
	relays := make([]Relay, len(m.GetRelays()))
	for i, one := range m.GetRelays() {
		relay, err := decodeRelay(one)
		if err != nil {
			return err
		}
		relays[i] = relay
	}
	d.updateRelays(func(t *RelayTable) {
		for _, relay := range relays {
			t.Merge(relay)
		}
	})
	return nil
}

// updateRelays applies a change to the relay table. If the table changed, it wakes
// waiting goroutines and evaluates the bundle store again.
func (d *Directory) updateRelays(change func(*RelayTable)) {
	d.mu.Lock()
	before := d.relays.Version()
	change(d.relays)
	changed := d.relays.Version() != before
	if changed {
		d.wake()
	}
	d.mu.Unlock()
	if changed {
		d.updateBundles(func(*bundleStore) {})
	}
}
