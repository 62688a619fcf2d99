package directory_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburngap/directory"
)

// init sets the default seed and the number of randomised runs. Flags override them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func makeEntry(i int, service string) directory.Entry {
	return directory.Entry{
		VM:          fmt.Sprintf("vm-%d", i),
		Zone:        "a",
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000),
		Incarnation: uint64(start.UnixMilli()) << 20,
		Sequence:    1,
		Service:     service,
		Slots:       35,
		Connections: 300,
		Since:       start,
	}
}

func heartbeatOf(e directory.Entry) directory.HeartbeatState {
	return directory.HeartbeatState{Incarnation: e.Incarnation, Sequence: e.Sequence}
}

// view is a State with the versions that it has read from each relay.
type view struct {
	*directory.State
	read map[directory.Source]uint64
}

// pull applies a relay's changes to the view.
func (v *view) pull(now time.Time, source directory.Source, relay *directory.State, filter directory.Filter) {
	delta := relay.ChangesSince(v.read[source], filter)
	listed := make(map[string]struct{})
	for _, e := range delta.Listed {
		v.Merge(source, e)
		listed[e.VM] = struct{}{}
	}
	for _, vm := range delta.Gone {
		v.Unlist(now, source, vm)
	}
	if delta.Reset {
		v.Retain(now, source, listed)
	}
	v.read[source] = delta.Version
}

func newView() *view {
	state := directory.NewState(directory.StateConfig{Zone: "a", TombstoneTTL: 5 * time.Second})
	return &view{state, make(map[directory.Source]uint64)}
}

// fleet holds two relays that read from each other, a node that subscribes to both,
// and the actual state of the VMs.
type fleet struct {
	now    time.Time
	relays [2]*view
	node   *view
	vms    [4]vm
	seen   map[string]directory.Entry
	// starts counts restarts.
	starts int
	rng    *rand.Rand
}

type vm struct {
	entry directory.Entry
	// relays is set for the relays to which the VM has a stream.
	relays [2]bool
	alive  bool
}

var nodeFilter = directory.Filter{Services: map[string]struct{}{"orders": {}}}

func (f *fleet) announce(i, relay int) {
	v := &f.vms[i]
	v.alive, v.relays[relay] = true, true
	current, ok := f.relays[relay].ApplyAnnouncement(f.now, v.entry)
	if !ok {
		v.entry.Supersede(current)
		f.announce(i, relay)
	}
}

func (f *fleet) sendHeartbeats() {
	for i := range f.vms {
		for r, connected := range f.vms[i].relays {
			if !connected || !f.vms[i].alive {
				continue
			}
			if _, ok := f.relays[r].ApplyHeartbeat(f.now, f.vms[i].entry.VM, heartbeatOf(f.vms[i].entry)); !ok {
				f.announce(i, r)
			}
		}
	}
}

func (f *fleet) sync(follower, relay int) {
	if follower == 2 {
		f.node.pull(f.now, directory.Source(relay), f.relays[relay].State, nodeFilter)
	} else if follower != relay {
		f.relays[follower].pull(f.now, directory.Source(relay), f.relays[relay].State, directory.Filter{DirectOnly: true})
	}
}

func (f *fleet) tick(step time.Duration) {
	f.now = f.now.Add(step)
	for _, r := range f.relays {
		r.Tick(f.now)
	}
	f.node.Tick(f.now)
}

func (f *fleet) settle() {
	for range 80 {
		f.tick(time.Second)
		f.sendHeartbeats()
		for _, pair := range [][2]int{{0, 1}, {1, 0}, {2, 0}, {2, 1}} {
			f.sync(pair[0], pair[1])
		}
	}
}

// TestDirectoryConverges runs announcements, lost heartbeats, restarts with clocks
// set back, and deltas of any age. While a VM stays listed, the node's view of one
// incarnation must never go back. In the end the view must equal the actual state.
func TestDirectoryConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: start, relays: [2]*view{newView(), newView()}, node: newView()}
		f.seen = make(map[string]directory.Entry)
		f.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for i := range f.vms {
			f.vms[i].entry = makeEntry(i, "orders")
		}
		pick := func(t *rapid.T) (int, *vm) {
			i := rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")
			return i, &f.vms[i]
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				i, v := pick(t)
				v.entry.Sequence++
				v.entry.Draining = rapid.Bool().Draw(t, "draining")
				v.entry.Service = rapid.SampledFrom([]string{"orders", "proofs"}).Draw(t, "service")
				f.announce(i, rapid.IntRange(0, 1).Draw(t, "relay"))
			},
			"restart": func(t *rapid.T) {
				_, v := pick(t)
				v.alive, v.relays = false, [2]bool{}
				f.starts++
				step := time.Duration(f.starts) * time.Second
				if rapid.Bool().Draw(t, "clockSetBack") {
					step = -step
				}
				v.entry.Incarnation = directory.NewIncarnation(start.Add(step), f.rng)
				v.entry.Sequence = 1
			},
			"close": func(t *rapid.T) {
				_, v := pick(t)
				r := rapid.IntRange(0, 1).Draw(t, "relay")
				v.relays[r] = false
				f.relays[r].StreamClosed(f.now, v.entry.VM)
			},
			"beat": func(*rapid.T) { f.sendHeartbeats() },
			"sync": func(t *rapid.T) {
				f.sync(rapid.IntRange(0, 2).Draw(t, "follower"), rapid.IntRange(0, 1).Draw(t, "relay"))
			},
			"tick": func(t *rapid.T) {
				f.tick(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { f.checkMonotone(t) },
		})
		f.settle()
		f.checkConverged(t)
	})
}

func (f *fleet) checkMonotone(t *rapid.T) {
	listed := make(map[string]directory.Entry)
	for _, e := range f.node.ChangesSince(0, nodeFilter).Listed {
		listed[e.VM] = e
		before, ok := f.seen[e.VM]
		if ok && e.Incarnation == before.Incarnation && e.Sequence < before.Sequence {
			t.Fatalf("%s went back from %d.%d to %d.%d", e.VM, before.Incarnation, before.Sequence, e.Incarnation, e.Sequence)
		}
	}
	f.seen = listed
}

func (f *fleet) checkConverged(t *rapid.T) {
	var want, got []string
	for _, v := range f.vms {
		if v.alive && v.relays != [2]bool{} && v.entry.Service == "orders" {
			want = append(want, fmt.Sprint(v.entry.VM, v.entry.Incarnation, v.entry.Sequence, v.entry.Draining))
		}
	}
	for _, target := range f.node.Targets("orders") {
		for _, e := range f.node.ChangesSince(0, nodeFilter).Listed {
			if e.VM == target.VM {
				got = append(got, fmt.Sprint(e.VM, e.Incarnation, e.Sequence, target.Draining))
			}
		}
	}
	slices.Sort(got)
	if !slices.Equal(want, got) {
		t.Fatalf("the node lists %v, want %v", got, want)
	}
}

func TestExpiry(t *testing.T) {
	hear := func(s *directory.State, n int) {
		for i := range n {
			s.ApplyAnnouncement(start, makeEntry(i, "orders"))
		}
	}
	beat := func(s *directory.State, now time.Time, from, to int) {
		for i := from; i < to; i++ {
			s.ApplyHeartbeat(now, makeEntry(i, "orders").VM, heartbeatOf(makeEntry(i, "orders")))
		}
	}
	run := func(s *directory.State, from, to time.Duration, beating int) {
		for at := from; at <= to; at += time.Second {
			beat(s, start.Add(at), 0, beating)
			s.Tick(start.Add(at))
		}
	}
	cases := []struct {
		name  string
		drive func(s *directory.State)
		want  int
	}{
		{"all send heartbeats", func(s *directory.State) { run(s, 0, 20*time.Second, 10) }, 10},
		{"one is unresponsive", func(s *directory.State) { run(s, 0, 6*time.Second, 9) }, 9},
		{"one is unresponsive, before its expiry", func(s *directory.State) { run(s, 0, 5*time.Second, 9) }, 10},
		{"most are unresponsive: expiry is delayed", func(s *directory.State) { run(s, 0, 29*time.Second, 2) }, 10},
		{"most stay unresponsive: they expire", func(s *directory.State) { run(s, 0, 40*time.Second, 2) }, 2},
		{"the relay itself was paused", func(s *directory.State) {
			s.Tick(start.Add(time.Second))
			s.Tick(start.Add(time.Minute))
		}, 10},
		{"a stream closes", func(s *directory.State) {
			s.StreamClosed(start, makeEntry(0, "").VM)
			run(s, 0, 2*time.Second, 0)
		}, 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := directory.NewState(directory.StateConfig{})
			hear(s, 10)
			c.drive(s)
			assert.Equal(t, len(s.Targets("orders")), c.want)
		})
	}
}

// TestRelayBehindAnother guards against a backend server that is no longer listed, without a
// change that tells of it, after a node has moved to a relay that has an earlier
// announcement than the relay before it.
func TestRelayBehindAnother(t *testing.T) {
	const source directory.Source = 1
	later := makeEntry(1, "orders")
	earlier := later
	later.Sequence, later.Connections = 2, 200
	s := directory.NewState(directory.StateConfig{Zone: "a", TombstoneTTL: time.Second})
	s.Merge(source, later)
	listedAt := s.Version()

	s.Merge(source, earlier)
	s.Retain(start, source, map[string]struct{}{earlier.VM: {}})
	assert.Equal(t, len(s.Targets("orders")), 1)
	assert.Equal(t, s.Targets("orders")[0].Connections, 200)

	s.Unlist(start, source, earlier.VM)
	assert.Equal(t, len(s.Targets("orders")), 0)
	assert.DeepEqual(t, s.ChangesSince(listedAt, nodeFilter).Gone, []string{earlier.VM})
}

// TestVersionOfRestartedNode guards against a relay that reports the version that the
// earlier process of a VM had in force as that of the process which has just started.
func TestVersionOfRestartedNode(t *testing.T) {
	s := directory.NewState(directory.StateConfig{Zone: "a"})
	node := makeEntry(1, "orders")
	announce := func() {
		_, ok := s.ApplyAnnouncement(start, node)
		assert.Assert(t, ok)
	}
	announce()
	beat := heartbeatOf(node)
	beat.BundleVersion = 7
	_, ok := s.ApplyHeartbeat(start, node.VM, beat)
	assert.Assert(t, ok)

	node.Sequence++
	announce()
	assert.Equal(t, s.BundleVersions()[node.VM], uint64(7))
	node.Incarnation++
	announce()
	assert.Equal(t, s.BundleVersions()[node.VM], uint64(0))
}
