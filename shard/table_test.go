package shard

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func exampleTable() Table {
	table := NewTable(2)
	table.Version = 7
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	table.Shards[1] = Entry{
		Owner: "vm1", Address: address, Incarnation: "i-1", Lease: 12, Epoch: 7, FromEpoch: 3, HandedOver: true,
		Taken:     time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC),
		Witnesses: []string{"vm1", "vm2", "vm3"}, Unreleased: [][]string{{"vm1", "vm2", "vm4"}},
	}
	table.Addresses = map[string]netip.AddrPort{"vm1": address}
	return table
}

func TestTableFormat(t *testing.T) {
	encoded, err := exampleTable().Encode()
	assert.NilError(t, err)
	var indented bytes.Buffer
	assert.NilError(t, json.Indent(&indented, encoded, "", "  "))
	golden.Assert(t, indented.String(), "table.json")

	decoded, err := DecodeTable(encoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Shards[1].Unreleased, exampleTable().Shards[1].Unreleased)
	assert.Equal(t, decoded.Shards[1].Address, exampleTable().Shards[1].Address)
}

// FuzzTable sends a machine arbitrary tables, as another VM might.
func FuzzTable(f *testing.F) {
	encoded, err := exampleTable().Encode()
	assert.NilError(f, err)
	f.Add(encoded, uint64(7))
	f.Add([]byte(`{"version":9,"shards":[{},{"owner":"vm0","unreleased":[[],["vm0"]]}]}`), uint64(9))
	f.Add([]byte(`{"version":18446744073709551615,"shards":[]}`), uint64(0))
	f.Fuzz(func(t *testing.T, value []byte, version uint64) {
		table, err := DecodeTable(value)
		if err != nil {
			return
		}
		m, err := NewMachine(Config{VM: "vm0", Zone: "z", Incarnation: "i", Shards: 2, Timing: DefaultTiming()}, 0)
		assert.NilError(t, err)
		m.Handle(Tick{VMs: []string{"vm1"}}, time.Second)
		m.Handle(RequestReceived{From: "vm1", Request: Request{Version: version, Table: &table, Extend: true, Term: time.Second}}, time.Second)
		m.Handle(AnswerReceived{From: "vm2", Answer: Answer{Version: version, Table: &table}}, 2*time.Second)
		m.Handle(Tick{VMs: []string{"vm1"}}, 10*time.Second)
		for i := range 2 {
			_, _, live := m.LiveOwnership(i)
			assert.Assert(t, !live, "a table from another VM alone must not make this VM an owner")
		}
	})
}
