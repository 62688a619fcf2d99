package roster

import (
	"cmp"
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/kv"
)

// config is a configuration entry whose value is its version.
func config(version int, revision kv.Revision) kv.Entry {
	return kv.Entry{Key: configKey, Value: []byte(strconv.Itoa(version)), Revision: revision}
}

func compareVersions(a, b kv.Entry) int {
	first, _ := strconv.Atoi(string(a.Value))
	second, _ := strconv.Atoi(string(b.Value))
	return cmp.Compare(first, second)
}

// written is the entry of a node after a number of changes by one of its processes.
func written(vm string, incarnation, sequence int, revision kv.Revision) kv.Entry {
	value := fmt.Sprintf(`{"vm":%q,"zone":"z","address":"10.0.0.1:7000","incarnation":"%d","sequence":%d}`, vm, incarnation, sequence)
	return kv.Entry{Key: "online/" + vm, Value: []byte(value), Revision: revision}
}

func inEra(era kv.Era, number uint64) kv.Revision { return kv.RevisionIn(era, number) }

// The revisions of TestMirrorEnteringEra: the last one of era 1, and that of the list that
// is read first in era 2.
var (
	lastOfEra1  = inEra(1, 100)
	firstOfEra2 = inEra(2, 60)
)

// TestMirrorEnteringEra guards against entries of a service that came back from an older
// copy being taken for older than the known ones, since their revisions are lower, and
// against what the copy lost being undone.
func TestMirrorEnteringEra(t *testing.T) {
	cases := []struct {
		name string
		// known are the entries of era 1, and then of later ones, deltas of era 2.
		known []kv.Entry
		then  []Delta
		// wantConfig is the version of the configuration; "" if there is none.
		wantConfig string
		// wantMembers are the VMs of the nodes after lapsedMemberTTL.
		wantMembers []string
	}{
		{
			name:       "a newer version has a lower revision",
			known:      []kv.Entry{config(7, inEra(1, 90))},
			then:       []Delta{{Whole: true, Revision: inEra(2, 65), Entries: []kv.Entry{config(8, inEra(2, 65))}}},
			wantConfig: "8",
		},
		{
			name:       "a newer version has the same revision number",
			known:      []kv.Entry{config(7, inEra(1, 90))},
			then:       []Delta{{Whole: true, Revision: inEra(2, 90), Entries: []kv.Entry{config(8, inEra(2, 90))}}},
			wantConfig: "8",
		},
		{
			name:       "the copy has an older version",
			known:      []kv.Entry{config(7, inEra(1, 90))},
			then:       []Delta{{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{config(6, inEra(2, 50))}}},
			wantConfig: "7",
		},
		{
			name:  "the older version of the copy, then the next one",
			known: []kv.Entry{config(7, inEra(1, 90))},
			then: []Delta{
				{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{config(6, inEra(2, 50))}},
				{Revision: inEra(2, 61), Entries: []kv.Entry{config(8, inEra(2, 61))}},
			},
			wantConfig: "8",
		},
		{
			name:       "the copy has no version",
			known:      []kv.Entry{config(7, inEra(1, 90))},
			then:       []Delta{{Whole: true, Revision: firstOfEra2}},
			wantConfig: "7",
		},
		{
			name:        "the copy lacks a node",
			known:       []kv.Entry{written("a", 1, 1, inEra(1, 20)), written("b", 1, 1, inEra(1, 90))},
			then:        []Delta{{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{written("a", 1, 1, inEra(2, 20))}}},
			wantMembers: []string{"a"},
		},
		{
			name:        "the copy has a node that was removed since",
			known:       []kv.Entry{written("a", 1, 1, inEra(1, 20)), removed("online/a", inEra(1, 95))},
			then:        []Delta{{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{written("a", 1, 1, inEra(2, 20))}}},
			wantMembers: nil,
		},
		{
			name:  "the copy has a node that was removed since and writes its entry again",
			known: []kv.Entry{written("a", 1, 1, inEra(1, 20)), removed("online/a", inEra(1, 95))},
			then: []Delta{
				{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{written("a", 1, 1, inEra(2, 20))}},
				{Revision: inEra(2, 61), Entries: []kv.Entry{written("a", 1, 2, inEra(2, 61))}},
			},
			wantMembers: []string{"a"},
		},
		{
			name:        "a node's next process writes in the new era",
			known:       []kv.Entry{written("a", 1, 5, inEra(1, 20)), removed("online/a", inEra(1, 95))},
			then:        []Delta{{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{written("a", 2, 1, inEra(2, 59))}}},
			wantMembers: []string{"a"},
		},
		{
			name:  "the lease of an older entry ends in the new era",
			known: []kv.Entry{written("a", 1, 2, inEra(1, 90))},
			then: []Delta{
				{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{written("a", 1, 1, inEra(2, 20))}},
				{Revision: inEra(2, 61), Entries: []kv.Entry{removed("online/a", inEra(2, 61))}},
			},
			wantMembers: nil,
		},
		{
			name:       "changes of the new era without what came before them",
			known:      []kv.Entry{config(7, inEra(1, 90))},
			then:       []Delta{{Revision: inEra(2, 101), Entries: []kv.Entry{config(9, inEra(2, 101))}}},
			wantConfig: "7",
		},
		{
			name:  "a list of the old era after one of the new",
			known: []kv.Entry{config(7, inEra(1, 90))},
			then: []Delta{
				{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{config(7, inEra(2, 55))}},
				{Whole: true, Revision: lastOfEra1, Entries: []kv.Entry{config(7, inEra(1, 90)), written("a", 1, 1, inEra(1, 99))}},
			},
			wantConfig: "7",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mirror := NewMirror("online/", compareVersions)
			mirror.Apply(0, Delta{Whole: true, Revision: inEra(1, 1)})
			mirror.Apply(0, Delta{Revision: lastOfEra1, Entries: c.known})
			// Another node reads from the mirror, beginning in era 1 and in era 2.
			follower := NewMirror("online/", compareVersions)
			follower.Apply(0, mirror.Since(0))
			starting := NewMirror("online/", compareVersions)
			for i, delta := range c.then {
				mirror.Apply(0, delta)
				follower.Apply(0, mirror.Since(follower.Revision()))
				if i == 0 && mirror.Accepts(delta) {
					starting.Apply(0, delta)
				}
				starting.Apply(0, mirror.Since(starting.Revision()))
			}
			for name, m := range map[string]*Mirror{"mirror": mirror, "follower": follower, "starting": starting} {
				m.Expire(lapsedMemberTTL)
				entry, _ := m.Entry(configKey)
				assert.Check(t, string(entry.Value) == c.wantConfig, "%s: configuration %q", name, entry.Value)
				members, _ := m.Members()
				var vms []string
				for _, member := range members {
					vms = append(vms, member.VM)
				}
				if name != "starting" {
					assert.Check(t, fmt.Sprint(vms) == fmt.Sprint(c.wantMembers), "%s: nodes %v", name, vms)
				}
			}
		})
	}
}

// TestMirrorKeepsLostNodesListed guards against a live node being dropped at once because
// the copy of the service lacks its entry.
func TestMirrorKeepsLostNodesListed(t *testing.T) {
	mirror := NewMirror("online/", nil)
	mirror.Apply(0, Delta{Whole: true, Revision: lastOfEra1, Entries: []kv.Entry{written("a", 1, 1, inEra(1, 90))}})
	mirror.Apply(time.Second, Delta{Whole: true, Revision: firstOfEra2})
	assert.Assert(t, !mirror.Expire(time.Second+lapsedMemberTTL-1))
	members, _ := mirror.Members()
	assert.Equal(t, len(members), 1)
	mirror.Apply(2*time.Second, Delta{Revision: inEra(2, 61), Entries: []kv.Entry{written("a", 1, 2, inEra(2, 61))}})
	assert.Assert(t, !mirror.Expire(time.Second+lapsedMemberTTL))
	members, _ = mirror.Members()
	assert.Equal(t, len(members), 1)
}

// TestMirrorListsNodeAfterMalformedEntry guards against a live node that is never listed in a
// new era because another writer's entry, which no node can be read from, was once removed
// under its key: nothing tells the order of the two.
func TestMirrorListsNodeAfterMalformedEntry(t *testing.T) {
	mirror := NewMirror("online/", compareVersions)
	mirror.Apply(0, Delta{Whole: true, Revision: inEra(1, 50), Entries: []kv.Entry{{Key: "online/a", Value: []byte("{"), Revision: inEra(1, 40)}}})
	mirror.Apply(0, Delta{Revision: inEra(1, 61), Entries: []kv.Entry{removed("online/a", inEra(1, 61))}})
	mirror.Apply(0, Delta{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{written("a", 2, 1, inEra(2, 59))}})
	mirror.Apply(0, Delta{Revision: inEra(2, 70), Entries: []kv.Entry{written("a", 2, 2, inEra(2, 70))}})
	assert.DeepEqual(t, listedVMs(mirror), []string{"a"})
}

// TestMirrorTakesProcessOfSlowerClock guards against a live node being unknown for good because
// the clock of its VM was set back between two of its processes, so that the later one has the
// lower incarnation.
func TestMirrorTakesProcessOfSlowerClock(t *testing.T) {
	cases := []struct {
		name string
		// removedIn1 is set if the entry of the process before was removed in era 1.
		removedIn1 bool
	}{
		{"its earlier process is still listed", false},
		{"the entry of its earlier process was removed", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mirror := NewMirror("online/", compareVersions)
			mirror.Apply(0, Delta{Whole: true, Revision: inEra(1, 91), Entries: []kv.Entry{written("a", 2, 5, inEra(1, 90))}})
			if c.removedIn1 {
				mirror.Apply(0, Delta{Revision: inEra(1, 95), Entries: []kv.Entry{removed("online/a", inEra(1, 95))}})
			}
			mirror.Apply(0, Delta{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{written("a", 1, 1, inEra(2, 59))}})
			mirror.Apply(0, Delta{Revision: inEra(2, 70), Entries: []kv.Entry{written("a", 1, 2, inEra(2, 70))}})
			members, _ := mirror.Members()
			assert.Equal(t, len(members), 1)
			assert.Equal(t, members[0].Incarnation, "1")
			assert.DeepEqual(t, listedVMs(mirror), []string{"a"})
		})
	}
}
