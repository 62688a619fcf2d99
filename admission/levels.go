package admission

import (
	"time"

	"auburngap/request"
)

const (
	// levelWindow is the time between two decisions on the admission level.
	levelWindow = 100 * time.Millisecond
	// targetOccupancy keeps a few calls queued, so that no slot stands idle.
	targetOccupancy = 1.1
	// occupancyGain turns a deviation from the target into a change of the
	// admitted rate in one window.
	occupancyGain = 0.3
	// minChange and maxChange bound the change in one window.
	minChange, maxChange = 0.3, 1.3
	// rateMargin bounds the admitted rate by the rate of starts under saturation.
	rateMargin = 1.1
	// demandGain averages the demand of a priority over windows.
	demandGain = 0.3
	// readableShare is the least admitted share that demand is inferred from.
	readableShare = 1.0 / 32
)

// levels decides the admission level of one backend server: the rate that it
// can serve, filled with its priorities' demand from the most important down.
type levels struct {
	level uint16
	// admitted is the rate to admit, demand the rate asked for, a window each.
	admitted float64
	demand   [request.Priorities]float64

	windowEnd, last time.Time
	arrivals        [request.Priorities]int
	starts, refuses int
	// area is occupancy times seconds.
	area float64
}

func newLevels() levels {
	return levels{level: FullLevel}
}

func (l *levels) offered(priority request.Priority) { l.arrivals[priority]++ }

func (l *levels) started() { l.starts++ }

func (l *levels) refused() { l.refuses++ }

// advance accounts for the occupancy up to now and ends the window when it is due.
func (l *levels) advance(now time.Time, occupancy float64) {
	if l.last.IsZero() {
		l.last, l.windowEnd = now, now.Add(levelWindow)
		return
	}
	l.area += occupancy * now.Sub(l.last).Seconds()
	l.last = now
	if now.Before(l.windowEnd) {
		return
	}
	length := now.Sub(l.windowEnd) + levelWindow
	l.endWindow(l.area/length.Seconds(), length)
	l.windowEnd = now.Add(levelWindow)
}

func (l *levels) endWindow(occupancy float64, length time.Duration) {
	scale := float64(levelWindow) / float64(length)
	total := l.averageDemand(scale)
	change := 1 + occupancyGain*(targetOccupancy-occupancy)
	if total > 0 {
		change -= min(1, float64(l.refuses)*scale/total)
	}
	l.admitted *= min(max(change, minChange), maxChange)
	if occupancy >= 1 {
		l.admitted = min(l.admitted, max(1, rateMargin*float64(l.starts)*scale))
	}
	if l.level == FullLevel && l.refuses == 0 && occupancy < targetOccupancy {
		l.admitted = max(l.admitted, maxChange*total)
	}
	l.admitted = min(l.admitted, maxChange*max(1, total))
	l.level = l.fill()
	l.arrivals, l.starts, l.refuses, l.area = [request.Priorities]int{}, 0, 0, 0
}

// averageDemand updates each priority's demand before shedding and returns the sum.
func (l *levels) averageDemand(scale float64) float64 {
	total := 0.0
	for priority := range l.demand {
		share := admittedShare(l.level, request.Priority(priority))
		if share >= readableShare {
			seen := float64(l.arrivals[priority]) * scale / share
			l.demand[priority] += demandGain * (seen - l.demand[priority])
		}
		total += l.demand[priority]
	}
	return total
}

// fill returns the level at which the demand adds up to the admitted rate.
func (l *levels) fill() uint16 {
	left := l.admitted
	for priority, demand := range l.demand {
		if left < demand {
			part := uint16(left / demand * LevelsPerPriority)
			return max(1, uint16(priority)*LevelsPerPriority+part)
		}
		left -= demand
	}
	return FullLevel
}

// admittedShare returns the part of a priority's requests that a level admits.
func admittedShare(level uint16, priority request.Priority) float64 {
	above := int(level) - int(priority)*LevelsPerPriority
	return float64(min(max(above, 0), LevelsPerPriority)) / LevelsPerPriority
}
