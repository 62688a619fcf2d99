package bundle

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Kinds of changes.
const (
	ChangeAdded   = "added"
	ChangeRemoved = "removed"
	ChangeChanged = "changed"
)

// Change is the difference of one section between two bundles.
type Change struct {
	// Section is the section's name, such as "workspace/desk".
	Section string        `json:"section"`
	Kind    string        `json:"kind"`
	Fields  []FieldChange `json:"fields,omitempty"`
}

// FieldChange is the difference of one field. The values are JSON; an empty one means that
// the field is missing on that side.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// Diff returns the changes from one bundle's sections to another's, ordered by section.
func Diff(from, to Sections) []Change {
	var changes []Change
	for before, after := range differingSections(from.parts, to.parts) {
		changes = append(changes, newChange(before, after))
	}
	return changes
}

func newChange(before, after *section) Change {
	switch {
	case before == nil:
		return Change{Section: after.name, Kind: ChangeAdded, Fields: fieldChanges(nil, flatten(after.content))}
	case after == nil:
		return Change{Section: before.name, Kind: ChangeRemoved, Fields: fieldChanges(flatten(before.content), nil)}
	default:
		fields := fieldChanges(flatten(before.content), flatten(after.content))
		return Change{Section: after.name, Kind: ChangeChanged, Fields: fields}
	}
}

func fieldChanges(from, to map[string]string) []FieldChange {
	fields := slices.Concat(sortedKeys(from), sortedKeys(to))
	slices.Sort(fields)
	var changes []FieldChange
	for _, field := range slices.Compact(fields) {
		if from[field] != to[field] {
			changes = append(changes, FieldChange{Field: field, From: from[field], To: to[field]})
		}
	}
	return changes
}

// flatten returns the JSON values of all leaf fields by path. Items of lists are
// identified by name or ID if they have one, and by position otherwise.
func flatten(content []byte) map[string]string {
	flat := make(map[string]string)
	var tree any
	if err := json.Unmarshal(content, &tree); err == nil {
		flattenInto(flat, "", tree)
	}
	return flat
}

func flattenInto(flat map[string]string, path string, tree any) {
	switch node := tree.(type) {
	case map[string]any:
		for name, inner := range node {
			flattenInto(flat, strings.TrimPrefix(path+"."+name, "."), inner)
		}
	case []any:
		for i, inner := range node {
			flattenInto(flat, fmt.Sprintf("%s[%s]", path, itemLabel(inner, i)), inner)
		}
	default:
		encoded, err := json.Marshal(node)
		if err != nil {
			encoded = []byte("?")
		}
		flat[path] = string(encoded)
	}
}

func itemLabel(item any, index int) string {
	if object, ok := item.(map[string]any); ok {
		for _, field := range []string{"name", "id"} {
			if name, ok := object[field].(string); ok {
				return name
			}
		}
	}
	return fmt.Sprint(index)
}

// String returns the change as lines of text.
func (c Change) String() string {
	marks := map[string]string{ChangeAdded: "+", ChangeRemoved: "-", ChangeChanged: "~"}
	lines := []string{marks[c.Kind] + " " + c.Section}
	for _, field := range c.Fields {
		lines = append(lines, "    "+field.String())
	}
	return strings.Join(lines, "\n")
}

// String returns the change as one line of text.
func (f FieldChange) String() string {
	switch {
	case f.From == "":
		return f.Field + ": " + f.To
	case f.To == "":
		return f.Field + ": was " + f.From
	default:
		return f.Field + ": " + f.From + " > " + f.To
	}
}
