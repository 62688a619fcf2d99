package bundle

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
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
	delta := Delta{To: to.Root(), Changed: make(map[string]json.RawMessage)}
	if len(from.parts) > 0 {
		delta.From = from.Root()
	}
	for name, part := range to.parts {
		if from.parts[name].hash != part.hash {
			delta.Changed[name] = part.content
		}
	}
	for _, name := range from.names {
		if _, kept := to.parts[name]; !kept {
			delta.Removed = append(delta.Removed, name)
		}
	}
	return delta
}

// Apply returns the changed sections; s stays as it is. It returns ErrBase
// where the delta is for other sections, and ErrCorrupt where the result has
// not the hash that the delta promises.
func (s Sections) Apply(delta Delta) (Sections, error) {
	if !delta.Whole() && s.root != delta.From {
		return Sections{}, ErrBase.New("the delta is for sections %s", delta.From)
	}
	changed := Sections{parts: make(map[string]section, len(s.parts)+len(delta.Changed))}
	if !delta.Whole() {
		maps.Copy(changed.parts, s.parts)
	}
	for _, name := range delta.Removed {
		delete(changed.parts, name)
	}
	for name, content := range delta.Changed {
		changed.set(name, compact(content))
	}
	changed = changed.resealed(s)
	if changed.Root() != delta.To {
		return Sections{}, ErrCorrupt.New("the sections have not the hash %s", delta.To)
	}
	return changed, nil
}

// resealed is sealed for sections made from others, whose names it uses
// where they are the same.
func (s Sections) resealed(from Sections) Sections {
	if len(s.parts) != len(from.names) {
		return s.sealed()
	}
	for _, name := range from.names {
		if _, kept := s.parts[name]; !kept {
			return s.sealed()
		}
	}
	s.names = from.names
	return s.hashed()
}

// compact undoes the white space that JSON may gain on its way.
func compact(content []byte) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, content); err != nil {
		return content
	}
	return out.Bytes()
}
