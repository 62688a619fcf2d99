package roster

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/kv"
)

func entry(key string, revision kv.Revision) kv.Entry {
	value := fmt.Sprintf(`{"vm":%q,"zone":"z","address":"10.0.0.1:7000","incarnation":"%d"}`, strings.TrimPrefix(key, "online/"), revision)
	return kv.Entry{Key: key, Value: []byte(value), Revision: revision}
}

func removed(key string, revision kv.Revision) kv.Entry {
	return kv.Entry{Key: key, Revision: revision, Deleted: true}
}

// TestMirrorIgnoresOlderEntries applies random, overlapping sections of one history of
// changes, as sources return them whose views are more or less up to date.
func TestMirrorIgnoresOlderEntries(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var history []kv.Entry
		latest := make(map[string]kv.Entry)
		for revision := kv.Revision(1); revision <= 40; revision++ {
			key := fmt.Sprint("online/vm-", random.IntN(4))
			change := entry(key, revision)
			if random.IntN(3) == 0 {
				change = removed(key, revision)
			}
			history = append(history, change)
			latest[key] = change
		}
		mirror, source := NewMirror("online/", nil), NewMirror("online/", nil)
		at := 0
		for at < len(history) {
			next := min(len(history), at+1+random.IntN(6))
			source.Apply(0, Delta{Revision: kv.Revision(next), Entries: history[at:next]})
			at = next
			if random.IntN(2) == 0 {
				continue
			}
			// A delta after a revision that the mirror already knows.
			since := kv.Revision(random.IntN(int(mirror.Revision()) + 1))
			mirror.Apply(0, source.Since(since))
		}
		mirror.Apply(0, source.Since(mirror.Revision()))
		for key, want := range latest {
			got, ok := mirror.Entry(key)
			assert.Equal(t, ok, !want.Deleted, "seed %d: %s", seed, key)
			if ok {
				assert.Equal(t, got.Revision, want.Revision)
			}
		}
	}
}

// TestLapsedMembersStayListed removes all entries, as after an outage of the
// service: nodes stay listed until they have had time to publish themselves again.
func TestLapsedMembersStayListed(t *testing.T) {
	mirror := NewMirror("online/", nil)
	mirror.Apply(0, Delta{Whole: true, Revision: 2, Entries: []kv.Entry{entry("online/a", 1), entry("online/b", 2)}})
	mirror.Apply(time.Second, Delta{Whole: true, Revision: 9})
	assert.Assert(t, !mirror.Expire(time.Second+lapsedMemberTTL/2))
	members, _ := mirror.Members()
	assert.Equal(t, len(members), 2)
	mirror.Apply(time.Second+lapsedMemberTTL/2, Delta{Revision: 10, Entries: []kv.Entry{entry("online/b", 10)}})
	assert.Assert(t, mirror.Expire(time.Second+lapsedMemberTTL))
	members, _ = mirror.Members()
	assert.Equal(t, len(members), 1)
	assert.Equal(t, members[0].Incarnation, "10")
}

func TestMalformedEntriesAreNotMembers(t *testing.T) {
	mirror := NewMirror("online/", nil)
	mirror.Apply(0, Delta{Whole: true, Revision: 9, Entries: []kv.Entry{
		entry("online/a", 1),
		{Key: "online/b", Value: []byte("{"), Revision: 2},
		{Key: "online/c", Value: []byte(`{"vm":"c"}`), Revision: 3},
		{Key: "other", Value: []byte("{}"), Revision: 4},
		{Key: "online/huge", Value: bytes.Repeat([]byte("9"), 1<<20), Revision: 5},
		{Key: "online/d", Value: entry("online/a", 6).Value, Revision: 6},
	}})
	members, malformed := mirror.Members()
	assert.Equal(t, len(members), 1)
	assert.Equal(t, len(malformed), 4)
	for _, entry := range mirror.Since(0).Entries {
		assert.Assert(t, len(entry.Value) <= maxMemberBytes+1, "%s is kept with %d bytes", entry.Key, len(entry.Value))
	}
}

// TestSourceNamesEachRemoval: a node kept the entry of a node that had left, and believed
// that its view was up to date. Its source had listed the service after the removal, so it
// knew neither the entry nor that it was removed.
func TestSourceNamesEachRemoval(t *testing.T) {
	lists := func(revision kv.Revision, entries ...kv.Entry) Delta {
		return Delta{Whole: true, Revision: revision, Entries: entries}
	}
	cases := map[string]struct {
		source []Delta
		// revision is that of the view that holds online/b, of revision 5.
		revision kv.Revision
	}{
		"source has started since":         {[]Delta{lists(9, entry("online/a", 1))}, 6},
		"source has listed again":          {[]Delta{lists(3, entry("online/a", 1)), lists(9, entry("online/a", 1))}, 6},
		"removed between two pages":        {[]Delta{lists(6, entry("online/a", 1)), {Revision: 9, Entries: []kv.Entry{removed("online/b", 8)}}}, 6},
		"removed while the source started": {[]Delta{lists(7, entry("online/a", 1)), {Revision: 9, Entries: []kv.Entry{removed("online/b", 8)}}}, 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			source, view := NewMirror("online/", nil), NewMirror("online/", nil)
			for _, delta := range c.source {
				source.Apply(0, delta)
			}
			view.Apply(0, lists(c.revision, entry("online/a", 1), entry("online/b", 5)))
			view.Apply(0, source.Since(view.Revision()))
			assert.Equal(t, view.Revision(), kv.Revision(9))
			_, ok := view.Entry("online/b")
			assert.Assert(t, !ok, "the removed entry is kept")
		})
	}
}

// TestOverflowingTombstones has a source forget removals. Removals that it hears of later
// may be older, as those that another node names; a view must still get each removal.
func TestOverflowingTombstones(t *testing.T) {
	const newer, older = 9000, 5000
	source, view := NewMirror("online/", nil), NewMirror("online/", nil)
	source.Apply(0, Delta{Whole: true, Revision: 1, Entries: []kv.Entry{entry("online/a", 1)}})
	source.Apply(0, Delta{Revision: newer, Entries: []kv.Entry{removed("online/a", newer)}})
	for i := range kv.Revision(maxTombstones + 1) {
		key := fmt.Sprint("online/vm-", i)
		source.Apply(0, Delta{Revision: newer, Entries: []kv.Entry{entry(key, older+2*i), removed(key, older+2*i+1)}})
	}
	view.Apply(0, Delta{Whole: true, Revision: newer - 1, Entries: []kv.Entry{entry("online/a", 1)}})
	view.Apply(0, source.Since(view.Revision()))
	_, ok := view.Entry("online/a")
	assert.Assert(t, !ok, "the removed entry is kept")
}

// TestLateAnswerKeepsRemoval: the answer of a node that was behind arrived after a list of
// the service, and brought back an entry that had been removed in between.
func TestLateAnswerKeepsRemoval(t *testing.T) {
	view := NewMirror("online/", nil)
	view.Apply(0, Delta{Whole: true, Revision: 4, Entries: []kv.Entry{entry("online/a", 1)}})
	view.Apply(0, Delta{Whole: true, Revision: 9, Entries: []kv.Entry{entry("online/a", 1)}})
	changed := view.Apply(0, Delta{Revision: 6, Entries: []kv.Entry{entry("online/b", 5)}})
	assert.Assert(t, !changed, "the removed entry is back")
}
