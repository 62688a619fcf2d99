package bundle

import (
	"bytes"
	"encoding/json"
	"iter"
	"slices"
	"strings"
)

// Delta is the difference between the sections of two versions.
type Delta struct {
	// From is the root hash of the sections to which the delta applies. It is the zero
	// hash if the delta holds every section.
	From Hash `json:"from"`
	// To is the root hash of the result.
	To      Hash                       `json:"to"`
	Changed map[string]json.RawMessage `json:"changed,omitempty"`
	Removed []string                   `json:"removed,omitempty"`
}

// IsFull reports whether the delta is a full one: it holds every section and needs no base
// version.
func (d Delta) IsFull() bool {
	return d.From == Hash{}
}

// Sections returns the names of the sections that the delta changes or removes.
func (d Delta) Sections() []string {
	return slices.Sorted(slices.Values(slices.Concat(sortedKeys(d.Changed), d.Removed)))
}

// NewDelta returns the delta that leads from one version's sections to another's. From an
// empty Sections it returns a full delta.
func NewDelta(from, to Sections) Delta {
	delta := Delta{From: from.root, To: to.root, Changed: make(map[string]json.RawMessage)}
	for before, after := range differingSections(from.parts, to.parts) {
		if after == nil {
			delta.Removed = append(delta.Removed, before.name)
			continue
		}
		delta.Changed[after.name] = after.content
	}
	return delta
}

// differingSections yields the sections that differ, ordered by name; nil stands for a
// section that exists on the other side only.
func differingSections(from, to []section) iter.Seq2[*section, *section] {
	return func(yield func(before, after *section) bool) {
		for len(from) > 0 || len(to) > 0 {
			before, after := nextPair(from, to)
			if before != nil {
				from = from[1:]
			}
			if after != nil {
				to = to[1:]
			}
			same := before != nil && after != nil && before.hash == after.hash
			if !same && !yield(before, after) {
				return
			}
		}
	}
}

// nextPair returns the section with the lowest name at the start of two sorted lists, from
// each list that has it. One of the lists may be empty.
func nextPair(from, to []section) (before, after *section) {
	switch {
	case len(from) == 0:
		return nil, &to[0]
	case len(to) == 0:
		return &from[0], nil
	}
	switch strings.Compare(from[0].name, to[0].name) {
	case -1:
		return &from[0], nil
	case 1:
		return nil, &to[0]
	default:
		return &from[0], &to[0]
	}
}

// Apply returns the changed sections; s is not modified. It returns ErrBaseMismatch if the
// delta applies to other sections, and ErrCorrupt if the result does not have the delta's
// hash.
func (s Sections) Apply(delta Delta) (Sections, error) {
	base := s.parts
	if delta.IsFull() {
		base = nil
	} else if s.root != delta.From {
		return Sections{}, ErrBaseMismatch.New("the delta applies to sections with the hash %s, not to these", delta.From)
	}
	changed := newSections(merge(base, delta))
	if changed.root != delta.To {
		return Sections{}, ErrCorrupt.New("the delta does not result in sections with the hash %s", delta.To)
	}
	return changed, nil
}

// merge returns the base sections with a delta's changes applied, ordered by name.
func merge(base []section, delta Delta) []section {
	replaced := make(map[string]bool, len(delta.Removed)+len(delta.Changed))
	for _, name := range delta.Removed {
		replaced[name] = true
	}
	var changed []section
	for _, name := range sortedKeys(delta.Changed) {
		replaced[name] = true
		changed = append(changed, newSection(name, compactJSON(delta.Changed[name])))
	}
	merged := make([]section, 0, len(base)+len(changed))
	for _, part := range base {
		for len(changed) > 0 && changed[0].name < part.name {
			merged = append(merged, changed[0])
			changed = changed[1:]
		}
		if !replaced[part.name] {
			merged = append(merged, part)
		}
	}
	return append(merged, changed...)
}

// compactJSON removes white space that may have been added to JSON in transit.
func compactJSON(content []byte) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, content); err != nil {
		return content
	}
	return out.Bytes()
}
