package node

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/directory"
	"auburngap/request"
	"auburngap/route"
)

// recordingSubscriber records the services that a node follows.
type recordingSubscriber struct {
	updates [][]string
}

func (f *recordingSubscriber) SetServices(services []string) {
	f.updates = append(f.updates, slices.Sorted(slices.Values(services)))
}

func newTestSubscriptions() (*subscriptions, *recordingSubscriber) {
	f := &recordingSubscriber{}
	s := newSubscriptions(newRoutes("vm", "a"))
	s.directory = f
	return s, f
}

func callTo(service string) *request.Call {
	return &request.Call{Service: service, Context: request.Context{RetryBudget: 3}}
}

func targetsOf(service string, n int) []route.Target {
	targets := make([]route.Target, n)
	for i := range targets {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		targets[i] = route.Target{VM: fmt.Sprint(service, "-", i), Zone: "a", Service: service, Address: address, Slots: 10}
	}
	return targets
}

// TestBurstOfFirstRequests lets many requests wait for one subscription.
func TestBurstOfFirstRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newTestSubscriptions()
		var group sync.WaitGroup
		for range 100 {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if refusal := s.await(ctx, callTo("orders")); refusal != nil {
					t.Error(refusal)
				}
			})
		}
		synctest.Wait()
		assert.DeepEqual(t, f.updates, [][]string{{"orders"}})
		s.Update("orders", targetsOf("orders", 3))
		group.Wait()
		choice, ok := s.routes.of("orders").pick(0, nil)
		assert.Assert(t, ok && choice.Target.Service == "orders")
	})
}

// TestFirstRequestWithoutListing checks how a request ends if the service is not listed
// in time.
func TestFirstRequestWithoutListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newTestSubscriptions()
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		refusal := s.await(ctx, callTo("orders"))
		assert.Equal(t, time.Since(began), 2*time.Second)
		assert.Equal(t, refusal.Cause, request.CauseDeadline)
		assert.Equal(t, refusal.Outcome, request.NotRun)
		assert.Equal(t, refusal.Report.UnspentRetries, 3)
		cancel()

		ctx, cancel = context.WithCancel(t.Context())
		cancel()
		assert.Equal(t, s.await(ctx, callTo("orders")).Cause, request.CauseCancelled)
		assert.Equal(t, len(f.updates), 1)
		// An empty list of backend servers ends the wait too.
		s.Update("orders", nil)
		assert.Assert(t, s.await(t.Context(), callTo("orders")) == nil)
	})
}

// TestIdleSubscriptions follows services until they are idle, and follows permanently
// those that the local service calls.
func TestIdleSubscriptions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, f := newTestSubscriptions()
		ended := make(chan error)
		go func() { ended <- s.Run(ctx) }()
		s.setPermanent([]string{"stock"})
		for _, service := range []string{"orders", "mugs", "prices"} {
			go func() { _ = s.await(ctx, callTo(service)) }()
			synctest.Wait()
			if service != "prices" { // its requests keep waiting
				s.Update(service, targetsOf(service, 3))
			}
		}
		s.Update("stock", targetsOf("stock", 3))
		for range 6 {
			time.Sleep(time.Minute)
			assert.Assert(t, s.await(ctx, callTo("orders")) == nil)
		}
		synctest.Wait()
		assert.DeepEqual(t, f.updates[len(f.updates)-1], []string{"orders", "prices", "stock"})
		s.Update("mugs", targetsOf("mugs", 3)) // a late update
		_, ok := s.routes.byService["mugs"]
		assert.Assert(t, !ok)

		// The subscription of a service that is no longer called ends when it is idle.
		s.setPermanent(nil)
		time.Sleep(subscriptionIdle + subscriptionSweep)
		synctest.Wait()
		assert.DeepEqual(t, f.updates[len(f.updates)-1], []string{"prices"})
		cancel()
		assert.NilError(t, <-ended)
	})
}

// TestRequestsDuringUnsubscribe sends requests while the subscription ends
// repeatedly. Each request finds a listing or waits for it.
func TestRequestsDuringUnsubscribe(t *testing.T) {
	s, _ := newTestSubscriptions()
	s.directory = listingSubscriber{s}
	s.started = time.Now().Add(-time.Hour)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 2000 {
				if refusal := s.await(t.Context(), callTo("orders")); refusal != nil {
					t.Error(refusal)
				}
			}
		})
	}
	for range 2000 {
		s.mu.Lock()
		if subscribed, ok := s.byService["orders"]; ok {
			subscribed.lastUsed.Store(0)
		}
		s.mu.Unlock()
		s.sweep()
	}
	group.Wait()
	assert.Assert(t, s.byService["orders"] == nil || s.byService["orders"].waiting.Load() == 0)
}

// listingSubscriber lists every service soon after it is followed.
type listingSubscriber struct{ s *subscriptions }

func (a listingSubscriber) SetServices(services []string) {
	for _, service := range services {
		go a.s.Update(service, nil)
	}
}

// BenchmarkSubscriptions reports the memory that an entry node uses for a
// site's backend servers, 15 per service, if it follows all services and if
// requests go to 20 of them.
func BenchmarkSubscriptions(b *testing.B) {
	const asked = 20
	for _, n := range []int{20, 200, 2000} {
		for name, count := range map[string]int{"all": n, "asked": asked} {
			b.Run(fmt.Sprintf("%s/services=%d", name, n), func(b *testing.B) {
				before := heapBytes()
				s, _ := newTestSubscriptions()
				s.directory = noopSubscriber{}
				state := directory.NewState(directory.StateConfig{Zone: "a"})
				services := make([]string, count)
				for i := range services {
					services[i] = fmt.Sprint("service-", i)
					follow(s, state, services[i])
				}
				held := heapBytes() - before
				for i := 0; b.Loop(); i++ {
					_ = s.await(b.Context(), callTo(services[i%asked]))
				}
				b.ReportMetric(float64(held), "heapB")
				runtime.KeepAlive(state)
			})
		}
	}
}

// noopSubscriber follows nothing.
type noopSubscriber struct{}

func (noopSubscriber) SetServices([]string) {}

// follow subscribes to a service and applies the backend servers that relays list for it.
func follow(s *subscriptions, state *directory.State, service string) {
	s.subscribe(service)
	for i, target := range targetsOf(service, 15) {
		state.Merge(1, directory.Entry{
			VM: target.VM, Zone: "a", Address: target.Address, Incarnation: 1, Sequence: uint64(i), Service: service, Slots: 10,
		})
	}
	s.Update(service, state.Targets(service))
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
