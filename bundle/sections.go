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

// section is one part; its hash is that of its content.
type section struct {
	name    string
	content []byte
	hash    Hash
}

func newSection(name string, content []byte) section {
	return section{name: name, content: content, hash: sha256.Sum256(content)}
}

// Sections is a bundle cut into parts that change one by one. A Sections is
// never changed once made. Contents are kept as they were signed, so that a
// node that knows fewer fields comes to the same hashes.
type Sections struct {
	parts []section // ordered by name
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
	var cut cutter
	cut.add(sectionSite, siteSection{SignOffs: b.SignOffs, Operators: b.Operators, Zones: b.Zones, Policy: b.Policy})
	for _, w := range b.Workspaces {
		cut.add(sectionWorkspaces+w.Name, w)
	}
	for _, service := range b.Services {
		cut.add(sectionServices+service.Name, service)
	}
	for _, route := range b.Routes {
		cut.add(sectionRoutes+route.Name, route)
	}
	slices.SortFunc(cut.parts, compareSections)
	return hashed(cut.parts), cut.err
}

// cutter encodes sections; it keeps the first error.
type cutter struct {
	parts []section
	err   error
}

func (c *cutter) add(name string, content any) {
	encoded, err := json.Marshal(content)
	if err != nil && c.err == nil {
		c.err = ErrCorrupt.Wrap(err, "section %s", name)
	}
	c.parts = append(c.parts, newSection(name, encoded))
}

func compareSections(a, b section) int {
	return strings.Compare(a.name, b.name)
}

// Root is the hash of all sections: what operators sign.
func (s Sections) Root() Hash {
	return s.root
}

// hashed makes sections of ordered parts. Names go into the root with their
// length, so that no two sets of sections have the same text.
func hashed(parts []section) Sections {
	digest := sha256.New()
	digest.Write([]byte(rootLabel))
	var line []byte
	for i := range parts {
		part := &parts[i]
		line = binary.BigEndian.AppendUint32(line[:0], uint32(len(part.name)))
		line = append(line, part.name...)
		line = append(line, part.hash[:]...)
		digest.Write(line)
	}
	sections := Sections{parts: parts}
	digest.Sum(sections.root[:0])
	return sections
}

// find returns a section by name; its content is nil where there is none.
func (s Sections) find(name string) section {
	at, found := slices.BinarySearchFunc(s.parts, section{name: name}, compareSections)
	if !found {
		return section{}
	}
	return s.parts[at]
}

// Join makes the bundle of the sections; its lists are ordered by name. It
// returns ErrCorrupt where a section cannot be read.
func (s Sections) Join(version uint64) (*Bundle, error) {
	b := &Bundle{Version: version}
	for _, part := range s.parts {
		if err := b.take(part.name, part.content); err != nil {
			return nil, errorx.Decorate(err, "section %s", part.name)
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
