// Package strictjson decodes JSON with comments into structs and finds every fault:
// unknown and duplicate fields, null and values of the wrong type, each with its line.
//
// # Usage
//
//	reader, faults := strictjson.Read(source, &target)
//	if len(faults) > 0 {
//		return &strictjson.FaultsError{File: path, Faults: faults}
//	}
//	faults = reader.Locate(target.check()) // faults in the values
package strictjson

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Read decodes JSON with comments into target, a pointer to a struct. It returns
// every fault, ordered by line.
func Read(source []byte, target any) (*Reader, []Fault) {
	tree, err := hujson.Parse(source)
	if err != nil {
		return nil, []Fault{{Line: 1, Field: "file", Allowed: "JSON with comments is needed: " + err.Error()}}
	}
	reader := newReader(source)
	reader.walk(&tree, target)
	if len(reader.faults) > 0 {
		sortFaults(reader.faults)
		reader.decodeRest(&tree, target)
		return reader, reader.faults
	}
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), target); err != nil {
		return reader, []Fault{{Line: 1, Field: "file", Allowed: err.Error()}}
	}
	return reader, nil
}

// decodeRest decodes the top-level fields without faults, so that their values
// can be checked too.
func (r *Reader) decodeRest(tree *hujson.Value, target any) {
	object, ok := tree.Value.(*hujson.Object)
	if !ok {
		return
	}
	object.Members = slices.DeleteFunc(object.Members, func(member hujson.ObjectMember) bool {
		return r.IsFaulty(member.Name.Value.(hujson.Literal).String())
	})
	tree.Standardize()
	// The remaining fields have no faults of form, so an error here adds nothing.
	_ = json.Unmarshal(tree.Pack(), target)
}

// IsFaulty reports whether a top-level field, or a field within it, has a fault of
// form.
func (r *Reader) IsFaulty(name string) bool {
	return slices.ContainsFunc(r.faults, func(f Fault) bool { return topLevel(f.Field) == name })
}

func topLevel(path string) string {
	if end := strings.IndexAny(path, ".["); end >= 0 {
		return path[:end]
	}
	return path
}

// Locate sets the line of each fault without one to that of its field, and sorts the
// faults by line.
func (r *Reader) Locate(faults []Fault) []Fault {
	for i := range faults {
		if faults[i].Line == 0 {
			faults[i].Line = r.LineOf(faults[i].Field)
		}
	}
	sortFaults(faults)
	return faults
}
