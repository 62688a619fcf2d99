package directory_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/directory"
	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/route"
)

// site is a fleet in one process: directories connected by in-memory streams, and
// a fake platform. It runs inside a synctest bubble.
type site struct {
	t        *testing.T
	platform *fake.Service
	timing   directory.Timing
	zones    []string
	members  []*member
	// seedsAnywhere takes seeds from all availability zones, not only from the
	// node's own zone.
	seedsAnywhere bool

	mu        sync.Mutex
	addresses map[netip.AddrPort]*member
	streams   map[*memoryStream]struct{}
	// isolatedZone can reach neither other zones nor the platform.
	isolatedZone string
	// withoutPlatform is a zone that can't reach the platform.
	withoutPlatform string
	// unresponsive is a member to and from which all frames are dropped.
	unresponsive *member
	// sentBytes counts the payload bytes of all frames.
	sentBytes atomic.Int64
}

// member is a VM with its node, which may be killed and started again.
type member struct {
	site    *site
	vm      string
	zone    string
	address netip.AddrPort
	service string
	run     *nodeRun
	// dialDelay is the duration of each dial.
	dialDelay time.Duration
}

// nodeRun is one run of a node, from start to kill.
type nodeRun struct {
	directory    *directory.Directory
	sink         *sink
	targetCounts *targetCounts
	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{}
	killed       atomic.Bool
}

func newSite(t *testing.T, timing directory.Timing, zones ...string) *site {
	s := &site{
		t:         t,
		platform:  fake.New(fake.Config{}),
		timing:    timing,
		zones:     zones,
		addresses: make(map[netip.AddrPort]*member),
		streams:   make(map[*memoryStream]struct{}),
	}
	return s
}

// add starts n nodes in a zone, each with a backend server of the service.
func (s *site) add(zone, service string, n int) {
	for range n {
		s.addStopped(zone, service).start()
	}
}

// addStopped adds a node that has not started yet. Other nodes may have it as a
// seed.
func (s *site) addStopped(zone, service string) *member {
	i := len(s.members)
	m := &member{
		site:    s,
		vm:      fmt.Sprintf("%s-vm-%d", zone, i),
		zone:    zone,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000),
		service: service,
	}
	s.members = append(s.members, m)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses[m.address] = m
	return m
}

func (m *member) start() {
	l := &nodeRun{sink: &sink{}, targetCounts: &targetCounts{services: make(map[string][]int)}, done: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	client := memberPlatform{m, l}
	l.directory = directory.New(directory.Config{
		VM:       m.vm,
		Zone:     m.zone,
		Address:  m.address,
		Seeds:    m.site.seeds(m),
		Platform: client,
		Peers:    dialer{m, l},
		Bundles:  l.sink,
		Source:   source{client},

		OnTargets:  l.targetCounts.onTargets,
		ProofSince: l.sink.ProofSince,
		Zones:      func() []string { return m.site.zones },
		Logger:     zap.NewNop(),
		Timing:     m.site.timing,
	})
	l.directory.SetServices([]string{"orders"})
	l.directory.SetBackend(directory.Backend{Service: m.service, Slots: 35, Connections: 300, Since: time.Now()})
	m.site.mu.Lock()
	m.run = l
	m.site.mu.Unlock()
	go func() {
		defer close(l.done)
		if err := l.directory.Run(l.ctx); err != nil {
			m.site.t.Errorf("%s: %v", m.vm, err)
		}
	}()
}

// seeds returns the first two other VMs of the zone, or of each zone.
func (s *site) seeds(self *member) []netip.AddrPort {
	var seeds []netip.AddrPort
	found := make(map[string]int)
	for _, m := range s.members {
		if (m.zone == self.zone || s.seedsAnywhere) && m != self && found[m.zone] < 2 {
			found[m.zone]++
			seeds = append(seeds, m.address)
		}
	}
	return seeds
}

// kill stops a node abruptly and closes its streams.
func (m *member) kill() {
	m.run.killed.Store(true)
	m.site.closeStreams(func(a, b *member) bool { return a == m || b == m })
	m.run.cancel()
	<-m.run.done
}

func (s *site) stop() {
	for _, m := range s.members {
		m.kill()
	}
}

// relays returns the members that hold a slot in a zone.
func (s *site) relays(zone string) []*member {
	var relays []*member
	for _, m := range s.members {
		if _, ok := m.run.directory.RelaySlot(); ok && m.zone == zone && !m.run.killed.Load() {
			relays = append(relays, m)
		}
	}
	return relays
}

// countTargets returns how many backend servers of orders in a zone a node may
// send to.
func (m *member) countTargets(zone string) int {
	count := 0
	for _, target := range m.run.directory.Targets("orders") {
		if target.Zone == zone && !target.Draining {
			count++
		}
	}
	return count
}

// await waits until a condition holds and returns how long it took.
func (s *site) await(what string, limit time.Duration, holds func() bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			s.t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// awaitAll is await for a condition on every live node.
func (s *site) awaitAll(what string, limit time.Duration, holds func(*member) bool) time.Duration {
	s.t.Helper()
	return s.await(what, limit, func() bool {
		for _, m := range s.members {
			if !m.run.killed.Load() && !holds(m) {
				return false
			}
		}
		return true
	})
}

// rollOut writes a bundle of the given version to the platform.
func (s *site) rollOut(version uint64) {
	s.t.Helper()
	ctx := context.Background()
	entry, err := s.platform.Get(ctx, headKey)
	if err != nil && !errorx.IsOfType(err, kv.ErrNotFound) {
		s.t.Fatal(err)
	}
	value := []byte(strconv.FormatUint(version, 10))
	if _, err := s.platform.Put(ctx, kv.PutRequest{Key: headKey, Value: value, IfRevision: entry.Revision}); err != nil {
		s.t.Fatal(err)
	}
}

// isolate separates a zone from the others and from the platform; "" reconnects it.
func (s *site) isolate(zone string) {
	s.mu.Lock()
	s.isolatedZone = zone
	s.mu.Unlock()
	if zone != "" {
		s.closeStreams(func(a, b *member) bool { return (a.zone == zone) != (b.zone == zone) })
	}
}

// losePlatform separates a zone from the platform; "" reconnects it.
func (s *site) losePlatform(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withoutPlatform = zone
}

// makeUnresponsive makes a member's VM unresponsive without closing its streams.
func (s *site) makeUnresponsive(m *member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = m
}

// streamsOf counts the streams to and from a member.
func (s *site) streamsOf(m *member) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for stream := range s.streams {
		if stream.from == m || stream.to == m {
			count++
		}
	}
	return count
}

func (s *site) isUnresponsive(a, b *member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unresponsive != nil && (s.unresponsive == a || s.unresponsive == b)
}

func (s *site) closeStreams(between func(a, b *member) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream := range s.streams {
		if between(stream.from, stream.to) {
			stream.shut()
			delete(s.streams, stream)
		}
	}
}

// sink stands in for the bundle tracker, without signatures. A raw bundle is a
// version, or a delta such as "3>4".
type sink struct {
	highest atomic.Uint64
	full    atomic.Int64
	deltas  atomic.Int64
}

func (s *sink) Offer(version uint64, raw []byte) {
	if version <= s.highest.Load() {
		return
	}
	from, _, isDelta := strings.Cut(string(raw), ">")
	if !isDelta {
		s.full.Add(1)
		s.highest.Store(version)
		return
	}
	if from == strconv.FormatUint(s.highest.Load(), 10) {
		s.deltas.Add(1)
		s.highest.Store(version)
	}
}

func (s *sink) ActiveVersion() uint64 { return s.highest.Load() }

func (s *sink) ProofSince(version uint64) (uint64, []byte, error) {
	highest := s.ActiveVersion()
	switch {
	case version >= highest:
		return 0, nil, nil
	case version == 0:
		return highest, []byte(strconv.FormatUint(highest, 10)), nil
	}
	return highest, fmt.Appendf(nil, "%d>%d", version, highest), nil
}

// targetCounts holds, for each service, the numbers of backend servers with which
// OnTargets was called, in order.
type targetCounts struct {
	mu       sync.Mutex
	services map[string][]int
}

func (t *targetCounts) onTargets(service string, targets []route.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services[service] = append(t.services[service], len(targets))
}

func (t *targetCounts) counts(service string) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.services[service])
}
