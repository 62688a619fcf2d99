package directory

import (
	"net/netip"
	"slices"
	"time"

	"auburngap/kv"
	"auburngap/peer/peerpb"
)

// updateEntries is the maximum number of entries in one message. It keeps the
// message well below the maximum frame size.
const updateEntries = 2000

// encode converts the entry to a message.
func (e *Entry) encode(now time.Time) *peerpb.Announcement {
	return &peerpb.Announcement{
		Vm:               e.VM,
		AvailabilityZone: e.Zone,
		Address:          encodeAddress(e.Address),
		Incarnation:      e.Incarnation,
		Sequence:         e.Sequence,
		Service:          e.Service,
		Slots:            uint32(e.Slots),
		Connections:      uint32(e.Connections),
		Load:             uint32(e.Load),
		Draining:         e.Draining,
		AgeMicros:        max(0, now.Sub(e.Since).Microseconds()),
	}
}

// decodeEntry converts a message to an entry, or returns ErrMessage.
func decodeEntry(now time.Time, a *peerpb.Announcement) (Entry, error) {
	address, err := decodeAddress(a.GetAddress())
	if err != nil {
		return Entry{}, err
	}
	if a.GetVm() == "" || a.GetAvailabilityZone() == "" {
		return Entry{}, ErrMessage.New("announcement without VM or availability zone")
	}
	return Entry{
		VM:          a.GetVm(),
		Zone:        a.GetAvailabilityZone(),
		Address:     address,
		Incarnation: a.GetIncarnation(),
		Sequence:    a.GetSequence(),
		Service:     a.GetService(),
		Slots:       int(a.GetSlots()),
		Connections: int(a.GetConnections()),
		Load:        int(a.GetLoad()),
		Draining:    a.GetDraining(),
		Since:       now.Add(-time.Duration(a.GetAgeMicros()) * time.Microsecond),
	}, nil
}

func encodeAddress(address netip.AddrPort) []byte {
	// MarshalBinary of an AddrPort cannot fail.
	data, _ := address.MarshalBinary()
	return data
}

func decodeAddress(data []byte) (netip.AddrPort, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(data); err != nil {
		return netip.AddrPort{}, ErrMessage.Wrap(err, "address")
	}
	if !address.IsValid() {
		return netip.AddrPort{}, ErrMessage.New("address is missing")
	}
	return address, nil
}

// encodeDelta splits a delta into messages of at most updateEntries entries.
func encodeDelta(now time.Time, delta Delta) []*peerpb.Update {
	var updates []*peerpb.Update
	for chunk := range slices.Chunk(delta.Listed, updateEntries) {
		update := &peerpb.Update{Announcements: make([]*peerpb.Announcement, len(chunk)), More: true}
		for i := range chunk {
			update.Announcements[i] = chunk[i].encode(now)
		}
		updates = append(updates, update)
	}
	for chunk := range slices.Chunk(delta.Gone, updateEntries) {
		updates = append(updates, &peerpb.Update{GoneVms: chunk, More: true})
	}
	if len(updates) == 0 && delta.Reset {
		updates = append(updates, &peerpb.Update{})
	}
	if len(updates) > 0 {
		updates[0].Whole = delta.Reset
		updates[len(updates)-1].More = false
	}
	return updates
}

func (r Relay) encode() *peerpb.Relay {
	return &peerpb.Relay{
		AvailabilityZone: r.Zone,
		Slot:             uint32(r.Slot),
		Vm:               r.VM,
		Address:          encodeAddress(r.Address),
		Revision:         uint64(r.Revision),
	}
}

// decodeRelay converts a message to a relay, or returns ErrMessage.
func decodeRelay(m *peerpb.Relay) (Relay, error) {
	r := Relay{
		Zone:     m.GetAvailabilityZone(),
		Slot:     int(m.GetSlot()),
		VM:       m.GetVm(),
		Revision: kv.Revision(m.GetRevision()),
	}
	if r.VM == "" {
		return r, nil
	}
	var err error
	r.Address, err = decodeAddress(m.GetAddress())
	return r, err
}
