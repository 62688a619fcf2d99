package bundle

import (
	"crypto/sha256"
	"encoding/base64"
	"maps"
	"slices"
)

// keyTable holds the workspaces of callers' keys.
type keyTable struct {
	entries map[[sha256.Size]byte]keyEntry
	// count is the number of keys in the bundle; where one stands twice it is
	// above that of the entries.
	count int
}

type keyEntry struct {
	// workspace is the position in the bundle's list.
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

// next returns the table of workspaces that stand where they stood, of which
// some may have other keys.
func (t keyTable) next(before, after []Workspace) keyTable {
	if sameList(before, after) {
		return t
	}
	next, own := t, false
	for i := range after {
		if sameList(before[i].Keys, after[i].Keys) || slices.Equal(before[i].Keys, after[i].Keys) {
			continue
		}
		if !own {
			next.entries, own = maps.Clone(t.entries), true
		}
		next.remove(before[i].Keys)
		next.add(i, after[i].Keys)
	}
	if next.count != len(next.entries) { // who has a key twice is not known here
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

// decodeHash returns a key's hash; false where it is none.
func decodeHash(key Key) ([sha256.Size]byte, bool) {
	decoded, err := base64.StdEncoding.DecodeString(key.Hash)
	if err != nil || len(decoded) != sha256.Size {
		return [sha256.Size]byte{}, false
	}
	return [sha256.Size]byte(decoded), true
}
