package bundle_test

import (
	"fmt"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburngap/bundle"
)

// drawLargerBundle draws a bundle from few names, keys and prefixes, so that successive
// versions share many. Keys may be duplicate or invalid.
func drawLargerBundle(r *rapid.T) *bundle.Bundle {
	b := &bundle.Bundle{SignOffs: 1, Operators: []bundle.Operator{testOperator("ndapewa")}}
	someNames := func(kind string, count int) []string {
		var names []string
		for i := range count {
			if rapid.IntRange(0, 3).Draw(r, kind) > 0 {
				names = append(names, fmt.Sprint(kind, i))
			}
		}
		return names
	}
	keys := rapid.SampledFrom([]string{"no hash", bundle.HashKey([]byte("a")), bundle.HashKey([]byte("b")), bundle.HashKey([]byte("c"))})
	for _, name := range someNames("workspace", 4) {
		w := bundle.Workspace{Name: name, Rate: rapid.Float64Range(1, 2).Draw(r, "rate")}
		for range rapid.IntRange(0, 2).Draw(r, "keys") {
			w.Keys = append(w.Keys, bundle.Key{Hash: keys.Draw(r, "key"), Withdrawn: rapid.Bool().Draw(r, "withdrawn")})
		}
		b.Workspaces = append(b.Workspaces, w)
	}
	for _, name := range someNames("service", 3) {
		b.Services = append(b.Services, bundle.Service{Name: name, Slots: rapid.IntRange(1, 2).Draw(r, "slots")})
	}
	for _, name := range someNames("route", 3) {
		prefix := rapid.SampledFrom([]string{"/a", "/a/b", "/c"}).Draw(r, "prefix")
		b.Routes = append(b.Routes, bundle.Route{Name: name, Prefix: prefix, RetryBudget: rapid.IntRange(0, 1).Draw(r, "budget")})
	}
	for _, name := range someNames("zone", 2) {
		b.Zones = append(b.Zones, bundle.Zone{Name: name})
	}
	return b
}

// TestIndexOfChanges activates versions that arrive as changes, sometimes several at once.
// Each index must equal one built from scratch, and must not change afterwards.
func TestIndexOfChanges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tracker := bundle.NewTracker(oneOperatorTrust())
		var before bundle.Sections
		var indexes, scratch []*bundle.Index
		for version := uint64(1); version <= 8; version++ {
			after := split(t, drawLargerBundle(r))
			header := bundle.Header{Version: version, Previous: before.Root(), Root: after.Root(), TrustVersion: 1}
			if version == 1 {
				header.TrustVersion, header.TrustChanged = 0, true
			}
			signer := testSigner("ndapewa")
			record := bundle.Record{Header: header, Delta: bundle.NewDelta(before, after)}
			record.SignOffs = []bundle.SignOff{bundle.Sign(header, signer.Name, signer.Key)}
			result, err := tracker.Offer(record)
			assert.NilError(t, err)
			assert.Assert(t, result.Accepted)
			before = after
			if rapid.IntRange(0, 3).Draw(r, "wait") == 0 {
				continue
			}
			index, ok := tracker.Activate(version)
			assert.Assert(t, ok)
			whole, err := after.Join(version)
			assert.NilError(t, err)
			indexes, scratch = append(indexes, index), append(scratch, bundle.NewIndex(whole))
			assert.Assert(t, reflect.DeepEqual(index, scratch[len(scratch)-1]), "version %d", version)
		}
		assert.Assert(t, reflect.DeepEqual(indexes, scratch), "an index has changed later")
	})
}
