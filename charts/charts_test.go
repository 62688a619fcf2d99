package charts

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// environmentSteps lists the steps of the specification that no VM takes: the
// passing of time, expiry at the platform, and the restart of a process.
var environmentSteps = []string{"tick", "platform lapses", "restart"}

// TestChartsFollowSpecification checks that the charts and spec/shard.pml have the
// same steps: each step of a VM in the specification is a transition of a chart,
// and vice versa.
func TestChartsFollowSpecification(t *testing.T) {
	source, err := os.ReadFile("../spec/shard.pml")
	assert.NilError(t, err)
	file, err := Load("shard.json")
	assert.NilError(t, err)

	want := specificationSteps(string(source))
	var got []string
	for _, chart := range file.Charts {
		for _, transition := range chart.Transitions {
			if transition.Step != "" {
				got = append(got, transition.Step)
			}
		}
	}
	slices.Sort(got)
	assert.DeepEqual(t, slices.Compact(got), want)
}

// specificationSteps returns the names of the steps that VMs take in the
// specification, without those of injected faults and of reachability checks.
func specificationSteps(source string) []string {
	excluded := regexp.MustCompile(`(?s)#ifdef (FAULT|REACH)_\w+\n.*?#(endif|else)`)
	source = excluded.ReplaceAllString(source, "")
	step := regexp.MustCompile(`printf\("STEP ([A-Za-z ]+?)(?: vm %d)?\\n"`)
	var names []string
	for _, match := range step.FindAllStringSubmatch(source, -1) {
		if !slices.Contains(environmentSteps, match[1]) && !strings.HasPrefix(match[1], "two owners") {
			names = append(names, match[1])
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func TestInvalidCharts(t *testing.T) {
	cases := map[string]Chart{
		"unknown initial state": {States: []string{"a"}, Initial: "b"},
		"unknown target":        {States: []string{"a"}, Initial: "a", Transitions: []Transition{{From: []string{"a"}, To: "b", Step: "s"}}},
		"neither step nor note": {States: []string{"a"}, Initial: "a", Transitions: []Transition{{From: []string{"a"}, To: "a"}}},
	}
	for name, chart := range cases {
		t.Run(name, func(t *testing.T) {
			assert.ErrorType(t, chart.validate(), ErrInvalid.New(""))
		})
	}
}
