package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// headings holds the heading of the first column of each group's table.
var headings = map[string]string{
	GroupAll:       "ALL",
	GroupService:   "SERVICE",
	GroupWorkspace: "WORKSPACE",
	GroupPriority:  "PRIORITY",
}

// WriteText writes the summary as tables.
func (s Summary) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	// The table keeps write errors until Flush.
	_, _ = fmt.Fprintf(table, "%s to %s UTC, %d VMs in %s\n",
		s.From.UTC().Format(time.DateTime), s.To.UTC().Format(time.TimeOnly), len(s.VMs), strings.Join(s.Zones, ", "))
	for _, group := range Groups {
		_, _ = fmt.Fprintf(table, "\n%s\tREQUESTS\tGOOD/S\tGOOD%s\tP50\tP99\tMAX\tWRONGFUL\tREJECTED\tCAUSES\n", headings[group], s.burnHeadings())
		for _, row := range s.Group(group) {
			_, _ = fmt.Fprintln(table, row.columns(s.Windows))
		}
	}
	return table.Flush()
}

func (r Row) columns(windows []time.Duration) string {
	return fmt.Sprintf("%s\t%d\t%.1f\t%s%s\t%s\t%s\t%s\t%d\t%d\t%s",
		r.Name, r.Requests, r.GoodPerSecond, Percent(r.GoodShare), r.burnColumns(windows),
		Millis(r.P50Micros), Millis(r.P99Micros), Millis(r.MaxMicros),
		r.Wrongful, r.Rejected, r.CauseList())
}

// burnHeadings returns a column heading for each window.
func (s Summary) burnHeadings() string {
	text := ""
	for _, window := range s.Windows {
		text += "\tBURN " + WindowName(window)
	}
	return text
}

func (r Row) burnColumns(windows []time.Duration) string {
	text := ""
	for _, window := range windows {
		text += fmt.Sprintf("\t%.2f", r.Burns[WindowName(window)])
	}
	return text
}

// Percent formats a fraction from 0 to 1 as a percentage.
func Percent(fraction float64) string {
	return fmt.Sprintf("%.2f%%", 100*fraction)
}

// Millis formats a duration in microseconds as milliseconds.
func Millis(micros int64) string {
	return fmt.Sprintf("%.1fms", float64(micros)/1000)
}

// CauseList lists the causes with their counts, the most frequent first.
func (r Row) CauseList() string {
	names := make([]string, 0, len(r.Causes))
	for name := range r.Causes {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if r.Causes[a] != r.Causes[b] {
			return int(r.Causes[b]) - int(r.Causes[a])
		}
		return strings.Compare(a, b)
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, r.Causes[name])
	}
	return strings.Join(names, ", ")
}
