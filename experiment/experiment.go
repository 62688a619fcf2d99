// Package experiment measures the decisions of packages admission and retry
// under overload: seeded open-loop runs of customer requests against a model of
// backend servers (slots, connections, cold start, delayed and wrong load
// reports) and callers that retry. It measures decisions only: protocol, membership
// and platform are not modelled.
//
// # Usage
//
//	auburngap experiment --site mugWorks --scenarios a,c --json result.json
//	auburngap experiment --off gate,fair // adds a policy without these
//
// Every run is named by site, scenario, policy and seed, and is the same each
// time.
package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alexflint/go-arg"
	"golang.org/x/sync/errgroup"
)

type options struct {
	Site      string  `arg:"--site" help:"mugWorks or styleDesk; both if empty"`
	Scenarios string  `arg:"--scenarios" help:"letters, such as a,c; all if empty"`
	Policies  string  `arg:"--policies" help:"none, fixed, previous, lacking, full; all if empty"`
	Off       string  `arg:"--off" help:"mechanisms that the policy lacking goes without: gate, fair, budget, cancel, adaptive"`
	Margin    float64 `arg:"--margin" help:"admitted rate as a part of a server's capacity; the site's own if zero"`
	Runs      int     `arg:"--runs" default:"5" help:"seeded runs of each"`
	Seed      uint64  `arg:"--seed" default:"1" help:"seed of the first run"`
	Parallel  int     `arg:"--parallel" default:"2" help:"runs at once"`
	JSON      string  `arg:"--json" help:"file for the figures of every run"`
	Plot      string  `arg:"--plot" help:"SVG or PNG file for goodput over time"`
}

// Description is shown by --help.
func (options) Description() string {
	return "Measures admission and retry decisions under overload."
}

// Result holds the figures of all runs of one policy in one scenario.
type Result struct {
	Site     string    `json:"site"`
	Scenario string    `json:"scenario"`
	Title    string    `json:"title"`
	Policy   string    `json:"policy"`
	Seeds    []uint64  `json:"seeds"`
	Runs     []Figures `json:"runs"`
	// goodput is the first run's, in requests a second for each bin.
	goodput []float64
}

// Run executes the command and returns the process's exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser, err := arg.NewParser(arg.Config{Program: "auburngap experiment"}, &opts)
	if err != nil {
		return printError(stderr, err)
	}
	if err := parser.Parse(args); err != nil {
		if err == arg.ErrHelp {
			parser.WriteHelp(stdout)
			return 0
		}
		return printError(stderr, err)
	}
	results, err := measure(opts)
	if err != nil {
		return printError(stderr, err)
	}
	if err := output(opts, results, stdout); err != nil {
		return printError(stderr, err)
	}
	return 0
}

func printError(stderr io.Writer, err error) int {
	if _, err := fmt.Fprintln(stderr, "auburngap experiment:", err); err != nil {
		return 1
	}
	return 2
}

func output(opts options, results []*Result, stdout io.Writer) error {
	if err := writeTable(stdout, results); err != nil {
		return err
	}
	if opts.JSON != "" {
		data, err := json.MarshalIndent(results, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(opts.JSON, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if opts.Plot != "" {
		return plotGoodput(opts.Plot, results)
	}
	return nil
}

// listContains reports whether a comma-separated list contains a word; an empty list
// contains all.
func listContains(list, word string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), word)
}

// measure runs all combinations that the options select.
func measure(opts options) ([]*Result, error) {
	if opts.Runs < 1 {
		return nil, fmt.Errorf("--runs must be at least 1, got %d", opts.Runs)
	}
	var results []*Result
	var group errgroup.Group
	group.SetLimit(max(1, opts.Parallel))
	for _, site := range []site{mugWorks(), styleDesk()} {
		for _, scenario := range scenarios() {
			for _, policy := range policies(opts.Off) {
				policy.margin = opts.Margin
				if !listContains(opts.Site, site.name) || !listContains(opts.Scenarios, scenario.name) || !listContains(opts.Policies, policy.name) {
					continue
				}
				result := newResult(opts, site, scenario, policy)
				results = append(results, result)
				for i, seed := range result.Seeds {
					group.Go(func() error {
						run := newSim(site, scenario, policy, seed)
						run.run()
						result.Runs[i] = run.figures()
						if i == 0 {
							result.goodput = run.record.goodput()
						}
						return nil
					})
				}
			}
		}
	}
	return results, group.Wait()
}

func newResult(opts options, site site, scenario scenario, policy policy) *Result {
	result := &Result{
		Site: site.name, Scenario: scenario.name, Title: scenario.title, Policy: policy.name,
		Runs: make([]Figures, opts.Runs),
	}
	for i := range opts.Runs {
		result.Seeds = append(result.Seeds, opts.Seed+uint64(i))
	}
	return result
}
