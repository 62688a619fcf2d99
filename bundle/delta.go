package bundle

import (
	"bytes"
	"encoding/json"
	"iter"
	"slices"
	"strings"
)

// Delta is what turns the sections of one version into those of another.
type Delta struct {
	// From is the root of the sections that it applies to; it is the zero
	// hash where the delta holds every section.
	From Hash `json:"from"`
	// To is the root of the result.
	To      Hash                       `json:"to"`
	Changed map[string]json.RawMessage `json:"changed,omitempty"`
	Removed []string                   `json:"removed,omitempty"`
}

// Whole tells whether the delta needs no version to apply to.
func (d Delta) Whole() bool {
	return d.From == Hash{}
}

// Sections returns the names of the sections that the delta holds or removes.
func (d Delta) Sections() []string {
	return slices.Sorted(slices.Values(slices.Concat(sortedKeys(d.Changed), d.Removed)))
}

// DeltaOf returns the changes between two versions' sections. From an empty
// Sections it returns a whole delta.
func DeltaOf(from, to Sections) Delta {
	delta := Delta{From: from.root, To: to.root, Changed: make(map[string]json.RawMessage)}
	for before, after := range differences(from.parts, to.parts) {
		if after == nil {
			delta.Removed = append(delta.Removed, before.name)
			continue
		}
		delta.Changed[after.name] = after.content
	}
	return delta
}

// differences yields the sections that are not the same, ordered by name; nil
// stands for a section that is missing on one side.
func differences(from, to []section) iter.Seq2[*section, *section] {
	return func(yield func(before, after *section) bool) {
		for len(from) > 0 || len(to) > 0 {
			before, after := firstOf(from, to)
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

// firstOf returns the section of the lowest name at the heads of two lists, of
// which one may be empty.
func firstOf(from, to []section) (before, after *section) {
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

// Apply returns the changed sections; s stays as it is. It returns ErrBase
// where the delta is for other sections, and ErrCorrupt where the result has
// not the hash that the delta promises.
func (s Sections) Apply(delta Delta) (Sections, error) {
	base := s.parts
	if delta.Whole() {
		base = nil
	} else if s.root != delta.From {
		return Sections{}, ErrBase.New("the delta is for sections %s", delta.From)
	}
	changed := hashed(merge(base, delta))
	if changed.root != delta.To {
		return Sections{}, ErrCorrupt.New("the sections have not the hash %s", delta.To)
	}
	return changed, nil
}

// merge returns the ordered parts with a delta's changes among them.
func merge(base []section, delta Delta) []section {
	gone := make(map[string]bool, len(delta.Removed)+len(delta.Changed))
	for _, name := range delta.Removed {
		gone[name] = true
	}
	var changed []section
	for _, name := range sortedKeys(delta.Changed) {
		gone[name] = true
		changed = append(changed, newSection(name, compact(delta.Changed[name])))
	}
	merged := make([]section, 0, len(base)+len(changed))
	for _, part := range base {
		for len(changed) > 0 && changed[0].name < part.name {
			merged = append(merged, changed[0])
			changed = changed[1:]
		}
		if !gone[part.name] {
			merged = append(merged, part)
		}
	}
	return append(merged, changed...)
}

// compact undoes the white space that JSON may gain on its way.
func compact(content []byte) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, content); err != nil {
		return content
	}
	return out.Bytes()
}
