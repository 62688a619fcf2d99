package strictjson

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one fault of a source.
type Fault struct {
	// Line is 0 if there is no source text.
	Line int `json:"line,omitempty"`
	// Field is the path of the field, such as workspaces[2].rate.
	Field string `json:"field"`
	// Allowed says what is wrong and what is allowed.
	Allowed string `json:"allowed"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.Field + ": " + f.Allowed
	}
	return fmt.Sprintf("%d: %s: %s", f.Line, f.Field, f.Allowed)
}

// FaultsError holds every fault of a source.
type FaultsError struct {
	// File is printed in each line unless it is empty.
	File   string
	Faults []Fault
}

// Error implements error; it returns one line per fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
		if e.File != "" {
			lines[i] = e.File + ":" + lines[i]
		}
	}
	return strings.Join(lines, "\n")
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Compare(a.Line, b.Line)
	})
}
