package directory

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"auburngap/peer/peerpb"
)

const (
	// nodeLinks is the number of relays that each node announces itself to.
	nodeLinks = 2
	// openTimeout bounds the opening of a stream.
	openTimeout = 2 * time.Second
	// shortestLink is the time below which a link counts as refused.
	shortestLink = time.Second
	// retireAfter is the time for which a node that changes its role goes on
	// with what its former links listed.
	retireAfter = 2 * time.Second
)

// link is a stream that this node has opened to a relay.
type link struct {
	d      *Directory
	relay  Relay
	role   peerpb.Role
	source Source
	// index tells the node's own links apart; bundles come by the first.
	index int
	// asRelay tells whether the node was a relay when it chose the relay.
	asRelay bool
	stream  Stream
	// requests carries the relay's requests for the bundle in force.
	requests chan struct{}

	// announced and subscribed tell what the relay has been sent. Receive
	// clears again to have the announcement repeated.
	announced  Entry
	subscribed uint64
	again      chan struct{}
	// listing gathers the parts of a whole listing.
	listing map[string]struct{}
}

// follow opens the link and keeps it until it breaks or leads elsewhere. It
// tells whether the stream came about.
func (l *link) follow(ctx context.Context) (bool, error) {
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	stream, err := l.d.config.Peers.Open(opening, l.relay.Address)
	cancel()
	if err != nil {
		return false, err
	}
	l.stream = stream
	l.requests, l.again = make(chan struct{}, 1), make(chan struct{}, 1)
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { closeQuietly(stream) })
	defer stop()
	defer closeQuietly(stream)
	group.Go(l.receive)
	group.Go(func() error { return l.send(ctx) })
	return true, group.Wait()
}

func closeQuietly(stream Stream) {
	// A stream that is broken already has nothing left to close.
	_ = stream.Close()
}

func (l *link) send(ctx context.Context) error {
	if err := l.join(); err != nil {
		return err
	}
	heartbeat := time.NewTicker(l.d.config.Timing.Heartbeat)
	defer heartbeat.Stop()
	for {
		changed := l.d.watch()
		if err := l.tell(); err != nil {
			return err
		}
		if l.role == peerpb.Role_ROLE_NODE && l.elsewhere(ctx) {
			return context.Canceled
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-l.again:
			l.announced = Entry{}
		case <-l.requests:
			if err := l.stream.Send(l.d.provenBundle().frame()); err != nil {
				return err
			}
		case <-heartbeat.C:
			if err := l.beat(); err != nil {
				return err
			}
		}
	}
}

// elsewhere tells whether a node's own link shall lead elsewhere: at once after
// a change of role, and after a random wait where another relay is preferred.
func (l *link) elsewhere(ctx context.Context) bool {
	if l.d.isRelay() != l.asRelay {
		return true
	}
	if l.d.prefers(l.relay) {
		return false
	}
	sleep(ctx, jitter(l.d.config.Timing.Spread))
	return true
}

func (l *link) join() error {
	l.d.mu.Lock()
	newest := l.d.shelf.newest().version
	l.d.mu.Unlock()
	return l.stream.Send(&peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Join{Join: &peerpb.Join{
		Role:          l.role,
		BundleVersion: newest,
		Primary:       l.role == peerpb.Role_ROLE_NODE && l.index == 0,
	}}})
}

// tell sends what has changed in what a node announces and subscribes to.
func (l *link) tell() error {
	if l.role != peerpb.Role_ROLE_NODE {
		return nil
	}
	for _, frame := range l.news(time.Now()) {
		if err := l.stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) news(now time.Time) []*peerpb.DirectoryFrame {
	d := l.d
	d.mu.Lock()
	defer d.mu.Unlock()
	var frames []*peerpb.DirectoryFrame
	if l.announced.compareAge(&d.self) != 0 {
		l.announced = d.self
		frames = append(frames, &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Announce{Announce: d.self.encode(now)}})
	}
	// A relay lists what other relays hear; a subscription beside it would make
	// relays support entries by each other's word.
	if d.slot != noSlot || l.subscribed == d.servicesChanges {
		return frames
	}
	l.subscribed = d.servicesChanges
	subscribe := &peerpb.Subscribe{}
	for service := range d.services {
		subscribe.Services = append(subscribe.Services, service)
	}
	return append(frames, &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Subscribe{Subscribe: subscribe}})
}

func (l *link) beat() error {
	inForce := l.d.config.Bundles.Highest()
	l.d.mu.Lock()
	beat := &peerpb.Heartbeat{
		Incarnation:   l.d.self.Incarnation,
		Sequence:      l.d.self.Sequence,
		Load:          uint32(l.d.self.Load),
		BundleVersion: inForce,
	}
	if l.role != peerpb.Role_ROLE_NODE {
		beat.BundleVersion = l.d.shelf.newest().version
	}
	l.d.mu.Unlock()
	return l.stream.Send(&peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Heartbeat{Heartbeat: beat}})
}

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
		return l.update(now, m.Update)
	case *peerpb.DirectoryFrame_Relays:
		return l.d.mergeRelays(m.Relays)
	case *peerpb.DirectoryFrame_Versions:
		l.noteVersions(m.Versions)
	case *peerpb.DirectoryFrame_Bundle:
		l.takeBundle(m.Bundle)
	case *peerpb.DirectoryFrame_Outdated:
		l.d.supersede(Entry{Incarnation: m.Outdated.GetIncarnation(), Sequence: m.Outdated.GetSequence()})
		poke(l.again)
	case *peerpb.DirectoryFrame_Invite:
		l.d.invite(int(m.Invite.GetSlot()))
	case *peerpb.DirectoryFrame_BundleRequest:
		poke(l.requests)
	default:
		return ErrMessage.New("unexpected message %T", m)
	}
	return nil
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// update takes in what the relay lists.
func (l *link) update(now time.Time, m *peerpb.Update) error {
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
	}
	if l.d.state.Version() != before {
		l.d.wake()
	}
	return nil
}

// noteVersions takes in what the relay knows of bundles.
func (l *link) noteVersions(m *peerpb.BundleVersions) {
	l.d.hearWord(m.GetWordAgeMicros())
	switch l.role {
	case peerpb.Role_ROLE_NODE:
		l.d.setAnswered(l.index, true)
		l.d.updateShelf(func(s *shelf) { s.release(m.GetReleased()) })
	case peerpb.Role_ROLE_RELAY:
		l.d.updateShelf(func(s *shelf) {
			s.report(l.relay.VM, relayVersions{m.GetHeld(), m.GetReleased(), m.GetCaughtUp()})
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
		d.wake()
	}
}

func (d *Directory) setLinked(zone string, linked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.linked[zone] = linked
}

// takeBundle takes in a bundle. One that does not pass the check may be a delta
// that came too early; the relay sends it again while this node lags.
func (l *link) takeBundle(m *peerpb.BundleRecord) {
	if err := l.d.holdBundle(m); err != nil {
		l.d.logger.Warn("directory: bundle refused", zap.String("relay", l.relay.VM), zap.Error(err))
		return
	}
	if l.role == peerpb.Role_ROLE_NODE {
		l.d.updateShelf(func(s *shelf) {
			s.release(m.GetVersion())
			s.retake(m.GetVersion(), m.GetRaw())
		})
	}
}

// supersede raises this node's announcement above one that stands at a relay.
func (d *Directory) supersede(standing Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.Supersede(standing)
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

// updateRelays changes the table of relays and tells of what came of it.
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
		d.updateShelf(func(*shelf) {})
	}
}

// runNodeLink keeps one of the links by which the node announces itself. The
// wait between tries does not grow, as relays that fail are passed over for a
// while.
func (d *Directory) runNodeLink(ctx context.Context, i int) error {
	source, wasRelay := d.newSource(), false
	for ; ctx.Err() == nil; d.pauseLink(ctx) {
		asRelay := d.isRelay()
		if asRelay && !wasRelay {
			d.retire(source)
			source = d.newSource()
		}
		wasRelay = asRelay
		relay, ok := d.chooseRelay(time.Now(), i)
		if !ok {
			continue
		}
		l := &link{d: d, relay: relay, role: peerpb.Role_ROLE_NODE, source: source, index: i, asRelay: asRelay}
		began := time.Now()
		_, err := l.follow(ctx)
		d.endNodeLink(i, relay, time.Since(began) >= shortestLink)
		d.logger.Debug("directory: link ended", zap.String("relay", relay.VM), zap.Error(err))
	}
	return nil
}

func (d *Directory) pauseLink(ctx context.Context) {
	retry := d.config.Timing.Retry
	sleep(ctx, retry/2+jitter(retry/2))
}

func (d *Directory) newSource() Source {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastSource++
	return d.lastSource
}

// retire drops a source after a while, in which another takes its place.
func (d *Directory) retire(source Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retired[source] = time.Now().Add(retireAfter)
}

// dropRetired drops the sources whose time has come; d.mu is held.
func (d *Directory) dropRetired(now time.Time) {
	for source, at := range d.retired {
		if !now.Before(at) {
			d.state.Retain(now, source, nil)
			delete(d.retired, source)
		}
	}
}

// dropSource unlists everything that a source lists.
func (d *Directory) dropSource(source Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.state.Version()
	d.state.Retain(time.Now(), source, nil)
	if d.state.Version() != before {
		d.wake()
	}
}

// chooseRelay returns the relay that a link shall lead to: the first one by
// this VM's order that answers and is not the other link's.
func (d *Directory) chooseRelay(now time.Time, i int) (Relay, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, relay := range d.relays.Ranked(d.config.Zone, d.config.VM) {
		if relay.VM == d.config.VM || now.Before(d.failed[relay.Address]) || d.leadsTo(relay.Address, i) {
			continue
		}
		d.links[i] = relay.Address
		return relay, true
	}
	return Relay{}, false
}

// leadsTo tells whether a link other than the given one leads to an address;
// d.mu is held.
func (d *Directory) leadsTo(address netip.AddrPort, but int) bool {
	for j, other := range d.links {
		if j != but && other == address {
			return true
		}
	}
	return false
}

// prefers tells whether a relay is among the first choices of this VM. While
// the table lists too few, every relay that answers is kept.
func (d *Directory) prefers(relay Relay) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	better := 0
	for _, r := range d.relays.Ranked(d.config.Zone, d.config.VM) {
		switch {
		case r.Address == relay.Address:
			return better < nodeLinks
		case r.VM != d.config.VM && !time.Now().Before(d.failed[r.Address]):
			better++
		}
	}
	return better < nodeLinks
}

// endNodeLink notes the end of a link; a relay that did not keep it is avoided
// for a while.
func (d *Directory) endNodeLink(i int, relay Relay, lasted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links[i] = netip.AddrPort{}
	d.answered[i] = false
	if !lasted {
		d.failed[relay.Address] = time.Now().Add(d.config.Timing.MaxRetry)
	}
	d.wake()
}
