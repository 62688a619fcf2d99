package bundle

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// Hash is the SHA-256 of one section or of all sections of a bundle.
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

// Names of sections: one site section, and one section for each workspace, service and
// route under its prefix.
const (
	sectionSite       = "site"
	sectionWorkspaces = "workspace/"
	sectionServices   = "service/"
	sectionRoutes     = "route/"
)

// rootLabel separates hashes of bundles from hashes of other data.
const rootLabel = "auburngap bundle sections 1\n"

// section is one part of a bundle. Its hash is that of its content.
type section struct {
	name    string
	content []byte
	hash    Hash
}

func newSection(name string, content []byte) section {
	return section{name: name, content: content, hash: sha256.Sum256(content)}
}

// Sections is a bundle divided into parts that can change independently. It is immutable.
// The contents are kept as they were signed, so that a node that knows fewer fields
// computes the same hashes.
type Sections struct {
	parts []section // ordered by name
	root  Hash
}

// siteSection holds the fields that belong to no workspace, service or route.
type siteSection struct {
	SignOffs  int        `json:"signOffs"`
	Operators []Operator `json:"operators"`
	Zones     []Zone     `json:"zones"`
	Policy    Policy     `json:"policy"`
}

// Split divides a bundle into sections. None of them contains the version number.
func Split(b *Bundle) (Sections, error) {
	var encoder sectionEncoder
	encoder.add(sectionSite, siteSection{SignOffs: b.SignOffs, Operators: b.Operators, Zones: b.Zones, Policy: b.Policy})
	for _, w := range b.Workspaces {
		encoder.add(sectionWorkspaces+w.Name, w)
	}
	for _, service := range b.Services {
		encoder.add(sectionServices+service.Name, service)
	}
	for _, route := range b.Routes {
		encoder.add(sectionRoutes+route.Name, route)
	}
	slices.SortFunc(encoder.parts, compareSections)
	return newSections(encoder.parts), encoder.err
}

// sectionEncoder encodes sections and keeps the first error.
type sectionEncoder struct {
	parts []section
	err   error
}

func (e *sectionEncoder) add(name string, content any) {
	encoded, err := json.Marshal(content)
	if err != nil && e.err == nil {
		e.err = ErrCorrupt.Wrap(err, "section %s", name)
	}
	e.parts = append(e.parts, newSection(name, encoded))
}

func compareSections(a, b section) int {
	return strings.Compare(a.name, b.name)
}

// Root returns the hash of all sections, which the operators sign.
func (s Sections) Root() Hash {
	return s.root
}

// newSections returns the Sections of ordered parts. Each name is hashed with its length,
// so that different sets of sections never produce the same hash input.
func newSections(parts []section) Sections {
	digest := sha256.New()
	digest.Write([]byte(rootLabel))
	var entry []byte
	for i := range parts {
		part := &parts[i]
		entry = binary.BigEndian.AppendUint32(entry[:0], uint32(len(part.name)))
		entry = append(entry, part.name...)
		entry = append(entry, part.hash[:]...)
		digest.Write(entry)
	}
	sections := Sections{parts: parts}
	digest.Sum(sections.root[:0])
	return sections
}

// find returns the section with a name, or an empty one if there is none.
func (s Sections) find(name string) section {
	position, found := slices.BinarySearchFunc(s.parts, section{name: name}, compareSections)
	if !found {
		return section{}
	}
	return s.parts[position]
}

// Join returns the bundle that consists of the sections, with its lists ordered by name.
// It returns ErrCorrupt if a section cannot be decoded.
func (s Sections) Join(version uint64) (*Bundle, error) {
	b := &Bundle{Version: version}
	for _, part := range s.parts {
		if err := b.addSection(part.name, part.content); err != nil {
			return nil, errorx.Decorate(err, "section %s", part.name)
		}
	}
	return b, nil
}

func (b *Bundle) addSection(name string, content []byte) error {
	switch {
	case name == sectionSite:
		site, err := decodeJSON[siteSection](content)
		b.SignOffs, b.Operators, b.Zones, b.Policy = site.SignOffs, site.Operators, site.Zones, site.Policy
		return err
	case strings.HasPrefix(name, sectionWorkspaces):
		return appendDecoded(&b.Workspaces, content)
	case strings.HasPrefix(name, sectionServices):
		return appendDecoded(&b.Services, content)
	case strings.HasPrefix(name, sectionRoutes):
		return appendDecoded(&b.Routes, content)
	default:
		return nil // a section of a later release
	}
}

func appendDecoded[T any](list *[]T, content []byte) error {
	item, err := decodeJSON[T](content)
	if err != nil {
		return err
	}
	*list = append(*list, item)
	return nil
}

func decodeJSON[T any](content []byte) (T, error) {
	var item T
	if err := json.Unmarshal(content, &item); err != nil {
		return item, ErrCorrupt.Wrap(err, "cannot be decoded")
	}
	return item, nil
}
