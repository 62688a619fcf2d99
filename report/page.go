package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"gonum.org/v1/plot"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// page is what the template shows.
type page struct {
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
	// Windows name the columns of the burns.
	Windows []string
	Rows    []tableRow
}

type cell struct {
	Text  string
	Alarm bool
}

type tableRow struct {
	Row
	Share, P50, P99, Causes string
	Burns                   []cell
}

// WriteHTML writes the summary as one page that needs nothing else.
func (s Summary) WriteHTML(out io.Writer) error {
	charts, err := s.charts()
	if err != nil {
		return err
	}
	return pageTemplate.Execute(out, page{
		Title:  "Service-level burn: " + strings.Join(s.Zones, ", "),
		Period: fmt.Sprintf("%s to %s UTC, %d VMs", s.From.UTC().Format(time.DateTime), s.To.UTC().Format(time.TimeOnly), len(s.VMs)),
		Cards:  s.cards(),
		Charts: charts,
		Tables: s.tables(),
	})
}

func (s Summary) cards() []card {
	var cards []card
	for _, row := range s.Group(GroupAll) {
		cards = append(cards,
			card{"Goodput", fmt.Sprintf("%.0f/s", row.GoodPerSecond), fmt.Sprintf("%d good requests", row.Good), false},
			card{"Good", percent(row.GoodShare), fmt.Sprintf("of %d requests", row.Requests), row.Burn >= burnAlarm},
			card{"Burn", fmt.Sprintf("%.2f", row.Burn), "1 just meets the objectives", row.Burn >= burnAlarm},
			card{"Refused within rate", fmt.Sprint(row.Wrongful), "should be none", row.Wrongful > 0},
			card{"p99", millis(row.P99Micros), "median " + millis(row.P50Micros), false},
		)
	}
	return cards
}

func (s Summary) charts() ([]template.HTML, error) {
	var charts []template.HTML
	add := func(p *plot.Plot, lines int, err error) error {
		if err != nil {
			return err
		}
		height := chartHeight
		if lines > 0 {
			height = barsHeight(lines)
		}
		drawn, err := svg(p, height)
		if err != nil {
			return err
		}
		// The SVG comes from the plot library, which escapes its texts.
		charts = append(charts, template.HTML(drawn))
		return nil
	}
	if err := add(s.goodputChart(), 0, nil); err != nil {
		return nil, err
	}
	if err := add(s.causesChart(), 0, nil); err != nil {
		return nil, err
	}
	if err := add(s.burnChart(GroupWorkspace, "Burn by workspace")); err != nil {
		return nil, err
	}
	if err := add(s.burnChart(GroupPriority, "Burn by priority")); err != nil {
		return nil, err
	}
	return charts, add(s.latencyChart())
}

func (s Summary) tables() []table {
	var tables []table
	for _, group := range groups[1:] {
		t := table{Heading: strings.ToUpper(group[:1]) + group[1:]}
		for _, window := range s.Windows {
			t.Windows = append(t.Windows, windowName(window))
		}
		for _, row := range s.Group(group) {
			t.Rows = append(t.Rows, tableRow{
				Row: row, Share: percent(row.GoodShare),
				P50: millis(row.P50Micros), P99: millis(row.P99Micros),
				Causes: row.causeList(), Burns: row.burnCells(s.Windows),
			})
		}
		tables = append(tables, t)
	}
	return tables
}

func (r Row) burnCells(windows []time.Duration) []cell {
	var cells []cell
	for _, window := range windows {
		burn := r.Burns[windowName(window)]
		cells = append(cells, cell{Text: fmt.Sprintf("%.2f", burn), Alarm: burn >= burnAlarm})
	}
	return cells
}
