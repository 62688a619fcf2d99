package commitment

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"auburngap/bundle"
	"auburngap/share"
)

var (
	errs = errorx.NewNamespace("commitment")
	// ErrBadKey means that an Idempotency-Key is not a UUIDv7.
	ErrBadKey = errs.NewType("badKey")
)

// keyVersion is the UUID version that contains a timestamp.
const keyVersion = 7

// Key is an idempotency key.
type Key uuid.UUID

// ParseKey reads the value of an Idempotency-Key header, or returns ErrBadKey.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, ErrBadKey.Wrap(err, "parsing an idempotency key")
	}
	return checkKey(id)
}

// KeyFromBytes reads a key from a peer's message, or returns ErrBadKey.
func KeyFromBytes(data []byte) (Key, error) {
	id, err := uuid.FromBytes(data)
	if err != nil {
		return Key{}, ErrBadKey.Wrap(err, "reading an idempotency key")
	}
	return checkKey(id)
}

func checkKey(id uuid.UUID) (Key, error) {
	if id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrBadKey.New("an idempotency key must be a UUIDv7")
	}
	return Key(id), nil
}

// CreatedAt returns when the key was created, by the clock of its creator.
func (k Key) CreatedAt() time.Time {
	var padded [8]byte
	copy(padded[2:], k[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(padded[:])))
}

// String returns the key as it is written in the header.
func (k Key) String() string {
	return uuid.UUID(k).String()
}

// ShardID identifies a shard of an availability zone.
type ShardID struct {
	Zone  string
	Shard int
}

// Layout lists the shards of all availability zones and determines the owner shard
// of each key. It is the same on all nodes that have the same bundle.
type Layout struct {
	zones []bundle.Zone
	hash  uint64
}

// NewLayout returns the layout of a bundle.
func NewLayout(index *bundle.Index) Layout {
	layout := Layout{}
	for _, zone := range index.Bundle.Zones {
		if zone.Shards > 0 {
			layout.zones = append(layout.zones, zone)
		}
	}
	slices.SortFunc(layout.zones, func(a, b bundle.Zone) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	layout.hash = layout.computeHash()
	return layout
}

func (l Layout) computeHash() uint64 {
	digest := xxhash.New()
	for _, zone := range l.zones {
		data := binary.BigEndian.AppendUint32([]byte(zone.Name), uint32(zone.Shards))
		// Writing to a digest never fails.
		_, _ = digest.Write(append(data, 0))
	}
	return digest.Sum64()
}

// Hash returns a hash that differs between layouts.
func (l Layout) Hash() uint64 {
	return l.hash
}

// ShardID returns the owner shard of a key, or false if there are no shards.
// Adding a zone or a shard moves as few keys as possible.
func (l Layout) ShardID(key Key) (ShardID, bool) {
	hash := xxhash.Sum64(key[:])
	best, bestScore := -1, uint64(0)
	for i := range l.zones {
		score := zoneScore(hash, l.zones[i].Name)
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return ShardID{}, false
	}
	return ShardID{Zone: l.zones[best].Name, Shard: share.JumpHash(hash, l.zones[best].Shards)}, true
}

// zoneScore returns the rendezvous hash of a key's hash and a zone.
func zoneScore(hash uint64, zone string) uint64 {
	var buffer [64]byte
	data := binary.BigEndian.AppendUint64(buffer[:0], hash)
	return xxhash.Sum64(append(data, zone...))
}

// newKeyAttempts bounds the search for a key whose owner shard is in a given zone.
const newKeyAttempts = 1000

// NewKey returns a new key whose owner shard is in the given availability zone, so
// that the key can be used while that zone is isolated. It fails if the zone has
// no shard or the system's random source fails.
func NewKey(layout Layout, zone string) (Key, error) {
	for range newKeyAttempts {
		id, err := uuid.NewV7()
		if err != nil {
			return Key{}, ErrBadKey.Wrap(err, "generating an idempotency key")
		}
		if shardID, ok := layout.ShardID(Key(id)); ok && shardID.Zone == zone {
			return Key(id), nil
		}
	}
	return Key{}, ErrBadKey.New("no idempotency key found whose owner shard is in zone %s", zone)
}
