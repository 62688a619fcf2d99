package bundle

import (
	"encoding/json"

	"github.com/tailscale/hujson"
)

// Parse reads a bundle from JSON with comments and checks it. Faults, every
// one with its line, come as *FaultsError.
func Parse(source []byte) (*Bundle, error) {
	b := &Bundle{}
	reader, faults := readStrictly(source, b)
	if len(faults) > 0 {
		return nil, &FaultsError{Faults: faults}
	}
	faults = b.Check()
	if len(faults) > 0 {
		for i := range faults {
			faults[i].Line = reader.lineOf(faults[i].Field)
		}
		sortFaults(faults)
		return nil, &FaultsError{Faults: faults}
	}
	return b, nil
}

// readStrictly decodes JSON with comments into target, a pointer to a struct.
func readStrictly(source []byte, target any) (*strictReader, []Fault) {
	tree, err := hujson.Parse(source)
	if err != nil {
		return nil, []Fault{{Line: 1, Field: "file", Allowed: "JSON with comments is needed: " + err.Error()}}
	}
	reader := newStrictReader(source)
	reader.walk(&tree, target)
	if len(reader.faults) > 0 {
		sortFaults(reader.faults)
		return reader, reader.faults
	}
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), target); err != nil {
		return reader, []Fault{{Line: 1, Field: "file", Allowed: err.Error()}}
	}
	return reader, nil
}
