// Package charts holds the state charts of the decisions and the interpreter
// that runs them.
//
// # Usage
//
//	file, err := charts.Load("shard.json")
//	chart := file.Chart("shard")
//	transition, ok := chart.Next("unreleased", "released", guard)
//
// A transition names its guards and actions; the package that embeds the chart
// gives each name its function, so that the chart alone says what follows what.
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
	// ErrInvalid means that a chart's file is missing or wrong.
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

// Transition is one arrow of a chart.
type Transition struct {
	From    []string `json:"from"`
	Event   string   `json:"event"`
	Guards  []string `json:"guards,omitempty"`
	To      string   `json:"to"`
	Actions []string `json:"actions,omitempty"`
	// Step is the transition's name in the specification.
	Step string `json:"step,omitempty"`
	// Note says why a transition has no step in the specification.
	Note string `json:"note,omitempty"`
}

// Load returns the charts of an embedded file, or ErrInvalid.
func Load(name string) (*File, error) {
	source, err := files.ReadFile(name)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "chart file %s", name)
	}
	file := &File{}
	if err := json.Unmarshal(source, file); err != nil {
		return nil, ErrInvalid.Wrap(err, "chart file %s", name)
	}
	for i := range file.Charts {
		if err := file.Charts[i].check(); err != nil {
			return nil, err
		}
	}
	return file, nil
}

// Chart returns the chart of that name, or nil.
func (f *File) Chart(name string) *Chart {
	for i := range f.Charts {
		if f.Charts[i].Name == name {
			return &f.Charts[i]
		}
	}
	return nil
}

// Next returns the first transition for an event whose guards all hold; false
// if the chart has none, in which case the event is to be ignored.
func (c *Chart) Next(state, event string, guard func(name string) bool) (*Transition, bool) {
	for i := range c.Transitions {
		t := &c.Transitions[i]
		if t.Event == event && slices.Contains(t.From, state) && all(t.Guards, guard) {
			return t, true
		}
	}
	return nil, false
}

func all(names []string, guard func(name string) bool) bool {
	for _, name := range names {
		if !guard(name) {
			return false
		}
	}
	return true
}

func (c *Chart) check() error {
	if !slices.Contains(c.States, c.Initial) {
		return ErrInvalid.New("chart %s starts in unknown state %q", c.Name, c.Initial)
	}
	for _, t := range c.Transitions {
		for _, state := range append([]string{t.To}, t.From...) {
			if !slices.Contains(c.States, state) {
				return ErrInvalid.New("chart %s: event %s names unknown state %q", c.Name, t.Event, state)
			}
		}
		if (t.Step == "") == (t.Note == "") {
			return ErrInvalid.New("chart %s: event %s needs either a step or a note", c.Name, t.Event)
		}
	}
	return nil
}
