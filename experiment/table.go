package experiment

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// column is one figure of the table.
type column struct {
	title string
	// percent prints fractions as percentages; decimals is the number of decimals.
	percent  bool
	decimals int
	of       func(Figures) float64
}

var columns = []column{
	{"goodput %", true, 1, func(f Figures) float64 { return f.GoodputAll }},
	{"top %", true, 1, func(f Figures) float64 { return f.GoodputTop }},
	{"recovery s", false, 1, func(f Figures) float64 { return f.RecoverySeconds }},
	{"calm s", false, 1, func(f Figures) float64 { return f.CalmSeconds }},
	{"worst served %", true, 1, func(f Figures) float64 { return f.WorstServed }},
	{"wrongful %", true, 2, func(f Figures) float64 { return f.Wrongful }},
	{"attempts", false, 2, func(f Figures) float64 { return f.AttemptsPerRequest }},
	{"wasted %", true, 1, func(f Figures) float64 { return f.Wasted }},
	{"overtaken %", true, 1, func(f Figures) float64 { return f.Overtaken }},
}

func (c column) format(s Spread) string {
	scale := 1.0
	if c.percent {
		scale = 100
	}
	return fmt.Sprintf("%.*f/%.*f/%.*f", c.decimals, s.Min*scale, c.decimals, s.Median*scale, c.decimals, s.Max*scale)
}

// writeTable prints min/median/max of every figure.
func writeTable(w io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := []string{"site", "scenario", "policy"}
	for _, c := range columns {
		header = append(header, c.title)
	}
	header = append(header, "served by priority %")
	if _, err := fmt.Fprintln(table, strings.Join(header, "\t")); err != nil {
		return err
	}
	for _, result := range results {
		if _, err := fmt.Fprintln(table, strings.Join(row(result), "\t")); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(results) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "min/median/max over seeds %v\n", results[0].Seeds)
	return err
}

func row(result *Result) []string {
	cells := []string{result.Site, result.Scenario, result.Policy}
	for _, c := range columns {
		cells = append(cells, c.format(spread(result.Runs, c.of)))
	}
	var served []string
	for p := range result.Runs[0].ServedByPriority {
		median := spread(result.Runs, func(f Figures) float64 { return f.ServedByPriority[p] }).Median
		served = append(served, fmt.Sprintf("%.0f", median*100))
	}
	return append(cells, strings.Join(served, " "))
}
