// Package charts holds the state charts of the project as data and interprets them.
//
// # Usage
//
//	file, err := charts.Load("shard.json")
//	chart := file.Chart("shard")
//	transition, ok := chart.Next("unreleased", "released", guard)
//
// A transition names its guards and actions. The package that uses the chart maps
// each name to a function, so that the order of states is defined by the chart alone.
package charts

import (
	"embed"
	"encoding/json"
	"slices"

	"github.com/joomcode/errorx"
)

//go:embed *.json
var files embed.FS

var (
	errs = errorx.NewNamespace("charts")
	// ErrInvalid is the type of errors for missing or malformed chart files.
	ErrInvalid = errs.NewType("invalid")
)

// File is the content of one file of charts.
type File struct {
	Charts []Chart `json:"charts"`
}

// Chart is one state machine.
type Chart struct {
	Name        string       `json:"name"`
	States      []string     `json:"states"`
	Initial     string       `json:"initial"`
	Transitions []Transition `json:"transitions"`
}

// Transition leads from one of several states to another when an event occurs and
// its guards hold.
type Transition struct {
	From    []string `json:"from"`
	Event   string   `json:"event"`
	Guards  []string `json:"guards,omitempty"`
	To      string   `json:"to"`
	Actions []string `json:"actions,omitempty"`
	// Step is the name of the transition in the specification.
	Step string `json:"step,omitempty"`
	// Note explains why the transition has no step in the specification.
	Note string `json:"note,omitempty"`
}

// Load returns the charts of an embedded file. Its errors are of type ErrInvalid.
func Load(name string) (*File, error) {
	source, err := files.ReadFile(name)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "cannot read chart file %s", name)
	}
	file := &File{}
	if err := json.Unmarshal(source, file); err != nil {
		return nil, ErrInvalid.Wrap(err, "cannot parse chart file %s", name)
	}
	for i := range file.Charts {
		if err := file.Charts[i].validate(); err != nil {
			return nil, err
		}
	}
	return file, nil
}

// Chart returns the chart with a name, or nil.
func (f *File) Chart(name string) *Chart {
	for i := range f.Charts {
		if f.Charts[i].Name == name {
			return &f.Charts[i]
		}
	}
	return nil
}

// Next returns the first transition for an event in a state whose guards all hold.
// It returns false if there is none, and the caller has to ignore the event.
func (c *Chart) Next(state, event string, guard func(name string) bool) (*Transition, bool) {
	for i := range c.Transitions {
		t := &c.Transitions[i]
		if t.Event == event && slices.Contains(t.From, state) && allHold(t.Guards, guard) {
			return t, true
		}
	}
	return nil, false
}

func allHold(names []string, guard func(name string) bool) bool {
	for _, name := range names {
		if !guard(name) {
			return false
		}
	}
	return true
}

func (c *Chart) validate() error {
	if !slices.Contains(c.States, c.Initial) {
		return ErrInvalid.New("chart %s: unknown initial state %q", c.Name, c.Initial)
	}
	for _, t := range c.Transitions {
		for _, state := range append([]string{t.To}, t.From...) {
			if !slices.Contains(c.States, state) {
				return ErrInvalid.New("chart %s: transition for event %s has unknown state %q", c.Name, t.Event, state)
			}
		}
		if (t.Step == "") == (t.Note == "") {
			return ErrInvalid.New("chart %s: transition for event %s must have either a step or a note", c.Name, t.Event)
		}
	}
	return nil
}
