package bundle_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburngap/bundle"
)

func TestMatch(t *testing.T) {
	index := bundle.NewIndex(parseSite(t, "caltanissetta"))
	cases := []struct{ method, path, route string }{
		{"POST", "/orders/payments", "pay"},
		{"POST", "/orders/payments/7", "pay"},
		{"POST", "/orders/paymentsx", "order"},
		{"GET", "/orders/payments", "read-order"},
		{"GET", "/catalogue/window", "window"},
		{"GET", "/catalogue", "browse"},
		{"DELETE", "/catalogue", ""},
		{"GET", "/", ""},
	}
	for _, c := range cases {
		route, ok := index.Match(c.method, c.path)
		assert.Equal(t, ok, c.route != "", c.path)
		if ok {
			assert.Equal(t, route.Name, c.route, c.path)
		}
	}
}

// TestMatchAgainstScan compares Match with a linear scan of all routes.
func TestMatchAgainstScan(t *testing.T) {
	segment := rapid.SampledFrom([]string{"", "a", "b", "ab"})
	paths := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "segments"), "/")
	})
	rapid.Check(t, func(t *rapid.T) {
		b := &bundle.Bundle{}
		for _, prefix := range rapid.SliceOfDistinct(paths, rapid.ID[string]).Draw(t, "prefixes") {
			b.Routes = append(b.Routes, bundle.Route{Name: prefix, Prefix: prefix})
		}
		path := paths.Draw(t, "path")
		want := ""
		for _, route := range b.Routes {
			rest, ok := strings.CutPrefix(path, route.Prefix)
			atSegment := rest == "" || rest[0] == '/' || strings.HasSuffix(route.Prefix, "/")
			if ok && atSegment && len(route.Prefix) > len(want) {
				want = route.Prefix
			}
		}
		got, ok := bundle.NewIndex(b).Match("GET", path)
		assert.Equal(t, ok, want != "")
		if ok {
			assert.Equal(t, got.Prefix, want)
		}
	})
}

func TestWorkspaceOf(t *testing.T) {
	b := parseSite(t, "windhoek")
	key := []byte("demo-desk")
	w, ok := bundle.NewIndex(b).WorkspaceOf(key)
	assert.Assert(t, ok)
	assert.Equal(t, w.Name, "desk")
	assert.Equal(t, time.Duration(w.RefuseWhenOlder), 10*time.Minute)
	w.Keys[0].Withdrawn = true
	_, ok = bundle.NewIndex(b).WorkspaceOf(key)
	assert.Assert(t, !ok)
}

// simpleBundle returns a bundle with count workspaces with one key each, count services
// that call no other, and one route to each service.
func simpleBundle(count int) *bundle.Bundle {
	b := &bundle.Bundle{}
	for i := range count {
		name := fmt.Sprintf("name-%d", i)
		key := bundle.Key{ID: name, Hash: bundle.HashKey([]byte("key-" + name))}
		b.Workspaces = append(b.Workspaces, bundle.Workspace{Name: name, Keys: []bundle.Key{key}, Rate: 1, Burst: 1, Weight: 1})
		b.Services = append(b.Services, bundle.Service{Name: name, Slots: 1, Connections: 1})
		b.Routes = append(b.Routes, bundle.Route{Name: name, Prefix: "/" + name, Methods: []string{"GET"}, Service: name, Timeout: 1})
	}
	return b
}

func BenchmarkWorkspaceOf(b *testing.B) {
	for _, count := range []int{10, 1000, 10000} {
		index := bundle.NewIndex(simpleBundle(count))
		key := []byte(fmt.Sprintf("key-name-%d", count/2))
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := index.WorkspaceOf(key); !ok {
					b.Fatal("no workspace")
				}
			}
		})
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, count := range []int{10, 1000, 10000} {
		index := bundle.NewIndex(simpleBundle(count))
		path := fmt.Sprintf("/name-%d/some/longer/path", count/2)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := index.Match("GET", path); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}

// init fixes the seed of the randomised tests; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
