package report

import (
	"slices"
	"time"
)

// Timeline is a site's slots in a window, without gaps.
type Timeline struct {
	Starts []time.Time
	Length time.Duration
}

// Timeline returns the slots of the longest window since the first request.
func (s Summary) Timeline() Timeline {
	length := s.snapshot.SlotLength()
	line := Timeline{Length: length}
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
		line.Starts = append(line.Starts, at)
	}
	return line
}

// Rates returns counts of each slot of a timeline, as rates a second, by the layer
// that add puts them in.
func (s Summary) Rates(line Timeline, add func(series Series, slot Slot, put func(layer string, count uint64))) map[string][]float64 {
	layers := make(map[string][]float64)
	for _, series := range s.snapshot.Series {
		for _, slot := range series.Slots {
			at := slices.IndexFunc(line.Starts, slot.Start.Equal)
			if at < 0 {
				continue
			}
			add(series, slot, func(layer string, count uint64) {
				if layers[layer] == nil {
					layers[layer] = make([]float64, len(line.Starts))
				}
				layers[layer][at] += float64(count) / line.Length.Seconds()
			})
		}
	}
	return layers
}
