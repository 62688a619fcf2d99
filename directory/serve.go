package directory

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"auburngap/peer/peerpb"
)

// lagHeartbeats is the number of heartbeats for which a node may lag before a
// relay that is not its primary sends it a bundle.
const lagHeartbeats = 2

// confirmInterval is the maximum time between two frames that report how long ago
// the platform was read.
const confirmInterval = 5 * time.Second

// subscriber is the peer of an accepted stream.
type subscriber struct {
	d      *Directory
	peer   Peer
	role   peerpb.Role
	stream Stream
	// wakeup wakes the sender for pending frames. immediate also interrupts its
	// pause between two updates.
	wakeup, immediate chan struct{}

	mu      sync.Mutex
	pending []*peerpb.DirectoryFrame
	filter  Filter
	// subscribed is set once there is a filter. version is the State version up
	// to which changes have been sent.
	subscribed        bool
	version           uint64
	relaysVersion     uint64
	bundleChanges     uint64
	bundlesReported   bool
	bundlesReportedAt time.Time
	// bundle is the version that the peer has, as far as known. lag counts the
	// heartbeats for which it has been below the version that the peer should have.
	bundle  uint64
	lag     int
	primary bool
}

// Serve serves a stream that another node has opened, until it ends. A node
// that is not a relay sends the relays that it knows, and to a starting node its
// newest bundle, and then closes the stream.
func (d *Directory) Serve(ctx context.Context, peer Peer, stream Stream) error {
	stream = newIdleTimeoutStream(stream)
	defer closeQuietly(stream)
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	join := first.GetJoin()
	if join == nil {
		return ErrMessage.New("stream of %s does not begin with a join", peer.VM)
	}
	s := &subscriber{
		d:         d,
		peer:      peer,
		role:      join.GetRole(),
		stream:    stream,
		wakeup:    make(chan struct{}, 1),
		immediate: make(chan struct{}, 1),
		bundle:    join.GetBundleVersion(),
		primary:   join.GetPrimary(),
	}
	if s.role == peerpb.Role_ROLE_STARTING || !d.addSubscriber(s) {
		return s.answerOnce()
	}
	defer d.removeSubscriber(s)
	return s.run(ctx)
}

// addSubscriber registers a stream. It returns false if this node is not a relay
// or already has MaxStreams streams.
func (d *Directory) addSubscriber(s *subscriber) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.slot == noSlot || len(d.subscribers) >= d.config.Timing.MaxStreams {
		return false
	}
	d.subscribers[s] = struct{}{}
	return true
}

func (d *Directory) removeSubscriber(s *subscriber) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.subscribers, s)
	if s.role == peerpb.Role_ROLE_NODE {
		d.state.StreamClosed(time.Now(), s.peer.VM)
	}
}

// answerOnce sends the relays, the bundle versions if this node is a relay, and
// the newest bundle if the peer is starting and lacks it.
func (s *subscriber) answerOnce() error {
	s.d.mu.Lock()
	frames := []*peerpb.DirectoryFrame{s.d.relayListFrame("")}
	if s.d.slot != noSlot {
		frames = append(frames, s.d.bundleVersionsFrame())
	}
	newest := s.d.bundles.newest()
	if newest.version == s.d.bundles.ready.version {
		newest = s.d.proofSince(s.bundle, newest)
	}
	s.d.mu.Unlock()
	if s.role == peerpb.Role_ROLE_STARTING && newest.version > s.bundle {
		frames = append(frames, newest.frame())
	}
	for _, frame := range frames {
		if err := s.stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

func (s *subscriber) run(ctx context.Context) error {
	switch s.role {
	case peerpb.Role_ROLE_RELAY:
		s.subscribe(Filter{DirectOnly: true, ExcludeVM: s.d.config.VM})
	case peerpb.Role_ROLE_REMOTE_RELAY:
		s.subscribe(Filter{Zone: s.d.config.Zone})
	}
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { closeQuietly(s.stream) })
	defer stop()
	group.Go(s.receive)
	group.Go(func() error { return s.send(ctx) })
	return group.Wait()
}

func (s *subscriber) receive() error {
	for {
		frame, err := s.stream.Receive()
		if err != nil {
			return err
		}
		if err := s.handle(time.Now(), frame); err != nil {
			s.d.logger.Warn("directory: stream refused", zap.String("vm", s.peer.VM), zap.Error(err))
			return err
		}
	}
}

func (s *subscriber) handle(now time.Time, frame *peerpb.DirectoryFrame) error {
	switch m := frame.GetFrame().(type) {
	case *peerpb.DirectoryFrame_Announce:
		return s.handleAnnouncement(now, m.Announce)
	case *peerpb.DirectoryFrame_Heartbeat:
		s.handleHeartbeat(now, m.Heartbeat)
	case *peerpb.DirectoryFrame_Subscribe:
		if s.role == peerpb.Role_ROLE_NODE {
			s.subscribe(Filter{Services: setOf(m.Subscribe.GetServices())})
			notify(s.immediate)
		}
	case *peerpb.DirectoryFrame_Bundle:
		return s.d.storeBundle(m.Bundle)
	default:
		return ErrMessage.New("unexpected message %T", m)
	}
	return nil
}

func setOf(names []string) map[string]struct{} {
	set := make(map[string]struct{}, len(names))
	for _, name := range names {
		set[name] = struct{}{}
	}
	return set
}

// handleAnnouncement applies an announcement. A node may announce only its own VM.
func (s *subscriber) handleAnnouncement(now time.Time, m *peerpb.Announcement) error {
	entry, err := decodeEntry(now, m)
	if err != nil {
		return err
	}
	if entry.VM != s.peer.VM || entry.Zone != s.peer.Zone {
		return ErrMessage.New("%s announces %s", s.peer.VM, entry.VM)
	}
	s.d.mu.Lock()
	before := s.d.state.Version()
	current, ok := s.d.state.ApplyAnnouncement(now, entry)
	if s.d.state.Version() != before {
		s.d.wake()
	}
	s.d.mu.Unlock()
	if !ok {
		s.push(outdated(current))
	}
	return nil
}

// handleHeartbeat applies a heartbeat. An unknown node is asked to announce itself.
func (s *subscriber) handleHeartbeat(now time.Time, m *peerpb.Heartbeat) {
	s.trackBundle(m.GetBundleVersion())
	if s.role != peerpb.Role_ROLE_NODE {
		return
	}
	s.d.mu.Lock()
	current, ok := s.d.state.ApplyHeartbeat(now, s.peer.VM, HeartbeatState{
		Incarnation:   m.GetIncarnation(),
		Sequence:      m.GetSequence(),
		Load:          int(m.GetLoad()),
		BundleVersion: m.GetBundleVersion(),
	})
	newest := s.d.bundles.newest().version
	s.d.mu.Unlock()
	if !ok {
		s.push(outdated(current))
	}
	if m.GetBundleVersion() > newest {
		s.push(&peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_BundleRequest{BundleRequest: &peerpb.BundleRequest{}}})
	}
}

func outdated(current Entry) *peerpb.DirectoryFrame {
	return &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Outdated{Outdated: &peerpb.Outdated{
		Incarnation: current.Incarnation,
		Sequence:    current.Sequence,
	}}}
}

// trackBundle counts the heartbeats for which the peer has lagged. After
// lagHeartbeats, the bundle that it lacks is sent again.
func (s *subscriber) trackBundle(version uint64) {
	s.d.mu.Lock()
	target := s.targetBundle().version
	s.d.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= target {
		s.lag = 0
	} else {
		s.lag++
	}
	if version > s.bundle || s.lag >= lagHeartbeats {
		s.bundle = version
	}
	s.wake()
}

func (s *subscriber) subscribe(filter Filter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.filter, s.subscribed, s.version = filter, true, 0
	s.wake()
}

// push queues a frame and wakes the sender.
func (s *subscriber) push(frame *peerpb.DirectoryFrame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, frame)
	s.wake()
}

func (s *subscriber) wake() { notify(s.wakeup) }
