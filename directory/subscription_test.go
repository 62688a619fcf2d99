package directory_test

import (
	"context"
	"math/rand/v2"
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

// TestFirstSubscription subscribes nodes to a service for the first time. OnTargets
// must never report that the service has no backend server, as it has three.
func TestFirstSubscription(t *testing.T) {
	cases := []struct {
		name  string
		limit time.Duration
		run   func(s *site, asking *member)
	}{
		{"without other changes", 200 * time.Millisecond, func(*site, *member) {}},
		{"after another change", 300 * time.Millisecond, func(s *site, _ *member) {
			s.members[0].run.directory.SetBackend(directory.Backend{Service: "orders", Slots: 36, Connections: 300, Since: time.Now()})
			time.Sleep(10 * time.Millisecond)
		}},
		{"with the platform down", 200 * time.Millisecond, func(s *site, _ *member) {
			s.platform.SetFaults(fake.Faults{Down: true})
			time.Sleep(time.Minute)
		}},
		{"when a relay is killed", 200 * time.Millisecond, func(s *site, asking *member) {
			killOne(s, asking)
		}},
		{"when all relays are killed", time.Minute, func(s *site, asking *member) {
			for killOne(s, asking) {
			}
		}},
		{"by a node that has just been started", 10 * time.Second, func(_ *site, asking *member) {
			asking.kill()
			asking.start()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer onOneThread()()
				s := twoZones(t)
				defer s.stop()
				s.add("b", "stock", 3)
				time.Sleep(time.Minute)
				asking := anyNode(s, "a")
				c.run(s, asking)
				asking.run.directory.SetServices([]string{"orders", "stock"})
				took := s.await("stock is reported", c.limit, func() bool { return len(asking.run.targetCounts.counts("stock")) > 0 })
				t.Logf("took %v", took)
				time.Sleep(time.Minute)
				assert.Assert(t, !slices.Contains(asking.run.targetCounts.counts("stock"), 0), "reported %v", asking.run.targetCounts.counts("stock"))
				assert.Equal(t, len(asking.run.directory.Targets("stock")), 3)
			})
		})
	}
}

// anyNode returns a live node of a zone that is not a relay.
func anyNode(s *site, zone string) *member {
	for _, m := range s.members {
		if _, relay := m.run.directory.RelaySlot(); !relay && m.zone == zone && !m.run.killed.Load() {
			return m
		}
	}
	s.t.Fatal("no live node that is not a relay")
	return nil
}

// killOne kills a relay in the zone of a member, other than the member itself. It
// returns false if there is none.
func killOne(s *site, except *member) bool {
	for _, relay := range s.relays(except.zone) {
		if relay != except {
			relay.kill()
			return true
		}
	}
	return false
}

// TestSubscriptionToNothing checks how soon a node learns that a service has no
// backend server.
func TestSubscriptionToNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer onOneThread()()
		s := twoZones(t)
		defer s.stop()
		time.Sleep(time.Minute)
		for _, m := range []*member{anyNode(s, "a"), s.relays("a")[0]} {
			m.run.directory.SetServices([]string{"orders", "nothing"})
			s.await("nothing is reported", 200*time.Millisecond, func() bool { return len(m.run.targetCounts.counts("nothing")) > 0 })
			assert.DeepEqual(t, m.run.targetCounts.counts("nothing"), []int{0})
		}
	})
}

// TestSubscriptionsComeAndGo changes a node's subscription many times while relays
// are killed. OnTargets must never report that a service has no backend server, and
// in the end the node must list only the services that it subscribes to.
func TestSubscriptionsComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer onOneThread()()
		s := twoZones(t)
		defer s.stop()
		services := []string{"stock", "prices", "mugs"}
		for _, service := range services {
			s.add("a", service, 4)
		}
		time.Sleep(time.Minute)
		asking := anyNode(s, "a")
		random := rand.New(rand.NewPCG(1, 1))
		for i := range 300 {
			asking.run.directory.SetServices(services[random.IntN(3):])
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			if i%100 == 50 {
				killOne(s, asking)
			}
		}
		asking.run.directory.SetServices(services[2:])
		time.Sleep(2 * time.Minute)
		for _, service := range services {
			assert.Assert(t, !slices.Contains(asking.run.targetCounts.counts(service), 0), "%s: reported %v", service, asking.run.targetCounts.counts(service))
		}
		if _, relay := asking.run.directory.RelaySlot(); !relay {
			assert.Equal(t, len(asking.run.directory.Targets("stock")), 0)
		}
		assert.Equal(t, len(asking.run.directory.Targets("mugs")), live(s, "mugs"))
	})
}

// TestLateListing has a relay answer a subscription after the node has added another
// service. That answer must not count as an answer for the added service.
func TestLateListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer onOneThread()()
		joined := make(scriptedRelay, 1)
		service := fake.New(fake.Config{})
		slot := []byte(`{"vm":"scripted","address":"127.0.0.9:1"}`)
		_, err := service.Put(t.Context(), kv.PutRequest{Key: "zones/a/relays/0", Value: slot})
		assert.NilError(t, err)
		counts := &targetCounts{services: make(map[string][]int)}
		d := directory.New(directory.Config{
			VM: "vm", Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Platform: service, Peers: joined,
			Bundles: &sink{}, Source: source{service}, OnTargets: counts.onTargets, Logger: zap.NewNop(),
		})
		d.SetServices([]string{"orders"})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- d.Run(ctx) }()

		stream := <-joined
		assert.DeepEqual(t, nextSubscribe(t, stream), []string{"orders"})
		d.SetServices([]string{"orders", "stock"})
		time.Sleep(5 * time.Second)
		full := &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Update{Update: &peerpb.Update{Whole: true}}}
		assert.NilError(t, stream.Send(full))
		assert.DeepEqual(t, nextSubscribe(t, stream), []string{"orders", "stock"})
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(counts.counts("stock")), 0)
		assert.DeepEqual(t, counts.counts("orders")[0], 0)
		assert.NilError(t, stream.Send(full))
		time.Sleep(time.Second)
		assert.DeepEqual(t, counts.counts("stock"), []int{0})
		cancel()
		assert.NilError(t, <-done)
	})
}

// scriptedRelay passes the streams by which a node joins it to the test.
type scriptedRelay chan *memoryStream

func (r scriptedRelay) Open(context.Context, netip.AddrPort) (directory.Stream, error) {
	m := &member{site: &site{}}
	near, far := newMemoryStreams(m, m)
	go func() {
		first, err := far.Receive()
		if err != nil || first.GetJoin().GetRole() != peerpb.Role_ROLE_NODE {
			far.shut()
			return
		}
		r <- far
	}()
	return near, nil
}

// nextSubscribe waits for the node's next subscription and returns its services.
func nextSubscribe(t *testing.T, stream *memoryStream) []string {
	for {
		frame, err := stream.Receive()
		assert.NilError(t, err)
		if subscribe := frame.GetSubscribe(); subscribe != nil {
			return slices.Sorted(slices.Values(subscribe.GetServices()))
		}
	}
}

// live returns how many backend servers of a service have a running node.
func live(s *site, service string) int {
	count := 0
	for _, m := range s.members {
		if m.service == service && !m.run.killed.Load() {
			count++
		}
	}
	return count
}

// TestLastBackendServerGone checks that OnTargets reports when the last backend
// server of a service is gone that the node has subscribed to for a long time.
func TestLastBackendServerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer onOneThread()()
		s := twoZones(t)
		defer s.stop()
		s.add("b", "stock", 1)
		time.Sleep(time.Minute)
		asking := anyNode(s, "a")
		asking.run.directory.SetServices([]string{"stock"})
		time.Sleep(time.Minute)
		s.members[len(s.members)-1].kill()
		s.await("its end is reported", 10*time.Second, func() bool { return slices.Contains(asking.run.targetCounts.counts("stock"), 0) })
	})
}
