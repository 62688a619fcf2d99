package bundle

import (
	"crypto/sha256"
	"encoding/base64"
	"maps"
	"slices"
)

// keyTable maps the hashes of callers' keys to workspaces.
type keyTable struct {
	entries map[[sha256.Size]byte]keyEntry
	// count is the number of keys in the bundle. If the bundle has duplicate keys, it is
	// above the number of entries.
	count int
}

type keyEntry struct {
	// workspace is the position in the bundle's list of workspaces.
	workspace int32
	withdrawn bool
}

func newKeyTable(workspaces []Workspace) keyTable {
	table := keyTable{entries: make(map[[sha256.Size]byte]keyEntry)}
	for i := range workspaces {
		table.add(i, workspaces[i].Keys)
	}
	return table
}

// next returns the table of a later version whose workspaces have the same names in the
// same order. Their keys may differ.
func (t keyTable) next(before, after []Workspace) keyTable {
	if sameSlice(before, after) {
		return t
	}
	next, cloned := t, false
	for i := range after {
		if sameSlice(before[i].Keys, after[i].Keys) || slices.Equal(before[i].Keys, after[i].Keys) {
			continue
		}
		if !cloned {
			next.entries, cloned = maps.Clone(t.entries), true
		}
		next.remove(before[i].Keys)
		next.add(i, after[i].Keys)
	}
	if next.count != len(next.entries) { // duplicate keys: only a rebuild assigns them correctly
		return newKeyTable(after)
	}
	return next
}

func (t *keyTable) add(workspace int, keys []Key) {
	for _, key := range keys {
		if hash, ok := decodeHash(key); ok {
			t.entries[hash] = keyEntry{workspace: int32(workspace), withdrawn: key.Withdrawn}
			t.count++
		}
	}
}

func (t *keyTable) remove(keys []Key) {
	for _, key := range keys {
		if hash, ok := decodeHash(key); ok {
			delete(t.entries, hash)
			t.count--
		}
	}
}

// decodeHash returns a key's hash, or false if it is not a valid hash.
func decodeHash(key Key) ([sha256.Size]byte, bool) {
	decoded, err := base64.StdEncoding.DecodeString(key.Hash)
	if err != nil || len(decoded) != sha256.Size {
		return [sha256.Size]byte{}, false
	}
	return [sha256.Size]byte(decoded), true
}
