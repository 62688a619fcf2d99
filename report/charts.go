package report

import (
	"fmt"
	"image/color"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"auburngap/request"
)

// burnAlarm is the burn from which a bar is drawn in the colour of alarm.
const burnAlarm = 1

// timeline is the site's slots in the window, without gaps.
type timeline struct {
	starts []time.Time
	length time.Duration
}

func (s Summary) timeline() timeline {
	length := s.snapshot.SlotLength()
	line := timeline{length: length}
	var first, last time.Time
	for _, series := range s.snapshot.Series {
		for _, slot := range series.Slots {
			if slot.Start.Before(s.From) {
				continue
			}
			if first.IsZero() || slot.Start.Before(first) {
				first = slot.Start
			}
			if slot.Start.After(last) {
				last = slot.Start
			}
		}
	}
	for at := first; length > 0 && !first.IsZero() && !at.After(last); at = at.Add(length) {
		line.starts = append(line.starts, at)
	}
	return line
}

// collect adds a count of each slot, as a rate per second, to its layer.
func (s Summary) collect(line timeline, add func(series Series, slot Slot, put func(layer string, count uint64))) map[string][]float64 {
	layers := make(map[string][]float64)
	for _, series := range s.snapshot.Series {
		for _, slot := range series.Slots {
			at := slices.IndexFunc(line.starts, slot.Start.Equal)
			if at < 0 {
				continue
			}
			add(series, slot, func(layer string, count uint64) {
				if layers[layer] == nil {
					layers[layer] = make([]float64, len(line.starts))
				}
				layers[layer][at] += float64(count) / line.length.Seconds()
			})
		}
	}
	return layers
}

func (s Summary) goodputChart() *plot.Plot {
	line := s.timeline()
	byPriority := s.collect(line, func(series Series, slot Slot, put func(string, uint64)) {
		put(priorityName(series.Priority), slot.Good)
	})
	var layers []layer
	for priority := range request.Priorities {
		name := priorityName(priority)
		if values, ok := byPriority[name]; ok {
			layers = append(layers, layer{name, values, palette[int(priority)%len(palette)]})
		}
	}
	return stack("Goodput by priority", "good requests/s", line.starts, line.length, layers)
}

func priorityName(priority request.Priority) string {
	return fmt.Sprintf("priority %d", priority)
}

// mostCauses is how many causes the chart tells apart.
const mostCauses = 4

func (s Summary) causesChart() *plot.Plot {
	line := s.timeline()
	total := make(map[string]uint64)
	for _, row := range s.Group(GroupAll) {
		total = row.Causes
	}
	names := make([]string, 0, len(total))
	for name := range total {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return int(total[b]) - int(total[a]) })
	main := names[:min(mostCauses, len(names))]
	byCause := s.collect(line, func(_ Series, slot Slot, put func(string, uint64)) {
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
	return stack("Refusals and failures by cause", "requests/s", line.starts, line.length, layers)
}

func (s Summary) burnChart(group, title string) (*plot.Plot, int, error) {
	var list []bar
	for _, row := range s.Group(group) {
		shade := color.Color(calm)
		if row.Burn >= burnAlarm {
			shade = alarm
		}
		label := fmt.Sprintf("%.2f  (%s good of %d)", row.Burn, percent(row.GoodShare), row.Requests)
		// The line of the objective crosses no label.
		list = append(list, bar{name: row.Name, value: row.Burn, label: label, color: shade, labelFrom: burnAlarm})
	}
	title += " over " + windowName(s.Windows[len(s.Windows)-1])
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

func (s Summary) latencyChart() (*plot.Plot, int, error) {
	var list []bar
	for _, row := range s.Group(GroupService) {
		list = append(list,
			bar{name: row.Name + " p50", value: float64(row.P50Micros) / 1000, label: millis(row.P50Micros), color: palette[2]},
			bar{name: row.Name + " p99", value: float64(row.P99Micros) / 1000, label: millis(row.P99Micros), color: palette[0]})
	}
	chart, err := bars("Latency of good requests by service", "milliseconds", list)
	return chart, len(list), err
}
