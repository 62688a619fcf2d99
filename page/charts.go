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

// burnAlarm is the burn at and above which a value is shown in the alarm colour.
const burnAlarm = 1

func goodputChart(s report.Summary) *plot.Plot {
	timeline := s.Timeline()
	byPriority := s.Rates(timeline, func(series report.Series, slot report.Slot, put func(string, uint64)) {
		put(priorityName(series.Priority), slot.Good)
	})
	var layers []layer
	for priority := range request.Priorities {
		name := priorityName(priority)
		if values, ok := byPriority[name]; ok {
			layers = append(layers, layer{name, values, palette[int(priority)%len(palette)]})
		}
	}
	return stackedChart("Goodput by priority", "good requests/s", timeline.Starts, timeline.Length, layers)
}

func priorityName(priority request.Priority) string {
	return fmt.Sprintf("priority %d", priority)
}

// maxCauses is how many causes the chart shows separately.
const maxCauses = 4

func causesChart(s report.Summary) *plot.Plot {
	timeline := s.Timeline()
	total := make(map[string]uint64)
	for _, row := range s.Group(report.GroupAll) {
		total = row.Causes
	}
	names := make([]string, 0, len(total))
	for name := range total {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return int(total[b]) - int(total[a]) })
	main := names[:min(maxCauses, len(names))]
	byCause := s.Rates(timeline, func(_ report.Series, slot report.Slot, put func(string, uint64)) {
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
	return stackedChart("Refusals and failures by cause", "requests/s", timeline.Starts, timeline.Length, layers)
}

func burnChart(s report.Summary, group, title string) (*plot.Plot, int, error) {
	var list []bar
	for _, row := range s.Group(group) {
		barColor := color.Color(normalColor)
		if row.Burn >= burnAlarm {
			barColor = alarmColor
		}
		label := fmt.Sprintf("%.2f  (%s good of %d)", row.Burn, report.Percent(row.GoodShare), row.Requests)
		// The label begins right of the objective's line, so that the line doesn't
		// cross it.
		list = append(list, bar{name: row.Name, value: row.Burn, label: label, color: barColor, labelFrom: burnAlarm})
	}
	title += " over " + report.WindowName(s.Windows[len(s.Windows)-1])
	chart, err := barChart(title, "burn: failures over failures allowed; 1 just meets the objective", list)
	if err != nil {
		return nil, 0, err
	}
	largest := 0.0
	for _, b := range list {
		largest = math.Max(largest, b.value)
	}
	chart.X.Max = math.Max(1.2, largest*1.6) // space for the labels
	return chart, len(list), addObjectiveLine(chart)
}

// addObjectiveLine draws a line at burnAlarm. Bars that don't reach it meet the
// objective.
func addObjectiveLine(chart *plot.Plot) error {
	ends := plotter.XYs{{X: burnAlarm, Y: chart.Y.Min}, {X: burnAlarm, Y: chart.Y.Max}}
	line, err := plotter.NewLine(ends)
	if err != nil {
		return err
	}
	line.Color = alarmColor
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
	chart, err := barChart("Latency of good requests by service", "milliseconds", list)
	return chart, len(list), err
}
