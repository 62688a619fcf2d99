package roster

import (
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/kv"
)

// listedVMs returns the VMs that a mirror lists once removed nodes have expired.
func listedVMs(m *Mirror) []string {
	m.Expire(2 * lapsedMemberTTL)
	members, _ := m.Members()
	vms := []string{}
	for _, member := range members {
		vms = append(vms, member.VM)
	}
	return vms
}

// TestMirrorTellsRemovalsBeforeList guards against a removed node that stays listed for good: a
// node that was behind reads from one whose list of the service lacked the entry already, and
// which knows no removal to tell of.
func TestMirrorTellsRemovalsBeforeList(t *testing.T) {
	cases := []struct {
		name string
		// source is what the source knew before its list.
		source []Delta
		// a is the removed node's entry as the reader read it from the service at its
		// revision; list is the revision of the source's list, which lacks the entry.
		a        kv.Entry
		at, list kv.Revision
	}{
		{"the source has started", nil, written("a", 1, 1, inEra(0, 20)), inEra(0, 30), inEra(0, 40)},
		{
			name: "the source has seen the entry removed before the copy came back",
			source: []Delta{
				{Whole: true, Revision: inEra(1, 91), Entries: []kv.Entry{written("a", 1, 1, inEra(1, 20))}},
				{Revision: inEra(1, 95), Entries: []kv.Entry{removed("online/a", inEra(1, 95))}},
			},
			a:  written("a", 1, 1, inEra(2, 20)),
			at: inEra(2, 60), list: inEra(2, 65),
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reader, source := NewMirror("online/", compareVersions), NewMirror("online/", compareVersions)
			reader.Apply(0, Delta{Whole: true, Revision: c.at, Entries: []kv.Entry{c.a}})
			for _, delta := range c.source {
				source.Apply(0, delta)
			}
			source.Apply(0, Delta{Whole: true, Revision: c.list})
			reader.Apply(0, source.Since(reader.Revision()))
			assert.Equal(t, reader.Revision(), c.list)
			assert.DeepEqual(t, listedVMs(reader), []string{})
		})
	}
}

// TestMirrorReadsRemovedNodeFromLaggingNode guards against a removed node coming back for
// good: a node that is behind tells of an entry of the earlier era, whatever the revision that
// it is asked for, and the service never tells of the removal again.
func TestMirrorReadsRemovedNodeFromLaggingNode(t *testing.T) {
	lagging := NewMirror("online/", compareVersions)
	lagging.Apply(0, Delta{Whole: true, Revision: lastOfEra1, Entries: []kv.Entry{written("a", 1, 5, inEra(1, 90))}})
	// The copy has an older entry of the node, whose lease ends at 2/61.
	lagging.Apply(0, Delta{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{written("a", 1, 3, inEra(2, 20))}})

	starting := NewMirror("online/", compareVersions)
	starting.Apply(0, Delta{Whole: true, Revision: inEra(2, 65)})
	starting.Apply(0, lagging.Since(starting.Revision()))
	lagging.Apply(0, Delta{Revision: inEra(2, 65), Entries: []kv.Entry{removed("online/a", inEra(2, 61))}})
	starting.Apply(0, lagging.Since(starting.Revision()))
	starting.Apply(0, Delta{Revision: inEra(2, 70)}) // the changes after 2/65 that the service knows
	assert.DeepEqual(t, listedVMs(lagging), []string{})
	assert.DeepEqual(t, listedVMs(starting), []string{})
}

// TestMirrorReadsOlderListOfNode guards against a removed node coming back for good by the
// whole list of another node, older than the view: the service never tells of the removal again.
func TestMirrorReadsOlderListOfNode(t *testing.T) {
	other := NewMirror("online/", compareVersions)
	other.Apply(0, Delta{Whole: true, Revision: firstOfEra2, Entries: []kv.Entry{written("a", 1, 1, inEra(2, 55))}})

	mirror := NewMirror("online/", compareVersions)
	mirror.Apply(0, Delta{Whole: true, Revision: lastOfEra1})
	inFlight := other.Since(mirror.Revision())
	mirror.Apply(0, Delta{Whole: true, Revision: inEra(2, 65)}) // a was removed at 2/62
	mirror.Apply(0, inFlight)
	mirror.Apply(0, Delta{Revision: inEra(2, 70)})
	assert.DeepEqual(t, listedVMs(mirror), []string{})
}
