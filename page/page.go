// Package page draws the report of a site as one HTML page, with its charts.
//
// # Usage
//
//	summary := merged.Summarize(report.DefaultWindows(), report.DefaultObjectives())
//	err := page.Write(out, summary)
package page

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"gonum.org/v1/plot"

	"auburngap/report"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// content holds the values that the template shows.
type content struct {
	Title  string
	Period string
	Cards  []card
	Charts []template.HTML
	Tables []table
}

type card struct {
	Name  string
	Value string
	Note  string
	Alarm bool
}

type table struct {
	Heading string
	// Windows holds the headings of the burn columns.
	Windows []string
	Rows    []tableRow
}

type cell struct {
	Text  string
	Alarm bool
}

type tableRow struct {
	report.Row
	Share, P50, P99, Causes string
	Burns                   []cell
}

// Write writes a summary as one page without external resources.
func Write(out io.Writer, s report.Summary) error {
	charts, err := drawCharts(s)
	if err != nil {
		return err
	}
	return pageTemplate.Execute(out, content{
		Title:  "Service-level burn: " + strings.Join(s.Zones, ", "),
		Period: fmt.Sprintf("%s to %s UTC, %d VMs", s.From.UTC().Format(time.DateTime), s.To.UTC().Format(time.TimeOnly), len(s.VMs)),
		Cards:  cards(s),
		Charts: charts,
		Tables: tables(s),
	})
}

func cards(s report.Summary) []card {
	var cards []card
	for _, row := range s.Group(report.GroupAll) {
		cards = append(cards,
			card{"Goodput", fmt.Sprintf("%.0f/s", row.GoodPerSecond), fmt.Sprintf("%d good requests", row.Good), false},
			card{"Good", report.Percent(row.GoodShare), fmt.Sprintf("of %d requests", row.Requests), row.Burn >= burnAlarm},
			card{"Burn", fmt.Sprintf("%.2f", row.Burn), "1 just meets the objectives", row.Burn >= burnAlarm},
			card{"Refused within rate", fmt.Sprint(row.Wrongful), "should be none", row.Wrongful > 0},
			card{"p99", report.Millis(row.P99Micros), "median " + report.Millis(row.P50Micros), false},
		)
	}
	return cards
}

func drawCharts(s report.Summary) ([]template.HTML, error) {
	var charts []template.HTML
	add := func(p *plot.Plot, lines int, err error) error {
		if err != nil {
			return err
		}
		height := chartHeight
		if lines > 0 {
			height = barChartHeight(lines)
		}
		drawn, err := svg(p, height)
		if err != nil {
			return err
		}
		// The SVG comes from the plot library, which escapes its texts.
		charts = append(charts, template.HTML(drawn))
		return nil
	}
	if err := add(goodputChart(s), 0, nil); err != nil {
		return nil, err
	}
	if err := add(causesChart(s), 0, nil); err != nil {
		return nil, err
	}
	if err := add(burnChart(s, report.GroupWorkspace, "Burn by workspace")); err != nil {
		return nil, err
	}
	if err := add(burnChart(s, report.GroupPriority, "Burn by priority")); err != nil {
		return nil, err
	}
	return charts, add(latencyChart(s))
}

func tables(s report.Summary) []table {
	var tables []table
	for _, group := range report.Groups[1:] {
		t := table{Heading: strings.ToUpper(group[:1]) + group[1:]}
		for _, window := range s.Windows {
			t.Windows = append(t.Windows, report.WindowName(window))
		}
		for _, row := range s.Group(group) {
			t.Rows = append(t.Rows, tableRow{
				Row: row, Share: report.Percent(row.GoodShare),
				P50: report.Millis(row.P50Micros), P99: report.Millis(row.P99Micros),
				Causes: row.CauseList(), Burns: burnCells(row, s.Windows),
			})
		}
		tables = append(tables, t)
	}
	return tables
}

func burnCells(r report.Row, windows []time.Duration) []cell {
	var cells []cell
	for _, window := range windows {
		burn := r.Burns[report.WindowName(window)]
		cells = append(cells, cell{Text: fmt.Sprintf("%.2f", burn), Alarm: burn >= burnAlarm})
	}
	return cells
}
