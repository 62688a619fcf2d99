package e2e

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/kv"
	"auburngap/kv/fake"
)

// firstBundle has a route to each of eight services, in addition to the route that
// waitUntilServing uses.
func firstBundle() bundle.Bundle {
	b := pairBundle()
	for _, name := range []string{"h", "i", "j", "k", "l", "m", "n", "o"} {
		b.Services = append(b.Services, bundle.Service{Name: name, Slots: 16, Connections: 64})
		route := b.Routes[1]
		route.Name, route.Prefix, route.Service = name, "/"+name, name
		b.Routes = append(b.Routes, route)
	}
	return b
}

// TestFirstRequest sends the first request through each node to services that the node
// does not follow yet. None may be refused, whatever is down.
func TestFirstRequest(t *testing.T) {
	w := newTestSite(t, firstBundle())
	// One node of each availability zone sends requests beforehand; these are left out below.
	probes := []string{vmName("a", 0), vmName("g", 0)}
	for _, service := range w.bundle.Services[2:] {
		for _, probe := range probes {
			w.waitFor(service.Name+" is listed", func() bool {
				return w.send(w.site.Node(probe).Settings.CallerAddress, "GET", "/"+service.Name, schoolKey, "").status == 200
			})
		}
	}
	asking := slices.DeleteFunc(w.vms(), func(vm testVM) bool { return slices.Contains(probes, vm.name) })

	t.Run("at rest", func(t *testing.T) {
		first, later := w.sendFirst(t, asking, "/h"), w.sendFirst(t, asking, "/h")
		t.Logf("first requests took %v at the median, %v at most; second ones %v, %v",
			median(first), slices.Max(first), median(later), slices.Max(later))
	})
	t.Run("to several services at once", func(t *testing.T) {
		var group sync.WaitGroup
		for _, path := range []string{"/i", "/j", "/k"} {
			group.Go(func() { w.sendFirst(t, asking, path) })
		}
		group.Wait()
	})
	t.Run("to a service without a backend server", func(t *testing.T) {
		b := w.bundle
		b.Services = append(slices.Clone(b.Services), bundle.Service{Name: "nothing", Slots: 1, Connections: 1})
		route := b.Routes[1]
		route.Name, route.Prefix, route.Service = "nothing", "/nothing", "nothing"
		b.Routes = append(slices.Clone(b.Routes), route)
		w.publish(b)
		address := w.node("g").Settings.CallerAddress
		w.waitFor("the route is known", func() bool { return w.send(address, "GET", "/nothing", schoolKey, "").status != 404 })
		began := time.Now()
		got := w.send(address, "GET", "/nothing", schoolKey, "")
		t.Logf("refused after %v", time.Since(began))
		assert.Equal(t, got.cause, "noBackend")
		assert.Equal(t, got.status, 503)
	})
	t.Run("with the platform down", func(t *testing.T) {
		admin := fake.Admin{Address: w.site.Platform}
		assert.NilError(t, admin.SetFaults(t.Context(), fake.Faults{Down: true}))
		first := w.sendFirst(t, asking, "/l")
		t.Logf("first requests took %v at the median, %v at most", median(first), slices.Max(first))
		assert.NilError(t, admin.SetFaults(t.Context(), fake.Faults{}))
	})
	t.Run("after a restart", func(t *testing.T) {
		const vm = "vm-k-0"
		node := w.site.Node(vm)
		node.Terminate()
		assert.Assert(t, node.Wait(30*time.Second))
		assert.NilError(t, w.site.StartNode(w.ctx, vm))
		// A node that has just started accepts no connection or answers that it is not ready.
		w.waitFor("an answer", func() bool {
			got := w.send(node.Settings.CallerAddress, "GET", "/m", schoolKey, "")
			assert.Assert(t, got.status == 0 || got.cause != "noBackend" && got.cause != "deadline", "%+v", got)
			return got.status == 200
		})
	})
	t.Run("as a relay is killed", func(t *testing.T) {
		entries, _, err := w.platform.List(t.Context(), "zones/palermo/relays/")
		assert.NilError(t, err)
		isRelay := func(vm testVM) bool {
			return vm.name != vmName("n", 0) && slices.ContainsFunc(entries, func(entry kv.Entry) bool {
				return strings.Contains(string(entry.Value), `"`+vm.name+`"`)
			})
		}
		at := slices.IndexFunc(asking, isRelay)
		assert.Assert(t, at >= 0, "no relay among %v", asking)
		w.site.Node(asking[at].name).Kill()
		first := w.sendFirst(t, slices.Delete(asking, at, at+1), "/n")
		t.Logf("first requests took %v at the median, %v at most", median(first), slices.Max(first))
	})
}

// sendFirst sends a request through each of the given nodes and returns their latencies.
func (w *testSite) sendFirst(t *testing.T, vms []testVM, path string) []time.Duration {
	var mu sync.Mutex
	var took []time.Duration
	var group sync.WaitGroup
	for _, vm := range vms {
		group.Go(func() {
			began := time.Now()
			got := w.send(w.site.Node(vm.name).Settings.CallerAddress, "GET", path, schoolKey, "")
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(began))
			if got.status != 200 {
				t.Errorf("%s at %s: %+v", path, vm.name, got)
			}
		})
	}
	group.Wait()
	return took
}

func median(times []time.Duration) time.Duration {
	return slices.Sorted(slices.Values(times))[len(times)/2]
}
