package bundle_test

import (
	"fmt"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburngap/bundle"
)

// drawVersion draws a bundle with few names, keys and prefixes, so that
// versions share many; keys may stand twice or be none.
func drawVersion(r *rapid.T) *bundle.Bundle {
	b := &bundle.Bundle{SignOffs: 1, Operators: []bundle.Operator{operatorOf("ndapewa")}}
	some := func(kind string, count int) []string {
		var names []string
		for i := range count {
			if rapid.IntRange(0, 3).Draw(r, kind) > 0 {
				names = append(names, fmt.Sprint(kind, i))
			}
		}
		return names
	}
	keys := rapid.SampledFrom([]string{"no hash", bundle.HashKey([]byte("a")), bundle.HashKey([]byte("b")), bundle.HashKey([]byte("c"))})
	for _, name := range some("workspace", 4) {
		w := bundle.Workspace{Name: name, Rate: rapid.Float64Range(1, 2).Draw(r, "rate")}
		for range rapid.IntRange(0, 2).Draw(r, "keys") {
			w.Keys = append(w.Keys, bundle.Key{Hash: keys.Draw(r, "key"), Withdrawn: rapid.Bool().Draw(r, "withdrawn")})
		}
		b.Workspaces = append(b.Workspaces, w)
	}
	for _, name := range some("service", 3) {
		b.Services = append(b.Services, bundle.Service{Name: name, Slots: rapid.IntRange(1, 2).Draw(r, "slots")})
	}
	for _, name := range some("route", 3) {
		prefix := rapid.SampledFrom([]string{"/a", "/a/b", "/c"}).Draw(r, "prefix")
		b.Routes = append(b.Routes, bundle.Route{Name: name, Prefix: prefix, RetryBudget: rapid.IntRange(0, 1).Draw(r, "budget")})
	}
	for _, name := range some("zone", 2) {
		b.Zones = append(b.Zones, bundle.Zone{Name: name})
	}
	return b
}

// TestIndexOfChanges brings versions into force as changes, some several at
// once: each index is the one made from scratch, and none changes later.
func TestIndexOfChanges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tracker := bundle.NewTracker(rootTrust1())
		var before bundle.Sections
		var indexes, scratch []*bundle.Index
		for version := uint64(1); version <= 8; version++ {
			after := split(t, drawVersion(r))
			header := bundle.Header{Version: version, Previous: before.Root(), Root: after.Root(), TrustVersion: 1}
			if version == 1 {
				header.TrustVersion, header.TrustChanged = 0, true
			}
			signer := signerOf("ndapewa")
			record := bundle.Record{Header: header, Delta: bundle.DeltaOf(before, after)}
			record.SignOffs = []bundle.SignOff{bundle.Sign(header, signer.Name, signer.Key)}
			verdict, err := tracker.Offer(record)
			assert.NilError(t, err)
			assert.Assert(t, verdict.Accepted)
			before = after
			if rapid.IntRange(0, 3).Draw(r, "wait") == 0 {
				continue
			}
			index, ok := tracker.RelaysHold(version)
			assert.Assert(t, ok)
			whole, err := after.Join(version)
			assert.NilError(t, err)
			indexes, scratch = append(indexes, index), append(scratch, bundle.NewIndex(whole))
			assert.Assert(t, reflect.DeepEqual(index, scratch[len(scratch)-1]), "version %d", version)
		}
		assert.Assert(t, reflect.DeepEqual(indexes, scratch), "an index has changed later")
	})
}
