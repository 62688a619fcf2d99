package bundle

// Version is a bundle version with the record and sections it was decoded from. It is
// immutable.
type Version struct {
	Record   Record
	Sections Sections
	Bundle   *Bundle
	// Trust states who must sign the next version.
	Trust Trust
}

// Number returns the version's number, or zero for a nil version.
func (v *Version) Number() uint64 {
	if v == nil {
		return 0
	}
	return v.Record.Header.Version
}

// rootHash returns the hash of the version's sections, or the zero hash for a nil version.
func (v *Version) rootHash() Hash {
	if v == nil {
		return Hash{}
	}
	return v.Record.Header.Root
}

// initialVersion is the base of the first version: it has no bundle and the root trust.
func initialVersion(trust Trust) *Version {
	trust.Version = 0
	return &Version{Trust: trust}
}

// successor verifies a record of a higher version, which the operators in v.Trust must
// have signed, and returns its version. A full record need not directly follow v. It
// returns ErrForged, ErrBaseMismatch or ErrCorrupt.
func (v *Version) successor(record Record) (*Version, error) {
	header := record.Header
	if err := v.Trust.Verify(header, record.SignOffs); err != nil {
		return nil, err
	}
	if record.Delta.To != header.Root {
		return nil, ErrCorrupt.New("the delta of version %d does not match the signed hash", header.Version)
	}
	sections, err := v.Sections.Apply(record.Delta)
	if err != nil {
		return nil, err
	}
	b, err := v.patchedBundle(sections, header.Version)
	if err != nil {
		return nil, err
	}
	return v.newSuccessor(record, sections, b)
}

func (v *Version) newSuccessor(record Record, sections Sections, b *Bundle) (*Version, error) {
	next := &Version{Record: record, Sections: sections, Bundle: b, Trust: v.Trust}
	trust := trustFrom(b)
	if record.Header.TrustChanged != v.changesTrust(trust) {
		return nil, ErrForged.New("the header of version %d wrongly states whether its operators changed", record.Header.Version)
	}
	if record.Header.TrustChanged {
		next.Trust = trust
	}
	return next, nil
}

// changesTrust reports whether a next version with this trust changes who must sign. The
// first version always does.
func (v *Version) changesTrust(next Trust) bool {
	return v.Number() == 0 || !next.sameOperators(v.Trust)
}

// requiredTrust returns who must sign the proposed next version. For the first version,
// the nodes verify it against the operators in their settings; here, in the operators'
// tools, its own operators must sign.
func (v *Version) requiredTrust(next *Bundle) Trust {
	if v.Number() > 0 {
		return v.Trust
	}
	trust := trustFrom(next)
	trust.Version = 0
	return trust
}

// patchedBundle returns the bundle of the given sections. It decodes only those that
// differ from v's.
func (v *Version) patchedBundle(sections Sections, version uint64) (*Bundle, error) {
	if v.Bundle == nil {
		return sections.Join(version)
	}
	delta := NewDelta(v.Sections, sections)
	next := newPatch(v.Bundle, version)
	for _, name := range delta.Removed {
		next.remove(name)
	}
	for name := range delta.Changed {
		if err := next.set(name, sections.find(name).content); err != nil {
			return nil, err
		}
	}
	return next.bundle, nil
}
