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
	// openTimeout limits how long opening a stream may take.
	openTimeout = 2 * time.Second
	// minLinkTime is the time below which a link that ended counts as refused.
	minLinkTime = time.Second
	// retireAfter is how long a node that changes its role keeps the entries
	// that its earlier links listed.
	retireAfter = 2 * time.Second
)

// errMoved ends a link that the node closes by its own choice.
var errMoved = errs.NewType("elsewhere")

// link is a stream that this node has opened to a relay.
type link struct {
	d      *Directory
	relay  Relay
	role   peerpb.Role
	source Source
	// previous is the source that this one replaces once the relay has sent a
	// full listing. It is noSource after that, or if there is none.
	previous Source
	// previousRelay is the VM of the relay that listed the previous source.
	previousRelay string
	// index distinguishes the links by which the node announces itself; the
	// first is the primary, which delivers bundles.
	index int
	// asRelay is set if the node was a relay when it chose the relay.
	asRelay bool
	stream  Stream
	// bundleRequests carries the relay's requests for the active bundle.
	bundleRequests chan struct{}

	// announced and subscribed are what the relay has been sent. The receiving
	// goroutine signals reannounce to have the announcement repeated.
	announced  Entry
	subscribed uint64
	reannounce chan struct{}
	// awaitingListing is set until the relay has sent the listing of the last
	// subscription. No other subscription is sent before that, so that it is
	// clear which one a listing answers. It is guarded by d.mu.
	awaitingListing bool
	// listing collects the VMs of a full listing that arrives in parts.
	listing map[string]struct{}
}

// run opens the link and keeps it until it fails or the node moves to another
// relay. It reports whether the stream was opened.
func (l *link) run(ctx context.Context) (bool, error) {
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	stream, err := l.d.config.Peers.Open(opening, l.relay.Address)
	cancel()
	if err != nil {
		return false, err
	}
	stream = newIdleTimeoutStream(stream)
	l.stream = stream
	l.bundleRequests, l.reannounce = make(chan struct{}, 1), make(chan struct{}, 1)
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { closeQuietly(stream) })
	defer stop()
	defer closeQuietly(stream)
	group.Go(l.receive)
	group.Go(func() error { return l.send(ctx) })
	return true, group.Wait()
}

func closeQuietly(stream Stream) {
	// An error means that the stream is broken already, with nothing left to close.
	_ = stream.Close()
}

func (l *link) send(ctx context.Context) error {
	if err := l.sendJoin(); err != nil {
		return err
	}
	heartbeat := time.NewTicker(l.d.config.Timing.Heartbeat)
	defer heartbeat.Stop()
	for {
		changed := l.d.watch()
		if err := l.sendChanges(); err != nil {
			return err
		}
		if l.role == peerpb.Role_ROLE_NODE && l.shouldMove(ctx) {
			return errMoved.New("another relay is preferred, or the role has changed")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-l.reannounce:
			l.announced = Entry{}
		case <-l.bundleRequests:
			if err := l.stream.Send(l.d.provenBundle().frame()); err != nil {
				return err
			}
		case <-heartbeat.C:
			if err := l.sendHeartbeat(); err != nil {
				return err
			}
		}
	}
}

// shouldMove reports whether the node should end this link and choose a relay
// again: at once after a change of role, and after a random delay if another
// relay is preferred.
func (l *link) shouldMove(ctx context.Context) bool {
	if l.d.isRelay() != l.asRelay {
		return true
	}
	if l.d.prefers(l.relay) {
		return false
	}
	sleep(ctx, jitter(l.d.config.Timing.Spread))
	return true
}

func (l *link) sendJoin() error {
	l.d.mu.Lock()
	newest := l.d.bundles.newest().version
	l.d.mu.Unlock()
	return l.stream.Send(&peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Join{Join: &peerpb.Join{
		Role:          l.role,
		BundleVersion: newest,
		Primary:       l.role == peerpb.Role_ROLE_NODE && l.index == 0,
	}}})
}

// sendChanges sends what has changed in the node's announcement and subscription.
func (l *link) sendChanges() error {
	if l.role != peerpb.Role_ROLE_NODE {
		return nil
	}
	for _, frame := range l.changedFrames(time.Now()) {
		if err := l.stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) changedFrames(now time.Time) []*peerpb.DirectoryFrame {
	d := l.d
	d.mu.Lock()
	defer d.mu.Unlock()
	var frames []*peerpb.DirectoryFrame
	if l.announced.compareVersion(&d.self) != 0 {
		l.announced = d.self
		frames = append(frames, &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Announce{Announce: d.self.encode(now)}})
	}
	// A relay does not subscribe: it gets entries from the other relays over the
	// relay links. With a subscription as well, two relays could keep a dead
	// entry listed because each receives it from the other.
	if d.slot != noSlot || l.awaitingListing || l.subscribed == d.subscription.changes {
		return frames
	}
	l.subscribed, l.awaitingListing = d.subscription.changes, true
	subscribe := &peerpb.Subscribe{Services: slices.Collect(maps.Keys(d.subscription.services))}
	return append(frames, &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Subscribe{Subscribe: subscribe}})
}

func (l *link) sendHeartbeat() error {
	active := l.d.config.Bundles.ActiveVersion()
	l.d.mu.Lock()
	beat := &peerpb.Heartbeat{
		Incarnation:   l.d.self.Incarnation,
		Sequence:      l.d.self.Sequence,
		Load:          uint32(l.d.self.Load),
		BundleVersion: active,
	}
	if l.role != peerpb.Role_ROLE_NODE {
		beat.BundleVersion = l.d.bundles.newest().version
	}
	l.d.mu.Unlock()
	return l.stream.Send(&peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Heartbeat{Heartbeat: beat}})
}
