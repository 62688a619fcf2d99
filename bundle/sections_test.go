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

// drawBundle draws a bundle from few names, so that successive versions share many.
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
		encoded, err := json.MarshalIndent(bundle.NewDelta(from, to), "", "  ")
		assert.NilError(t, err)
		var delta bundle.Delta
		assert.NilError(t, json.Unmarshal(encoded, &delta))
		applied, err := from.Apply(delta)
		assert.NilError(t, err)
		assert.Equal(t, applied.Root(), to.Root())
		assert.Equal(t, len(bundle.Diff(applied, to)), 0)
		if from.Root() != to.Root() {
			_, err = to.Apply(delta)
			assertType(t, err, bundle.ErrBaseMismatch)
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

// BenchmarkOffer measures how long a node takes to apply a change of one workspace.
func BenchmarkOffer(b *testing.B) {
	for _, count := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tracker, record := trackerAndChange(b, count)
			benchmarkOffer(b, tracker, record)
			b.ReportMetric(float64(encodedSize(b, record)), "delta-B")
			b.ReportMetric(float64(encodedSize(b, tracker.Latest().FullRecord())), "whole-B")
		})
	}
}

func encodedSize(t testing.TB, record bundle.Record) int {
	encoded, err := record.Encode()
	assert.NilError(t, err)
	return len(encoded)
}

// trackerAndChange returns a tracker with version 1, which has count workspaces, and the
// record of version 2, which changes one of them.
func trackerAndChange(t testing.TB, count int) (*bundle.Tracker, bundle.Record) {
	first, second := simpleBundle(count), simpleBundle(count)
	second.Workspaces[count/2].Rate = 2
	return trackerAndRecord(t, first, second)
}

// trackerAndRecord returns a tracker with the first version and the record of the second.
func trackerAndRecord(t testing.TB, first, second *bundle.Bundle) (*bundle.Tracker, bundle.Record) {
	for _, b := range []*bundle.Bundle{first, second} {
		b.SignOffs = 1
		b.Operators = []bundle.Operator{testOperator("ndapewa")}
	}
	from, to := split(t, first), split(t, second)
	sign := func(header bundle.Header, delta bundle.Delta) bundle.Record {
		signer := testSigner("ndapewa")
		return bundle.Record{Header: header, Delta: delta, SignOffs: []bundle.SignOff{bundle.Sign(header, signer.Name, signer.Key)}}
	}
	tracker := bundle.NewTracker(oneOperatorTrust())
	_, err := tracker.Offer(sign(bundle.Header{Version: 1, Root: from.Root(), TrustChanged: true}, bundle.NewDelta(bundle.Sections{}, from)))
	assert.NilError(t, err)
	header := bundle.Header{Version: 2, Previous: from.Root(), Root: to.Root(), TrustVersion: 1}
	return tracker, sign(header, bundle.NewDelta(from, to))
}

func oneOperatorTrust() bundle.Trust {
	return bundle.Trust{SignOffs: 1, Operators: []bundle.Operator{testOperator("ndapewa")}}
}

// BenchmarkVerify measures the verification of the same change as a relay sends it: as a
// full proof, or as the change alone.
func BenchmarkVerify(b *testing.B) {
	for _, count := range []int{10, 1000, 10000} {
		_, whole, delta := followerAndProofs(b, count)
		for name, proof := range map[string][]byte{"whole": whole, "delta": delta} {
			b.Run(fmt.Sprint(count, "/", name), func(b *testing.B) {
				node, _, _ := followerAndProofs(b, count)
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

// followerAndProofs returns a follower with version 1, which has count workspaces, and two
// proofs of version 2: one for any node, and one for a node with version 1.
func followerAndProofs(t testing.TB, count int) (node *bundle.Follower, whole, delta []byte) {
	tracker, record := trackerAndChange(t, count)
	node = bundle.NewFollower(bundle.FollowerConfig{Roots: oneOperatorTrust()})
	node.Offer(1, encodeProof(t, tracker.Proof()))
	assert.Equal(t, node.ActiveVersion(), uint64(1))
	_, err := tracker.Offer(record)
	assert.NilError(t, err)
	return node, encodeProof(t, tracker.Proof()), encodeProof(t, tracker.RecordsSince(1))
}

func encodeProof(t testing.TB, records []bundle.Record) []byte {
	proof, err := json.Marshal(records)
	assert.NilError(t, err)
	return proof
}

func BenchmarkNewIndex(b *testing.B) {
	for _, count := range []int{10, 1000, 10000} {
		simple := simpleBundle(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				bundle.NewIndex(simple)
			}
		})
	}
}
