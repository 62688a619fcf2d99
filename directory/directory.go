// Package directory keeps an availability zone's list of backend servers and
// distributes bundles. Each node announces itself to two relays. Relays are a
// few nodes that hold a lease on a relay slot at the platform. Only relays watch
// the platform. They exchange the entries that they receive, and send each node
// the backend servers of the services that it has subscribed to.
//
// # Usage
//
//	d := directory.New(directory.Config{VM: vm, Zone: zone, Address: address, Platform: client,
//		Peers: directory.NewDialer(pool), Bundles: tracker, Source: source, Logger: logger,
//		OnTargets: func(service string, targets []route.Target) { ... }})
//	server.HandleStream(peer.KindAnnounce, d.HandleStream)
//	group.Go(func() error { return d.Run(ctx) })
//	d.SetServices(services)                // whenever the services that the node calls change
//	d.SetBackend(directory.Backend{...})   // whenever the backend server announces itself
//	<-d.CaughtUp()                         // before serving callers
//
// A relay's information may be duplicated or stale, and no guarantee depends on
// it. State, RelayTable and bundleStore hold the decisions and do no I/O.
// Directory drives them.
package directory

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"auburngap/kv"
	"auburngap/peer/peerpb"
	"auburngap/route"
)

var (
	errs = errorx.NewNamespace("directory")
	// ErrMessage means that a peer sent an invalid or unexpected message.
	ErrMessage = errs.NewType("message")
)

// Config configures a Directory.
type Config struct {
	VM      string
	Zone    string
	Address netip.AddrPort
	// ControlAddress is where operators reach the node. It is written to the
	// platform with the relay slot.
	ControlAddress netip.AddrPort
	// Seeds are peer addresses of nodes to ask for relays.
	Seeds    []netip.AddrPort
	Platform kv.Client
	Peers    Dialer
	Bundles  BundleSink
	Source   BundleSource
	// Verify checks a bundle's signatures before it is forwarded; nil accepts all.
	Verify func(version uint64, raw []byte) error
	// ProofSince returns the bundle that brings a node from a version to the
	// active version of this node: a delta if the changes are known, otherwise
	// the full bundle. It returns zero if there is nothing newer. If it is nil,
	// bundles are forwarded as received.
	ProofSince func(version uint64) (uint64, []byte, error)
	// Zones returns the availability zones of the site; nil if there is only one.
	Zones func() []string
	// OnTargets is called with the backend servers of a subscribed service
	// whenever they change. It is called with none only after relays have
	// answered that there are none. All calls come from one goroutine, and it
	// must not block for long.
	OnTargets func(service string, targets []route.Target)
	Logger    *zap.Logger
	// Timing holds the intervals; its zero fields take their defaults.
	Timing Timing
}

// Backend is this VM's backend server, as it announces itself.
type Backend struct {
	// Service is empty while there is none.
	Service     string
	Slots       int
	Connections int
	// Load is the number of running requests, as counted by the node itself.
	Load     int
	Draining bool
	// Since is when the backend server started.
	Since time.Time
}

// noSlot is the relay slot of a node that is not a relay.
const noSlot = -1

// Directory runs a node's side of the directory, as a subscriber and, if the
// node holds a slot, as a relay.
type Directory struct {
	config   Config
	logger   *zap.Logger
	caughtUp chan struct{}
	// invites carries slots that this node should acquire.
	invites chan int

	mu      sync.Mutex
	state   *State
	relays  *RelayTable
	bundles *bundleStore
	// activeConfirmed and heldConfirmed tell when the active bundle, and the newest one
	// here, were last confirmed.
	activeConfirmed, heldConfirmed confirmations
	self                           Entry
	// subscription holds the services that this node subscribes to.
	subscription subscription
	slot         int
	// relaySince is when the node acquired its slot.
	relaySince time.Time
	// subscribers are the accepted streams.
	subscribers map[*subscriber]struct{}
	// failed holds the addresses that did not answer, with the time of the next attempt.
	failed map[netip.AddrPort]time.Time
	// links holds the relays that the node announces itself to, by link.
	links [nodeLinks]netip.AddrPort
	// answered is set for each of these links on which the relay has answered.
	answered   [nodeLinks]bool
	lastSource Source
	// retired holds the sources to be dropped, with the time to drop them.
	retired map[Source]time.Time
	// linked is set for the other availability zones to which this relay has a link.
	linked map[string]bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns a Directory that has not started yet.
func New(config Config) *Directory {
	config.Timing = config.Timing.withDefaults()
	now := time.Now()
	return &Directory{
		config:   config,
		logger:   config.Logger,
		caughtUp: make(chan struct{}),
		invites:  make(chan int, 1),
		state:    NewState(StateConfig{Zone: config.Zone}),
		relays:   NewRelayTable(),
		bundles:  newBundleStore(),
		self: Entry{
			VM:          config.VM,
			Zone:        config.Zone,
			Address:     config.Address,
			Incarnation: NewIncarnation(now, rand.New(rand.NewPCG(rand.Uint64(), 0))),
			Sequence:    1,
			Since:       now,
		},
		slot:        noSlot,
		subscribers: make(map[*subscriber]struct{}),
		failed:      make(map[netip.AddrPort]time.Time),
		retired:     make(map[Source]time.Time),
		linked:      make(map[string]bool),
		changed:     make(chan struct{}),
	}
}

// Run runs the directory's goroutines until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range nodeLinks {
		group.Go(func() error { return d.runNodeLink(ctx, i) })
	}
	group.Go(func() error { return d.runTicks(ctx) })
	group.Go(func() error { return d.runTargets(ctx) })
	group.Go(func() error { return d.runOffers(ctx) })
	group.Go(func() error { return d.runSearch(ctx) })
	group.Go(func() error { return d.runStart(ctx) })
	group.Go(func() error { return d.runRelay(ctx) })
	return group.Wait()
}

// SetBackend stores what the VM's backend server announces. Changes are sent
// at once, except a change of the load alone.
func (d *Directory) SetBackend(b Backend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.Load = b.Load
	announced := Backend{
		Service:     d.self.Service,
		Slots:       d.self.Slots,
		Connections: d.self.Connections,
		Load:        b.Load,
		Draining:    d.self.Draining,
		Since:       d.self.Since,
	}
	if announced == b {
		return
	}
	d.self.Service, d.self.Slots, d.self.Connections = b.Service, b.Slots, b.Connections
	d.self.Draining, d.self.Since = b.Draining, b.Since
	d.self.Sequence++
	d.wake()
}

// SetServices subscribes to the backend servers of exactly these services.
func (d *Directory) SetServices(services []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.subscription.set(services) {
		d.wake()
	}
}

// Targets returns the backend servers of a subscribed service, in no particular order.
func (d *Directory) Targets(service string) []route.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Targets(service)
}

// CaughtUp returns a channel that is closed once the node's active bundle is at
// least as new as any that can have been active before it was restarted. The
// node may then serve.
func (d *Directory) CaughtUp() <-chan struct{} { return d.caughtUp }

// RelaySlot returns the slot that the node holds, or false if it is not a relay.
func (d *Directory) RelaySlot() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slot, d.slot != noSlot
}

// Relays returns the known relay slots of all availability zones.
func (d *Directory) Relays() []Relay {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.relays.All()
}

// BundleVersions returns the active version of each node that sends its
// heartbeats here, by VM. It is empty if this node is not a relay.
func (d *Directory) BundleVersions() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.BundleVersions()
}

// wake wakes every goroutine that waits for a change. d.mu must be held.
func (d *Directory) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// watch returns a channel that is closed at the next change.
func (d *Directory) watch() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *Directory) isRelay() bool {
	_, relay := d.RelaySlot()
	return relay
}

// updateBundles applies a change to the bundle store, evaluates the store again
// and wakes waiting goroutines if it changed.
func (d *Directory) updateBundles(change func(*bundleStore)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.bundles.changes
	change(d.bundles)
	d.bundles.evaluate(d.config.VM, d.relays.Base(d.config.Zone, d.config.Timing.BaseSlots))
	if d.bundles.changes != before {
		d.wake()
	}
}

// storeBundle stores a bundle if it passes Verify.
func (d *Directory) storeBundle(m *peerpb.BundleRecord) error {
	version, raw := m.GetVersion(), m.GetRaw()
	if d.config.Verify != nil {
		if err := d.config.Verify(version, raw); err != nil {
			return ErrMessage.Wrap(err, "bundle %d", version)
		}
	}
	d.updateBundles(func(s *bundleStore) { s.add(version, raw) })
	return nil
}
