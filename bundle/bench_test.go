package bundle_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/bundle"
)

// siteBundle returns a bundle with n services that call each other, n routes, and n/2
// workspaces with four keys each.
func siteBundle(n int) *bundle.Bundle {
	b := &bundle.Bundle{Version: 1}
	for i := range 11 {
		b.Zones = append(b.Zones, bundle.Zone{Name: fmt.Sprint("zone-", i), Shards: 16})
	}
	for i := range n {
		name := "service-" + strconv.Itoa(i)
		calls := []string{"service-" + strconv.Itoa((i+1)%n), "service-" + strconv.Itoa((i+7)%n)}
		b.Services = append(b.Services, bundle.Service{Name: name, Calls: calls, Slots: 35, Connections: 300})
		b.Routes = append(b.Routes, bundle.Route{Name: "route-" + name, Prefix: "/" + name, Service: name, Timeout: bundle.Duration(2e9)})
	}
	for i := range n / 2 {
		w := bundle.Workspace{Name: "workspace-" + strconv.Itoa(i), Rate: 100, Burst: 200, Weight: 1}
		for k := range 4 {
			id := w.Name + "-" + strconv.Itoa(k)
			w.Keys = append(w.Keys, bundle.Key{ID: id, Hash: bundle.HashKey([]byte(id))})
		}
		b.Workspaces = append(b.Workspaces, w)
	}
	return b
}

// BenchmarkIndex decodes a bundle and builds its index, as a node does when a version
// becomes active.
func BenchmarkIndex(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			raw, err := json.Marshal(siteBundle(n))
			assert.NilError(b, err)
			build := func() *bundle.Index {
				decoded := &bundle.Bundle{}
				assert.NilError(b, json.Unmarshal(raw, decoded))
				return bundle.NewIndex(decoded)
			}
			before := heapBytes()
			kept := build()
			held := heapBytes() - before
			for b.Loop() {
				build()
			}
			b.ReportMetric(float64(len(raw)), "rawB")
			b.ReportMetric(float64(held), "heapB")
			runtime.KeepAlive(kept)
		})
	}
}

// BenchmarkChange applies a change and updates the index, as a node does when a version
// becomes active and the node has the previous one.
func BenchmarkChange(b *testing.B) {
	changes := []struct {
		name   string
		change func(*bundle.Bundle)
	}{
		{"rate", func(b *bundle.Bundle) { b.Workspaces[3].Rate++ }},
		{"key", func(b *bundle.Bundle) {
			keys := b.Workspaces[3].Keys
			b.Workspaces[3].Keys = append(keys[:len(keys):len(keys)], bundle.Key{ID: "new", Hash: bundle.HashKey([]byte("new"))})
		}},
		{"route", func(b *bundle.Bundle) { b.Routes[3].RetryBudget++ }},
		{"workspace", func(b *bundle.Bundle) {
			b.Workspaces = append(b.Workspaces, bundle.Workspace{Name: "new", Rate: 1, Burst: 1, Weight: 1})
		}},
	}
	for _, c := range changes {
		for _, n := range []int{20, 200, 2000} {
			b.Run(fmt.Sprintf("%s/services=%d", c.name, n), func(b *testing.B) {
				first, second := siteBundle(n), siteBundle(n)
				c.change(second)
				tracker, record := trackerAndRecord(b, first, second)
				tracker.Activate(1)
				benchmarkOffer(b, tracker, record)
			})
		}
	}
}

// benchmarkOffer offers and activates version 2 repeatedly, each time on a copy of
// tracker.
func benchmarkOffer(b *testing.B, tracker *bundle.Tracker, record bundle.Record) {
	b.ReportAllocs()
	for b.Loop() {
		copied := *tracker
		if result, err := copied.Offer(record); err != nil || !result.Accepted {
			b.Fatal(err)
		}
		copied.Activate(2)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
