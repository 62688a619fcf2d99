package report

import (
	"slices"
	"time"
)

// Timeline holds the starts of the consecutive slots of a window, without gaps.
type Timeline struct {
	Starts []time.Time
	Length time.Duration
}

// Timeline returns the slots of the longest window since the first request.
func (s Summary) Timeline() Timeline {
	length := s.snapshot.SlotLength()
	timeline := Timeline{Length: length}
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
		timeline.Starts = append(timeline.Starts, at)
	}
	return timeline
}

// Rates returns, for each layer, a rate per second for each slot of the timeline. The
// function add is called with each slot of each series and calls put with the layers
// and counts of the slot.
func (s Summary) Rates(timeline Timeline, add func(series Series, slot Slot, put func(layer string, count uint64))) map[string][]float64 {
	layers := make(map[string][]float64)
	for _, series := range s.snapshot.Series {
		for _, slot := range series.Slots {
			at := slices.IndexFunc(timeline.Starts, slot.Start.Equal)
			if at < 0 {
				continue
			}
			add(series, slot, func(layer string, count uint64) {
				if layers[layer] == nil {
					layers[layer] = make([]float64, len(timeline.Starts))
				}
				layers[layer][at] += float64(count) / timeline.Length.Seconds()
			})
		}
	}
	return layers
}
