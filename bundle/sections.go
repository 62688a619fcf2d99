package bundle

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// Hash is the SHA-256 of a bundle's sections or of one section.
type Hash [sha256.Size]byte

// String returns the hash in base64.
func (h Hash) String() string {
	return base64.StdEncoding.EncodeToString(h[:])
}

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(h.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	decoded, err := base64.StdEncoding.DecodeString(string(text))
	if err != nil {
		return err
	}
	if len(decoded) != len(h) {
		return ErrCorrupt.New("a hash has %d bytes, not %d", len(h), len(decoded))
	}
	copy(h[:], decoded)
	return nil
}

// The names of sections: one site section, and one for each workspace,
// service and route under its prefix.
const (
	sectionSite       = "site"
	sectionWorkspaces = "workspace/"
	sectionServices   = "service/"
	sectionRoutes     = "route/"
)

// rootLabel keeps hashes of bundles apart from hashes of anything else.
const rootLabel = "auburngap bundle sections 1\n"

type section struct {
	content []byte
	hash    Hash
}

// Sections is a bundle cut into parts that change one by one. A Sections is
// never changed once made. Contents are kept as they were signed, so that a
// node that knows fewer fields comes to the same hashes.
type Sections struct {
	parts map[string]section
	names []string // of all parts, sorted
	root  Hash
}

// siteSection is what belongs to no workspace, service or route.
type siteSection struct {
	SignOffs  int        `json:"signOffs"`
	Operators []Operator `json:"operators"`
	Zones     []Zone     `json:"zones"`
	Policy    Policy     `json:"policy"`
}

// Split cuts a bundle into sections; its version is in none of them.
func Split(b *Bundle) (Sections, error) {
	s := Sections{parts: make(map[string]section)}
	site := siteSection{SignOffs: b.SignOffs, Operators: b.Operators, Zones: b.Zones, Policy: b.Policy}
	if err := s.add(sectionSite, site); err != nil {
		return Sections{}, err
	}
	for _, w := range b.Workspaces {
		if err := s.add(sectionWorkspaces+w.Name, w); err != nil {
			return Sections{}, err
		}
	}
	for _, service := range b.Services {
		if err := s.add(sectionServices+service.Name, service); err != nil {
			return Sections{}, err
		}
	}
	for _, route := range b.Routes {
		if err := s.add(sectionRoutes+route.Name, route); err != nil {
			return Sections{}, err
		}
	}
	return s.sealed(), nil
}

func (s Sections) add(name string, content any) error {
	encoded, err := json.Marshal(content)
	if err != nil {
		return ErrCorrupt.Wrap(err, "section %s", name)
	}
	s.set(name, encoded)
	return nil
}

func (s Sections) set(name string, content []byte) {
	s.parts[name] = section{content: content, hash: sha256.Sum256(content)}
}

// Root is the hash of all sections: what operators sign.
func (s Sections) Root() Hash {
	return s.root
}

// sealed returns the sections with their names in order.
func (s Sections) sealed() Sections {
	s.names = slices.Sorted(maps.Keys(s.parts))
	return s.hashed()
}

// hashed returns the sections with their root. Names go in with their length,
// so that no two sets of sections have the same text.
func (s Sections) hashed() Sections {
	digest := sha256.New()
	digest.Write([]byte(rootLabel))
	var line []byte
	for _, name := range s.names {
		hash := s.parts[name].hash
		line = binary.BigEndian.AppendUint32(line[:0], uint32(len(name)))
		line = append(line, name...)
		line = append(line, hash[:]...)
		digest.Write(line)
	}
	digest.Sum(s.root[:0])
	return s
}

// Join makes the bundle of the sections; its lists are ordered by name. It
// returns ErrCorrupt where a section cannot be read.
func (s Sections) Join(version uint64) (*Bundle, error) {
	b := &Bundle{Version: version}
	for _, name := range s.names {
		if err := b.take(name, s.parts[name].content); err != nil {
			return nil, errorx.Decorate(err, "section %s", name)
		}
	}
	return b, nil
}

func (b *Bundle) take(name string, content []byte) error {
	switch {
	case name == sectionSite:
		site, err := decode[siteSection](content)
		b.SignOffs, b.Operators, b.Zones, b.Policy = site.SignOffs, site.Operators, site.Zones, site.Policy
		return err
	case strings.HasPrefix(name, sectionWorkspaces):
		return appendDecoded(&b.Workspaces, content)
	case strings.HasPrefix(name, sectionServices):
		return appendDecoded(&b.Services, content)
	case strings.HasPrefix(name, sectionRoutes):
		return appendDecoded(&b.Routes, content)
	default:
		return nil // of a later release
	}
}

func appendDecoded[T any](list *[]T, content []byte) error {
	item, err := decode[T](content)
	if err != nil {
		return err
	}
	*list = append(*list, item)
	return nil
}

func decode[T any](content []byte) (T, error) {
	var item T
	if err := json.Unmarshal(content, &item); err != nil {
		return item, ErrCorrupt.Wrap(err, "cannot be read")
	}
	return item, nil
}
