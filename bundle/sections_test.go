package bundle_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"auburngap/bundle"
)

func split(t testing.TB, b *bundle.Bundle) bundle.Sections {
	sections, err := bundle.Split(b)
	assert.NilError(t, err)
	return sections
}

// drawBundle draws a bundle with few names, so that versions share many.
func drawBundle(r *rapid.T) *bundle.Bundle {
	b := &bundle.Bundle{SignOffs: rapid.IntRange(1, 2).Draw(r, "signOffs")}
	for i := range 4 {
		name := fmt.Sprint("w", i)
		if rapid.Bool().Draw(r, name) {
			b.Workspaces = append(b.Workspaces, bundle.Workspace{Name: name, Rate: rapid.Float64Range(1, 3).Draw(r, "rate")})
			b.Routes = append(b.Routes, bundle.Route{Name: name, Prefix: "/<&>" + name})
		}
	}
	return b
}

func TestDelta(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		from, to := split(t, drawBundle(r)), split(t, drawBundle(r))
		encoded, err := json.MarshalIndent(bundle.DeltaOf(from, to), "", "  ")
		assert.NilError(t, err)
		var delta bundle.Delta
		assert.NilError(t, json.Unmarshal(encoded, &delta))
		applied, err := from.Apply(delta)
		assert.NilError(t, err)
		assert.Equal(t, applied.Root(), to.Root())
		assert.Equal(t, len(bundle.Diff(applied, to)), 0)
		if from.Root() != to.Root() {
			_, err = to.Apply(delta)
			assertType(t, err, bundle.ErrBase)
		}
	})
}

func TestDiff(t *testing.T) {
	from := testBundle(t)
	to := testBundle(t)
	to.Workspaces[0].Rate = 750
	to.Workspaces[0].Keys = append(to.Workspaces[0].Keys, bundle.Key{ID: "spare", Hash: "hash"})
	to.Workspaces[1].Keys[0].Withdrawn = true
	to.Workspaces = to.Workspaces[:7]
	to.Routes = append(to.Routes, bundle.Route{Name: "guide", Prefix: "/guide", Open: true})
	changes := bundle.Diff(split(t, from), split(t, to))
	text := ""
	for _, change := range changes {
		text += change.String() + "\n"
	}
	golden.Assert(t, text, "diff.golden")
	encoded, err := json.MarshalIndent(changes, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(encoded)+"\n", "diff.json.golden")
}

// BenchmarkOffer measures a change of one workspace among many, as a node sees it.
func BenchmarkOffer(b *testing.B) {
	for _, count := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tracker, record := trackerWith(b, count)
			offerAgain(b, tracker, record)
			b.ReportMetric(float64(encodedSize(b, record)), "delta-B")
			b.ReportMetric(float64(encodedSize(b, tracker.HeldVersion().Whole())), "whole-B")
		})
	}
}

func encodedSize(t testing.TB, record bundle.Record) int {
	encoded, err := record.Encode()
	assert.NilError(t, err)
	return len(encoded)
}

// trackerWith returns a tracker that holds version 1 with so many workspaces,
// and the record of version 2, which changes one of them.
func trackerWith(t testing.TB, count int) (*bundle.Tracker, bundle.Record) {
	first, second := large(count), large(count)
	second.Workspaces[count/2].Rate = 2
	return trackerOf(t, first, second)
}

// trackerOf returns a tracker that holds the first version, and the record of
// the second.
func trackerOf(t testing.TB, first, second *bundle.Bundle) (*bundle.Tracker, bundle.Record) {
	for _, b := range []*bundle.Bundle{first, second} {
		b.SignOffs = 1
		b.Operators = []bundle.Operator{operatorOf("ndapewa")}
	}
	from, to := split(t, first), split(t, second)
	sign := func(header bundle.Header, delta bundle.Delta) bundle.Record {
		signer := signerOf("ndapewa")
		return bundle.Record{Header: header, Delta: delta, SignOffs: []bundle.SignOff{bundle.Sign(header, signer.Name, signer.Key)}}
	}
	tracker := bundle.NewTracker(rootTrust1())
	_, err := tracker.Offer(sign(bundle.Header{Version: 1, Root: from.Root(), TrustChanged: true}, bundle.DeltaOf(bundle.Sections{}, from)))
	assert.NilError(t, err)
	header := bundle.Header{Version: 2, Previous: from.Root(), Root: to.Root(), TrustVersion: 1}
	return tracker, sign(header, bundle.DeltaOf(from, to))
}

func rootTrust1() bundle.Trust {
	return bundle.Trust{SignOffs: 1, Operators: []bundle.Operator{operatorOf("ndapewa")}}
}

// BenchmarkVerify measures the check of the same change, as it comes from a
// relay: whole, or as the change alone.
func BenchmarkVerify(b *testing.B) {
	for _, count := range []int{10, 1000, 10000} {
		_, whole, delta := proofsWith(b, count)
		for name, proof := range map[string][]byte{"whole": whole, "delta": delta} {
			b.Run(fmt.Sprint(count, "/", name), func(b *testing.B) {
				node, _, _ := proofsWith(b, count)
				b.ReportAllocs()
				for b.Loop() {
					if err := node.Verify(2, proof); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// proofsWith returns a node that holds version 1 with so many workspaces, and
// the proofs of version 2 for any node and for that one.
func proofsWith(t testing.TB, count int) (node *bundle.Follower, whole, delta []byte) {
	tracker, record := trackerWith(t, count)
	node = bundle.NewFollower(bundle.FollowerConfig{Roots: rootTrust1()})
	node.Offer(1, encodeProof(t, tracker.Proof()))
	assert.Equal(t, node.Highest(), uint64(1))
	_, err := tracker.Offer(record)
	assert.NilError(t, err)
	return node, encodeProof(t, tracker.Proof()), encodeProof(t, tracker.Since(1))
}

func encodeProof(t testing.TB, records []bundle.Record) []byte {
	proof, err := json.Marshal(records)
	assert.NilError(t, err)
	return proof
}

func BenchmarkNewIndex(b *testing.B) {
	for _, count := range []int{10, 1000, 10000} {
		made := large(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				bundle.NewIndex(made)
			}
		})
	}
}
