package directory_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/directory"
	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/peer/peerpb"
)

// TestRestartedRelayLosesNoTarget restarts the relays of a zone one after another.
// Each lists few entries at first, because its nodes have not reconnected yet. The
// relays of the other zone, each linked to one of them, must keep the entries that
// they had.
func TestRestartedRelayLosesNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, directory.Timing{}, "a", "b")
		defer s.stop()
		s.add("a", "orders", 3)
		s.add("b", "orders", 3)
		s.awaitAll("every node lists all", 30*time.Second, func(m *member) bool {
			return m.countTargets("a") == 3 && m.countTargets("b") == 3
		})
		s.await("three relays in each zone", 30*time.Second, func() bool {
			return len(s.relays("a")) == 3 && len(s.relays("b")) == 3
		})
		time.Sleep(10 * time.Second)
		for _, m := range s.members {
			if m.zone != "b" {
				continue
			}
			m.kill()
			m.dialDelay = 300 * time.Millisecond
			m.start()
			for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
				for _, other := range s.members {
					if other.zone == "a" {
						assert.Assert(t, other.countTargets("b") >= 2, "%s lists %d servers of b %v after the restart of %s",
							other.vm, other.countTargets("b"), time.Since(began), m.vm)
					}
				}
			}
		}
	})
}

// scriptedNode is a node whose relays are played by the test.
type scriptedNode struct {
	directory *directory.Directory
	bundles   *sink
	counts    *targetCounts
	relays    scriptedRelay
}

// runScripted runs a node that knows some relays, until stop is called.
func runScripted(t *testing.T, relays int) (node *scriptedNode, stop func()) {
	service := fake.New(fake.Config{})
	for i := range relays {
		slot := fmt.Appendf(nil, `{"vm":"scripted-%d","address":"127.0.0.9:%d"}`, i, i+1)
		_, err := service.Put(t.Context(), kv.PutRequest{Key: fmt.Sprintf("zones/a/relays/%d", i), Value: slot})
		assert.NilError(t, err)
	}
	node = &scriptedNode{bundles: &sink{}, counts: &targetCounts{services: make(map[string][]int)}, relays: make(scriptedRelay, 1)}
	node.directory = directory.New(directory.Config{
		VM: "vm", Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Platform: service, Peers: node.relays,
		Bundles: node.bundles, Source: source{service}, OnTargets: node.counts.onTargets, Logger: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- node.directory.Run(ctx) }()
	return node, func() {
		cancel()
		assert.NilError(t, <-done)
	}
}

// join waits until the node has subscribed at both of its relays.
func (n *scriptedNode) join(t *testing.T) []*memoryStream {
	return []*memoryStream{n.joinOne(t), n.joinOne(t)}
}

// joinOne waits until the node has subscribed at a relay.
func (n *scriptedNode) joinOne(t *testing.T) *memoryStream {
	stream := <-n.relays
	nextSubscribe(t, stream)
	answered := &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Versions{Versions: &peerpb.BundleVersions{}}}
	assert.NilError(t, stream.Send(answered))
	return stream
}

// leave closes the streams of relays.
func leave(t *testing.T, streams []*memoryStream) {
	for _, stream := range streams {
		assert.NilError(t, stream.Close())
	}
}

// list sends full listings of relays with the backend servers of some VMs.
func list(t *testing.T, streams []*memoryStream, starting bool, vms ...string) {
	t.Helper()
	update := &peerpb.Update{Whole: true, Starting: starting}
	address, err := netip.MustParseAddrPort("127.0.0.7:7000").MarshalBinary()
	assert.NilError(t, err)
	for _, vm := range vms {
		update.Announcements = append(update.Announcements, &peerpb.Announcement{
			Vm: vm, AvailabilityZone: "a", Address: address, Incarnation: 1, Sequence: 1, Service: "orders", Slots: 1,
		})
	}
	for _, stream := range streams {
		assert.NilError(t, stream.Send(&peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Update{Update: update}}))
	}
}

// TestListingOfStartingRelay guards against a service that counts as without backend
// servers, or loses some, because the relays have just started and list few: they list
// those that they have heard of, which tells nothing of the others.
func TestListingOfStartingRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer onOneThread()()
		node, stop := runScripted(t, 2)
		defer stop()
		node.directory.SetServices([]string{"orders"})

		first := node.join(t)
		list(t, first, true)
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, node.counts.counts("orders"), []int(nil))
		list(t, first, false, "vm-1", "vm-2")
		time.Sleep(time.Second)
		assert.Equal(t, len(node.directory.Targets("orders")), 2)

		leave(t, first)
		second := node.join(t)
		list(t, second, true, "vm-1")
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(node.directory.Targets("orders")), 2)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(node.directory.Targets("orders")), 1)
		assert.Assert(t, !slices.Contains(node.counts.counts("orders"), 0), "reported %v", node.counts.counts("orders"))
	})
}

// TestStartingRelayListsNothing checks that a service without backend servers is reported
// as such once the relays that started must have received all entries.
func TestStartingRelayListsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer onOneThread()()
		node, stop := runScripted(t, 2)
		defer stop()
		node.directory.SetServices([]string{"orders"})
		list(t, node.join(t), true)
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, node.counts.counts("orders"), []int{0})
	})
}

// TestListOfEndedLink guards against a backend server that stays listed for good, because a
// link listed it that has ended and finds no other relay: the zone has one relay left, to
// which the node's other link leads.
func TestListOfEndedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer onOneThread()()
		node, stop := runScripted(t, 1)
		defer stop()
		node.directory.SetServices([]string{"orders"})
		// Which of the two links reaches the relay again differs.
		for range 6 {
			stream := []*memoryStream{node.joinOne(t)}
			list(t, stream, false, "vm-1", "vm-2")
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(node.directory.Targets("orders")), 2)
			leave(t, stream)
			stream = []*memoryStream{node.joinOne(t)}
			list(t, stream, false, "vm-1")
			time.Sleep(9 * time.Second)
			list(t, stream, false, "vm-1")
			time.Sleep(9 * time.Second)
			list(t, stream, false, "vm-1")
			time.Sleep(4 * time.Second)
			assert.Equal(t, len(node.directory.Targets("orders")), 1)
			leave(t, stream)
		}
	})
}
