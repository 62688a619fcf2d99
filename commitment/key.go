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
	// ErrBadKey means that an Idempotency-Key is no UUIDv7.
	ErrBadKey = errs.NewType("badKey")
)

// keyVersion is the UUID version that carries a time.
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

// KeyFromBytes reads a key of a peer's message, or returns ErrBadKey.
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

// Minted returns when the key was made, by its maker's clock.
func (k Key) Minted() time.Time {
	var padded [8]byte
	copy(padded[2:], k[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(padded[:])))
}

// String returns the key as in the header.
func (k Key) String() string {
	return uuid.UUID(k).String()
}

// Home is a shard of an availability zone.
type Home struct {
	Zone  string
	Shard int
}

// Layout is the shards of all availability zones, by which keys find their
// homes. It is the same at all nodes that have the same bundle.
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
	layout.hash = layout.sum()
	return layout
}

func (l Layout) sum() uint64 {
	digest := xxhash.New()
	for _, zone := range l.zones {
		data := binary.BigEndian.AppendUint32([]byte(zone.Name), uint32(zone.Shards))
		// Write of a digest never fails.
		_, _ = digest.Write(append(data, 0))
	}
	return digest.Sum64()
}

// Hash tells layouts apart.
func (l Layout) Hash() uint64 {
	return l.hash
}

// Home returns the home of a key; false where there is no shard at all. A new
// zone or shard moves as few keys as can be.
func (l Layout) Home(key Key) (Home, bool) {
	hash := xxhash.Sum64(key[:])
	best, bestScore := -1, uint64(0)
	for i := range l.zones {
		score := zoneScore(hash, l.zones[i].Name)
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Home{}, false
	}
	return Home{Zone: l.zones[best].Name, Shard: share.Jump(hash, l.zones[best].Shards)}, true
}

// zoneScore is the rendezvous hash of a key's hash and a zone.
func zoneScore(hash uint64, zone string) uint64 {
	var buffer [64]byte
	data := binary.BigEndian.AppendUint64(buffer[:0], hash)
	return xxhash.Sum64(append(data, zone...))
}

// mintTries bounds the search for a key that is homed in a zone.
const mintTries = 1000

// Mint returns a fresh key that is homed in an availability zone, so that it
// can be used while that zone is cut off. It fails where the zone has no shard
// or the system's random source fails.
func Mint(layout Layout, zone string) (Key, error) {
	for range mintTries {
		id, err := uuid.NewV7()
		if err != nil {
			return Key{}, ErrBadKey.Wrap(err, "minting an idempotency key")
		}
		if home, ok := layout.Home(Key(id)); ok && home.Zone == zone {
			return Key(id), nil
		}
	}
	return Key{}, ErrBadKey.New("no idempotency key is homed in %s", zone)
}
