package directory

import (
	"cmp"
	"net/netip"
	"slices"

	"auburngap/kv"
	"auburngap/rendezvous"
)

// Relay is the holder of a relay slot.
type Relay struct {
	Zone string
	Slot int
	// VM is empty if the slot is free.
	VM      string
	Address netip.AddrPort
	// Revision is the revision of the platform's entry. Of two values for a
	// slot, the one with the higher revision is used.
	Revision kv.Revision
}

// RelayTable holds the known relay slots of all availability zones. It stays
// available while the platform is down.
type RelayTable struct {
	slots   map[slotKey]Relay
	version uint64
}

type slotKey struct {
	zone string
	slot int
}

// NewRelayTable returns an empty table.
func NewRelayTable() *RelayTable {
	return &RelayTable{slots: make(map[slotKey]Relay)}
}

// Version grows with each change.
func (t *RelayTable) Version() uint64 { return t.version }

// Merge applies a slot as known elsewhere and reports whether the table changed.
func (t *RelayTable) Merge(r Relay) bool {
	key := slotKey{r.Zone, r.Slot}
	if known, ok := t.slots[key]; ok && known.Revision >= r.Revision {
		return false
	}
	t.slots[key] = r
	t.version++
	return true
}

// MergeZone applies the platform's full list of a zone, read at a revision.
// Slots that are not in the list are free, unless their entries were written later.
func (t *RelayTable) MergeZone(zone string, relays []Relay, read kv.Revision) {
	listed := make(map[int]struct{}, len(relays))
	for _, r := range relays {
		listed[r.Slot] = struct{}{}
		t.Merge(r)
	}
	for key, known := range t.slots {
		if _, ok := listed[key.slot]; !ok && key.zone == zone && known.VM != "" {
			t.Merge(Relay{Zone: zone, Slot: key.slot, Revision: read})
		}
	}
}

// Zone returns the relays of an availability zone, ordered by slot.
func (t *RelayTable) Zone(zone string) []Relay {
	var relays []Relay
	for key, r := range t.slots {
		if key.zone == zone && r.VM != "" {
			relays = append(relays, r)
		}
	}
	slices.SortFunc(relays, func(a, b Relay) int { return cmp.Compare(a.Slot, b.Slot) })
	return relays
}

// Base returns the relays of an availability zone that watch the platform. They
// hold the first slots.
func (t *RelayTable) Base(zone string, slots int) []Relay {
	relays := t.Zone(zone)
	return slices.DeleteFunc(relays, func(r Relay) bool { return r.Slot >= slots })
}

// Zones returns the availability zones that have a relay, in order.
func (t *RelayTable) Zones() []string {
	var zones []string
	for key, r := range t.slots {
		if r.VM != "" && !slices.Contains(zones, key.zone) {
			zones = append(zones, key.zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// All returns every known slot, including free ones.
func (t *RelayTable) All() []Relay {
	relays := make([]Relay, 0, len(t.slots))
	for _, r := range t.slots {
		relays = append(relays, r)
	}
	slices.SortFunc(relays, func(a, b Relay) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Slot, b.Slot))
	})
	return relays
}

// FreeSlots returns the free slots of an availability zone with numbers less than
// below.
func (t *RelayTable) FreeSlots(zone string, below int) []int {
	var free []int
	for slot := range below {
		if t.slots[slotKey{zone, slot}].VM == "" {
			free = append(free, slot)
		}
	}
	return free
}

// Ranked returns the relays of an availability zone in the order in which a VM
// prefers them.
func (t *RelayTable) Ranked(zone, vm string) []Relay {
	relays := t.Zone(zone)
	chooser := rendezvous.New(vm)
	slices.SortFunc(relays, func(a, b Relay) int {
		return cmp.Compare(chooser.Rank(a.VM), chooser.Rank(b.VM))
	})
	return relays
}

// wantedSlots returns how many relays an availability zone needs so that each
// serves about fanOut nodes. Every node is served by two relays.
func wantedSlots(nodes, base, fanOut int) int {
	const streams = 2
	return max(base, (streams*nodes+fanOut-1)/fanOut)
}
