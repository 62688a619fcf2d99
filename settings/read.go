package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	File string
	// Line is 0 where the fault belongs to no line.
	Line    int
	Field   string
	Allowed string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	where := f.File
	if f.Line > 0 {
		where = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	return fmt.Sprintf("%s: %s: %s", where, f.Field, f.Allowed)
}

// FaultsError is every fault of a file.
type FaultsError struct {
	Faults []Fault
}

// Error implements error; it gives one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Read reads and checks a settings file. Faults come as *FaultsError.
func Read(path string) (Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Node{}, err
	}
	return Parse(path, data)
}

// Parse reads and checks settings; path is only named in faults.
func Parse(path string, data []byte) (Node, error) {
	node := Default()
	fields, faults := splitFields(path, data)
	if len(faults) > 0 {
		return Node{}, &FaultsError{Faults: faults}
	}
	faults = decodeFields(path, fields, &node)
	faults = append(faults, node.check(path, fields)...)
	if len(faults) > 0 {
		return Node{}, &FaultsError{Faults: faults}
	}
	return node, nil
}

// field is one top-level member of the file.
type field struct {
	line  int
	value []byte
}

func splitFields(path string, data []byte) (map[string]field, []Fault) {
	tree, err := hujson.Parse(data)
	if err != nil {
		return nil, []Fault{{File: path, Field: "file", Allowed: "JSON with comments: " + err.Error()}}
	}
	object, ok := tree.Value.(*hujson.Object)
	if !ok {
		return nil, []Fault{{File: path, Line: 1, Field: "file", Allowed: "one JSON object"}}
	}
	fields := make(map[string]field, len(object.Members))
	var faults []Fault
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		line := 1 + bytes.Count(data[:member.Name.StartOffset], []byte("\n"))
		if _, twice := fields[name]; twice {
			faults = append(faults, Fault{path, line, name, "stands twice"})
		}
		value := member.Value.Clone()
		value.Standardize()
		fields[name] = field{line: line, value: bytes.TrimSpace(value.Pack())}
	}
	return fields, faults
}

// decodeFields decodes member by member, so that every fault is found.
func decodeFields(path string, fields map[string]field, node *Node) []Fault {
	var faults []Fault
	for name, f := range fields {
		single, err := json.Marshal(map[string]json.RawMessage{name: f.value})
		if err != nil {
			faults = append(faults, Fault{path, f.line, name, err.Error()})
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(single))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(node); err != nil {
			faults = append(faults, Fault{path, f.line, name, allowed(err)})
		}
	}
	sortFaults(faults)
	return faults
}

func allowed(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Sprintf("a value of type %s is needed, not %s", wrongType.Type, wrongType.Value)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}
