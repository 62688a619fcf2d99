package bundle_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburngap/bundle"
	"auburngap/kv/fake"
)

// publishVersions rolls out count versions, some of which change the operators.
func publishVersions(t *testing.T, count int) (*deployment, []bundle.Record) {
	d := newDeployment(t)
	var records []bundle.Record
	for i := range count {
		b := testBundle(t)
		b.Workspaces[0].Rate = float64(i + 1)
		if i%7 >= 5 {
			b.Operators = b.Operators[:2]
		}
		if i%5 == 4 {
			b.Workspaces = b.Workspaces[:6]
		}
		records = append(records, d.publish(b))
	}
	return d, records
}

func TestFollow(t *testing.T) {
	d, records := publishVersions(t, 70)
	for _, start := range []int{0, 1, 30, 64, 65, 69, 70} {
		tracker := bundle.NewTracker(rootTrust())
		for _, record := range records[:start] {
			result, err := tracker.Offer(record)
			assert.NilError(t, err)
			assert.Assert(t, result.Accepted)
		}
		assert.NilError(t, d.store.CatchUp(t.Context(), tracker))
		assert.Equal(t, tracker.LatestNumber(), uint64(70))
		loaded, err := d.store.Load(t.Context(), 70)
		assert.NilError(t, err)
		assert.DeepEqual(t, tracker.Latest().Bundle, loaded.Bundle)
	}
}

// TestOfferRefusesForgedRecords offers records that a tracker must refuse.
func TestOfferRefusesForgedRecords(t *testing.T) {
	_, records := publishVersions(t, 2)
	cases := []struct {
		name   string
		tamper func(*bundle.Record)
	}{
		{"unsigned", func(r *bundle.Record) { r.SignOffs = nil }},
		{"one of two sign-offs", func(r *bundle.Record) { r.SignOffs = r.SignOffs[:1] }},
		{"one operator twice", func(r *bundle.Record) { r.SignOffs[1] = r.SignOffs[0] }},
		{"sign-off by an unknown operator", func(r *bundle.Record) {
			mallory := testSigner("mallory")
			r.SignOffs[1] = bundle.Sign(r.Header, "tuyeni", mallory.Key)
		}},
		{"sign-offs of another version", func(r *bundle.Record) { r.SignOffs = records[0].SignOffs }},
		{"higher version", func(r *bundle.Record) { r.Header.Version = 9 }},
		{"other trust version", func(r *bundle.Record) { r.Header.TrustVersion = 0 }},
		{"changed section", func(r *bundle.Record) {
			for name := range r.Delta.Changed {
				r.Delta.Changed[name] = []byte(`{}`)
			}
		}},
		{"removed section", func(r *bundle.Record) { r.Delta.Removed = []string{"workspace/desk"} }},
		{"consistent delta with other sections", func(r *bundle.Record) { r.Delta = records[0].Delta }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := bundle.NewTracker(rootTrust())
			offerAll(t, tracker, records[:1])
			forged := copyRecord(t, records[1])
			c.tamper(&forged)
			_, err := tracker.Offer(forged)
			assert.Assert(t, err != nil)
			assert.Equal(t, tracker.LatestNumber(), uint64(1))
			offerAll(t, tracker, records[1:])
		})
	}
}

func offerAll(t testing.TB, tracker *bundle.Tracker, records []bundle.Record) {
	for _, record := range records {
		_, err := tracker.Offer(record)
		assert.NilError(t, err)
	}
}

func copyRecord(t testing.TB, record bundle.Record) bundle.Record {
	encoded, err := record.Encode()
	assert.NilError(t, err)
	copied, err := bundle.DecodeRecord(encoded)
	assert.NilError(t, err)
	return copied
}

// TestRemovedOperator checks that the sign-off of an operator removed by the previous
// version does not count.
func TestRemovedOperator(t *testing.T) {
	d := newDeployment(t)
	d.publish(testBundle(t))
	b := testBundle(t)
	b.Operators = b.Operators[:2]
	second := d.publish(b)
	tracker := bundle.NewTracker(rootTrust())
	assert.NilError(t, d.store.CatchUp(t.Context(), tracker))
	header := second.Header
	header.Version, header.TrustVersion = 3, 2
	forged := bundle.Record{Header: header, SignOffs: []bundle.SignOff{
		bundle.Sign(header, "ndapewa", testSigner("ndapewa").Key),
		bundle.Sign(header, "martha", testSigner("martha").Key),
	}}
	_, err := tracker.Offer(forged)
	assertType(t, err, bundle.ErrForged)
}

// TestTrackerNeverReverts offers old and new records in any order, from the platform and
// from a peer, and forged ones. The versions of the tracker must never decrease.
func TestTrackerNeverReverts(t *testing.T) {
	_, records := publishVersions(t, 12)
	index := func(r *rapid.T, name string) int { return rapid.IntRange(0, len(records)-1).Draw(r, name) }
	rapid.Check(t, func(r *rapid.T) {
		tracker := bundle.NewTracker(rootTrust())
		peer := bundle.NewTracker(rootTrust())
		latest, active := uint64(0), uint64(0)
		r.Repeat(map[string]func(*rapid.T){
			"record":  func(r *rapid.T) { _, _ = tracker.Offer(records[index(r, "record")]) },
			"to peer": func(r *rapid.T) { _, _ = peer.Offer(records[index(r, "record")]) },
			"from peer": func(r *rapid.T) {
				for _, record := range peer.RecordsSince(tracker.LatestNumber()) {
					_, _ = tracker.Offer(record)
				}
			},
			"forged": func(r *rapid.T) {
				forged := records[index(r, "record")]
				forged.Header.Version += 20
				_, err := tracker.Offer(forged)
				if err == nil && tracker.LatestNumber() > 12 {
					r.Fatal("a forged version is held")
				}
			},
			"relays hold": func(r *rapid.T) { tracker.Activate(uint64(index(r, "version") + 1)) },
			"": func(r *rapid.T) {
				if tracker.LatestNumber() < latest {
					r.Fatalf("held %d after %d", tracker.LatestNumber(), latest)
				}
				latest = tracker.LatestNumber()
				if tracker.Active() == nil {
					return
				}
				b := tracker.Active().Bundle
				if b.Version < active || b.Version > latest {
					r.Fatalf("in force %d after %d, held %d", b.Version, active, latest)
				}
				active = b.Version
				if b.Workspaces[slices.IndexFunc(b.Workspaces, isDaily)].Rate != float64(b.Version) {
					r.Fatal("the bundle is not that of its version")
				}
			},
		})
	})
}

func isDaily(w bundle.Workspace) bool { return w.Name == "national-daily" }

// TestActivationWaitsForRelays checks that a version becomes active only after the zone's
// relays hold it.
func TestActivationWaitsForRelays(t *testing.T) {
	_, records := publishVersions(t, 3)
	tracker := bundle.NewTracker(rootTrust())
	offerAll(t, tracker, records)
	assert.Assert(t, tracker.Active() == nil)
	index, changed := tracker.Activate(2)
	assert.Assert(t, changed)
	assert.Equal(t, index.Bundle.Version, uint64(2))
	_, changed = tracker.Activate(1)
	assert.Assert(t, !changed)
	assert.Equal(t, tracker.Active().Bundle.Version, uint64(2))
}

func TestCatchUpMakesOneCallIfUnchanged(t *testing.T) {
	d, _ := publishVersions(t, 3)
	tracker := bundle.NewTracker(rootTrust())
	assert.NilError(t, d.store.CatchUp(t.Context(), tracker))
	before := d.service.Counts()
	assert.NilError(t, d.store.CatchUp(t.Context(), tracker))
	assert.DeepEqual(t, d.service.Counts(), fake.Counts{
		Get: before.Get + 1, Put: before.Put, Watch: before.Watch, List: before.List,
	})
}
