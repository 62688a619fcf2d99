package shard

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"auburngap/kv"
)

var (
	errs = errorx.NewNamespace("shard")
	// ErrInvalid is the type of errors for malformed tables, lease records and messages.
	ErrInvalid = errs.NewType("invalid")
	// ErrStopped is the type of errors that are returned once the keeper has stopped.
	ErrStopped = errs.NewType("stopped")
)

// Table is a zone's shard table at one version.
type Table struct {
	// Version increases by one with each change of an owner or of a set of witnesses.
	Version uint64  `json:"version"`
	Shards  []Entry `json:"shards"`
	// Addresses holds the addresses of the witnesses, for a VM that restarts
	// while the platform is unreachable.
	Addresses map[string]netip.AddrPort `json:"addresses,omitempty"`
}

// Entry describes one shard in a table.
type Entry struct {
	// Owner is the VM that owns the shard; empty if no VM has ever taken it.
	Owner   string         `json:"owner,omitempty"`
	Address netip.AddrPort `json:"address"`
	// Incarnation identifies the owner's process.
	Incarnation string `json:"incarnation,omitempty"`
	// Lease is the owner's lease at the platform. No other lease lets the owner act.
	Lease kv.LeaseID `json:"lease,omitempty"`
	// Epoch is the table version at which the owner took the shard.
	Epoch uint64 `json:"epoch"`
	// FromEpoch is the epoch of the previous ownership.
	FromEpoch uint64 `json:"fromEpoch,omitempty"`
	// HandedOver means that the process Incarnation has received the state of FromEpoch.
	HandedOver bool `json:"handedOver,omitempty"`
	// Taken is when the shard was taken, by the writer's clock. It is only for display.
	Taken time.Time `json:"taken"`
	// Witnesses may confirm the owner while the platform is unreachable.
	Witnesses []string `json:"witnesses,omitempty"`
	// Unreleased lists the witness sets of earlier versions. The owner may act
	// only after a majority of each set has released.
	Unreleased [][]string `json:"unreleased,omitempty"`
}

// Candidate is a VM of the zone that holds a lease.
type Candidate struct {
	VM          string         `json:"vm"`
	Address     netip.AddrPort `json:"address"`
	Incarnation string         `json:"incarnation"`
	Lease       kv.LeaseID     `json:"lease"`
	// Revision is the revision of the lease's key.
	Revision kv.Revision `json:"-"`
}

// NewTable returns the empty table that is valid before the first write.
func NewTable(shards int) Table {
	return Table{Shards: make([]Entry, shards)}
}

// Clone returns a deep copy.
func (t Table) Clone() Table {
	copied := Table{Version: t.Version, Shards: slices.Clone(t.Shards), Addresses: maps.Clone(t.Addresses)}
	for i := range copied.Shards {
		e := &copied.Shards[i]
		e.Witnesses = slices.Clone(e.Witnesses)
		e.Unreleased = slices.Clone(e.Unreleased)
	}
	return copied
}

// Encode returns the table in the form that the platform stores.
func (t Table) Encode() ([]byte, error) {
	return json.Marshal(t)
}

// DecodeTable parses a table. Its errors are of type ErrInvalid.
func DecodeTable(value []byte) (Table, error) {
	t := Table{}
	if err := json.Unmarshal(value, &t); err != nil {
		return Table{}, ErrInvalid.Wrap(err, "cannot parse the shard table")
	}
	return t, nil
}

// Prefix returns the prefix of all keys of a zone.
func Prefix(zone string) string { return "zones/" + zone + "/" }

// TableKey returns the key of a zone's shard table.
func TableKey(zone string) string { return Prefix(zone) + "shards" }

// LeasePrefix returns the prefix of the keys of a zone's leases.
func LeasePrefix(zone string) string { return Prefix(zone) + "leases/" }

// LeaseKey returns the key that exists as long as the VM's lease.
func LeaseKey(zone, vm string) string { return LeasePrefix(zone) + vm }

// addWitnessSet appends a set of witnesses unless the list already contains it.
func addWitnessSet(sets [][]string, set []string) [][]string {
	for _, have := range sets {
		if slices.Equal(have, set) {
			return sets
		}
	}
	return append(slices.Clone(sets), slices.Clone(set))
}

// hasMajority reports whether more than half of the VMs of a set are in have.
func hasMajority(set []string, have map[string]bool) bool {
	n := 0
	for _, vm := range set {
		if have[vm] {
			n++
		}
	}
	return n > len(set)/2
}
