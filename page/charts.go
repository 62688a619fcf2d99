package page

import (
	"fmt"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"auburngap/report"
	"auburngap/request"
)

// burnAlarm is the burn from which a bar is drawn in the colour of alarm.
const burnAlarm = 1

func goodputChart(s report.Summary) *plot.Plot {
	line := s.Timeline()
	byPriority := s.Rates(line, func(series report.Series, slot report.Slot, put func(string, uint64)) {
		put(priorityName(series.Priority), slot.Good)
	})
	var layers []layer
	for priority := range request.Priorities {
		name := priorityName(priority)
		if values, ok := byPriority[name]; ok {
			layers = append(layers, layer{name, values, palette[int(priority)%len(palette)]})
		}
	}
	return stack("Goodput by priority", "good requests/s", line.Starts, line.Length, layers)
}

func priorityName(priority request.Priority) string {
	return fmt.Sprintf("priority %d", priority)
}

// mostCauses is how many causes the chart tells apart.
const mostCauses = 4

func causesChart(s report.Summary) *plot.Plot {
	line := s.Timeline()
	total := make(map[string]uint64)
	for _, row := range s.Group(report.GroupAll) {
		total = row.Causes
	}
	names := make([]string, 0, len(total))
	for name := range total {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return int(total[b]) - int(total[a]) })
	main := names[:min(mostCauses, len(names))]
	byCause := s.Rates(line, func(_ report.Series, slot report.Slot, put func(string, uint64)) {
		for cause, count := range slot.Causes {
			if !slices.Contains(main, cause) {
				cause = "other causes"
			}
			put(cause, count)
		}
	})
	var layers []layer
	for i, name := range append(main, "other causes") {
		if values, ok := byCause[name]; ok {
			layers = append(layers, layer{name, values, warmPalette[i%len(warmPalette)]})
		}
	}
	return stack("Refusals and failures by cause", "requests/s", line.Starts, line.Length, layers)
}

func burnChart(s report.Summary, group, title string) (*plot.Plot, int, error) {
	var list []bar
	for _, row := range s.Group(group) {
		shade := color.Color(calm)
		if row.Burn >= burnAlarm {
			shade = alarm
		}
		label := fmt.Sprintf("%.2f  (%s good of %d)", row.Burn, report.Percent(row.GoodShare), row.Requests)
		// The line of the objective crosses no label.
		list = append(list, bar{name: row.Name, value: row.Burn, label: label, color: shade, labelFrom: burnAlarm})
	}
	title += " over " + report.WindowName(s.Windows[len(s.Windows)-1])
	chart, err := bars(title, "burn: failures over failures allowed; 1 just meets the objective", list)
	if err != nil {
		return nil, 0, err
	}
	largest := 0.0
	for _, b := range list {
		largest = math.Max(largest, b.value)
	}
	chart.X.Max = math.Max(1.2, largest*1.6) // room for the labels
	return chart, len(list), addObjective(chart)
}

// addObjective draws the line that the bars should not reach.
func addObjective(chart *plot.Plot) error {
	ends := plotter.XYs{{X: burnAlarm, Y: chart.Y.Min}, {X: burnAlarm, Y: chart.Y.Max}}
	line, err := plotter.NewLine(ends)
	if err != nil {
		return err
	}
	line.Color = alarm
	line.Dashes = []vg.Length{vg.Millimeter, vg.Millimeter}
	chart.Add(line)
	return nil
}

func latencyChart(s report.Summary) (*plot.Plot, int, error) {
	var list []bar
	for _, row := range s.Group(report.GroupService) {
		list = append(list,
			bar{name: row.Name + " p50", value: float64(row.P50Micros) / 1000, label: report.Millis(row.P50Micros), color: palette[2]},
			bar{name: row.Name + " p99", value: float64(row.P99Micros) / 1000, label: report.Millis(row.P99Micros), color: palette[0]})
	}
	chart, err := bars("Latency of good requests by service", "milliseconds", list)
	return chart, len(list), err
}
