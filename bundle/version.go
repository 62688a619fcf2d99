package bundle

// Version is a verified bundle with what it was made from. It is never changed.
type Version struct {
	Record   Record
	Sections Sections
	Bundle   *Bundle
	// Trust is who must sign off the next version.
	Trust Trust
}

// Number returns the version's number; zero for none.
func (v *Version) Number() uint64 {
	if v == nil {
		return 0
	}
	return v.Record.Header.Version
}

// root returns the hash of the version's sections; the zero hash for none.
func (v *Version) root() Hash {
	if v == nil {
		return Hash{}
	}
	return v.Record.Header.Root
}

// rootVersion is what stands before the first version: the settings' trust.
func rootVersion(trust Trust) *Version {
	trust.Version = 0
	return &Version{Trust: trust}
}

// successor verifies a record of a higher version that is signed by the
// operators in v.Trust and returns the version it makes. A whole record need
// not follow v directly. It returns ErrForged, ErrBase or ErrCorrupt.
func (v *Version) successor(record Record) (*Version, error) {
	header := record.Header
	if err := v.Trust.Verify(header, record.SignOffs); err != nil {
		return nil, err
	}
	if record.Delta.To != header.Root {
		return nil, ErrCorrupt.New("the delta of version %d makes other sections than those signed", header.Version)
	}
	sections, err := v.Sections.Apply(record.Delta)
	if err != nil {
		return nil, err
	}
	b, err := v.patched(sections, header.Version)
	if err != nil {
		return nil, err
	}
	return v.withBundle(record, sections, b)
}

func (v *Version) withBundle(record Record, sections Sections, b *Bundle) (*Version, error) {
	next := &Version{Record: record, Sections: sections, Bundle: b, Trust: v.Trust}
	own := trustOf(b)
	if record.Header.TrustChanged != v.changesTrust(own) {
		return nil, ErrForged.New("version %d says wrongly whether its operators changed", record.Header.Version)
	}
	if record.Header.TrustChanged {
		next.Trust = own
	}
	return next, nil
}

// changesTrust tells whether a successor with these operators is a new trust;
// the first version always is.
func (v *Version) changesTrust(next Trust) bool {
	return v.Number() == 0 || !next.sameOperators(v.Trust)
}

// trustFor returns who must sign the proposed successor. The nodes' settings
// decide on the first version; the tools ask for its own operators.
func (v *Version) trustFor(next *Bundle) Trust {
	if v.Number() > 0 {
		return v.Trust
	}
	own := trustOf(next)
	own.Version = 0
	return own
}

// patched returns the bundle of other sections, decoding only what changed.
func (v *Version) patched(sections Sections, version uint64) (*Bundle, error) {
	if v.Bundle == nil {
		return sections.Join(version)
	}
	delta := DeltaOf(v.Sections, sections)
	next := newPatch(v.Bundle, version)
	for _, name := range delta.Removed {
		next.drop(name)
	}
	for name := range delta.Changed {
		if err := next.put(name, sections.find(name).content); err != nil {
			return nil, err
		}
	}
	return next.bundle, nil
}
