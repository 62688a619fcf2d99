package directory

import (
	"context"
	"maps"
	"slices"
	"time"

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

// errElsewhere ends a link that the node itself gives up.
var errElsewhere = errs.NewType("elsewhere")

// link is a stream that this node has opened to a relay.
type link struct {
	d      *Directory
	relay  Relay
	role   peerpb.Role
	source Source
	// former is the source that this one replaces once the relay has listed all;
	// noSource where there is none, and from then on.
	former Source
	// formerRelay is the VM of the relay that listed the former source.
	formerRelay string
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
	// asked is set while the relay owes the listing of the last subscription;
	// until then no other is sent, so that it is known what a listing answers.
	// It is guarded by d.mu.
	asked bool
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
	stream = newHeardStream(stream)
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
			return errElsewhere.New("another relay, or another role")
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
	if d.slot != noSlot || l.asked || l.subscribed == d.wanted.changes {
		return frames
	}
	l.subscribed, l.asked = d.wanted.changes, true
	subscribe := &peerpb.Subscribe{Services: slices.Collect(maps.Keys(d.wanted.services))}
	return append(frames, &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Subscribe{Subscribe: subscribe}})
}

func (l *link) beat() error {
	inForce := l.d.config.Bundles.ActiveVersion()
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
