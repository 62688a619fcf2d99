package directory

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburngap/peer/peerpb"
	"auburngap/rendezvous"
)

const (
	// unwantedGrace is how long a link to a relay that has left the table is kept.
	// The relay may only have lost its lease while the platform was down, and will
	// then acquire the slot again.
	unwantedGrace = 10 * time.Second
	// inviteInterval is the time between two checks of the number of relays.
	inviteInterval = 2 * time.Second
)

// meshLink is a link to another relay of the zone, or to a relay of another zone.
type meshLink struct {
	cancel        context.CancelFunc
	unwantedSince time.Time
}

// runMesh keeps links to all relays of the zone and to one relay of each other
// zone, and invites nodes to acquire free slots.
func (d *Directory) runMesh(ctx context.Context) error {
	links := make(map[string]*meshLink)
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(inviteInterval)
	defer ticker.Stop()
	for round := 0; ctx.Err() == nil; round++ {
		changed := d.watch()
		d.reconcile(ctx, links, &running)
		select {
		case <-ctx.Done():
		case <-changed:
			sleep(ctx, d.config.Timing.Push)
		case <-ticker.C:
			d.inviteRelays(round)
		}
	}
	return nil
}

// reconcile starts the missing links and ends those that have been unwanted for
// unwantedGrace.
func (d *Directory) reconcile(ctx context.Context, links map[string]*meshLink, running *sync.WaitGroup) {
	now := time.Now()
	wanted := d.wantedLinks()
	for key, choose := range wanted {
		if l, ok := links[key]; ok {
			l.unwantedSince = time.Time{}
			continue
		}
		linked, cancel := context.WithCancel(ctx)
		links[key] = &meshLink{cancel: cancel}
		running.Go(func() { d.runMeshLink(linked, choose) })
	}
	for key, l := range links {
		if _, ok := wanted[key]; ok {
			continue
		}
		if l.unwantedSince.IsZero() {
			l.unwantedSince = now
		}
		if now.Sub(l.unwantedSince) >= unwantedGrace {
			l.cancel()
			delete(links, key)
		}
	}
}

// chooser returns the relay for a link and the role in which the node joins it.
type chooser func(now time.Time) (Relay, peerpb.Role, bool)

func (d *Directory) wantedLinks() map[string]chooser {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := make(map[string]chooser)
	for _, relay := range d.relays.Zone(d.config.Zone) {
		if relay.VM == d.config.VM {
			continue
		}
		wanted[fmt.Sprint("relay ", relay.VM, " ", relay.Address)] = func(time.Time) (Relay, peerpb.Role, bool) {
			return relay, peerpb.Role_ROLE_RELAY, true
		}
	}
	for _, zone := range d.relays.Zones() {
		if zone == d.config.Zone {
			continue
		}
		wanted["zone "+zone] = func(now time.Time) (Relay, peerpb.Role, bool) {
			relay, ok := d.chooseRemote(now, zone)
			return relay, peerpb.Role_ROLE_REMOTE_RELAY, ok
		}
	}
	return wanted
}

// chooseRemote returns a relay of another zone that has not failed recently.
func (d *Directory) chooseRemote(now time.Time, zone string) (Relay, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, relay := range d.relays.Ranked(zone, d.config.VM) {
		if !now.Before(d.failed[relay.Address]) {
			return relay, true
		}
	}
	return Relay{}, false
}

// runMeshLink keeps one link. Its entries are dropped once it has been down for
// ZoneTimeout. Each connection has its own source, because a restarted relay lists
// less than before until its nodes have reconnected.
func (d *Directory) runMeshLink(ctx context.Context, choose chooser) {
	source, listedBy := d.newSource(), ""
	defer func() { d.retire(source) }()
	wait := d.newBackoff()
	upAt := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if relay, role, ok := choose(now); ok {
			l := &link{d: d, relay: relay, role: role, source: d.newSource(), previous: source, previousRelay: listedBy}
			if d.followRelay(ctx, l) {
				upAt = time.Now()
				wait.reset()
			}
			if source = d.sourceAfter(l, source); source == l.source {
				listedBy = relay.VM
			}
		}
		if time.Since(upAt) >= d.config.Timing.ZoneTimeout {
			d.dropSource(source)
		}
		wait.wait(ctx)
	}
}

// sourceAfter returns the source to keep after a link has ended: the link's own
// source if its relay has sent a full listing, otherwise the one before.
func (d *Directory) sourceAfter(l *link, before Source) Source {
	if l.previous == noSource {
		return l.source
	}
	d.dropSource(l.source)
	return before
}

// followRelay runs the link to one relay and reports whether it was opened.
func (d *Directory) followRelay(ctx context.Context, l *link) bool {
	relay, role := l.relay, l.role
	opened, err := l.run(ctx)
	d.logger.Debug("directory: relay link ended", zap.String("relay", relay.VM), zap.Error(err))
	if role == peerpb.Role_ROLE_RELAY {
		d.updateBundles(func(s *bundleStore) { s.removeReport(relay.VM) })
	} else {
		d.setLinked(relay.Zone, false)
	}
	if !opened {
		d.mu.Lock()
		d.failed[relay.Address] = time.Now().Add(d.config.Timing.MaxRetry)
		d.mu.Unlock()
	}
	return opened
}

// inviteRelays asks nodes to acquire the free slots, if this node is the zone's
// first relay. Each round asks in a different order, as some nodes may not accept.
func (d *Directory) inviteRelays(round int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	relays := d.relays.Zone(d.config.Zone)
	if len(relays) == 0 || relays[0].VM != d.config.VM {
		return
	}
	t := d.config.Timing
	slots := wantedSlots(d.state.CountZone(d.config.Zone), t.BaseSlots, t.FanOut)
	free := d.relays.FreeSlots(d.config.Zone, slots)
	for i, s := range d.candidates(relays, round) {
		if i >= len(free) {
			return
		}
		s.push(&peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Invite{
			Invite: &peerpb.RelayInvite{Slot: uint32(free[i])},
		}})
	}
}

// candidates returns the nodes that may become relays, in an order that
// differs from round to round. d.mu must be held.
func (d *Directory) candidates(relays []Relay, round int) []*subscriber {
	var found []*subscriber
	for s := range d.subscribers {
		isRelay := slices.ContainsFunc(relays, func(r Relay) bool { return r.VM == s.peer.VM })
		if s.role == peerpb.Role_ROLE_NODE && !isRelay {
			found = append(found, s)
		}
	}
	order := rendezvous.New(fmt.Sprint(round))
	slices.SortFunc(found, func(a, b *subscriber) int {
		return cmp.Compare(order.Rank(a.peer.VM), order.Rank(b.peer.VM))
	})
	return found
}
