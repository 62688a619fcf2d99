package admission

import (
	"math"
	"time"

	"auburngap/request"
)

const (
	// levelWindow is the time between two decisions on the admission level.
	levelWindow = 100 * time.Millisecond
	// levelMemory is the time over which rates are averaged.
	levelMemory = 500 * time.Millisecond
	// readableShare is the least admitted share that demand is inferred from.
	readableShare = 1.0 / 1024
	// spareOccupancy is the part of the slots in use below which there is room
	// for requests that no admitted share tells anything of.
	spareOccupancy = 0.9
	// readableRate is the least departures a window that the capacity of a server
	// with room is inferred from; one without that ends no call has no capacity.
	readableRate = 0.05
)

// levels decides the admission level of one backend server: the rate that it
// can serve, by Little's law from its limit and how long calls hold a slot,
// filled with the priorities' demand from the most important down.
type levels struct {
	// margin is the admitted rate as a part of the capacity.
	margin float64
	level  uint16
	// averages hold the recent past, a window each.
	averages levelCounts
	// share is the average admitted share, in step with averages.arrivals.
	share [request.Priorities]float64
	// demand is what would arrive without shedding.
	demand [request.Priorities]float64

	windowEnd, last time.Time
	window          levelCounts
}

// levelCounts are what is counted in one window.
type levelCounts struct {
	arrivals   [request.Priorities]float64
	departures float64
	// held is the number of slots in use times seconds.
	held float64
}

func newLevels(margin float64) levels {
	l := levels{level: FullLevel, margin: margin}
	for priority := range l.share {
		l.share[priority] = 1
	}
	return l
}

func (l *levels) offered(priority request.Priority) { l.window.arrivals[priority]++ }

func (l *levels) departed() { l.window.departures++ }

// advance accounts for the slots in use up to now and ends the window when it is due.
func (l *levels) advance(now time.Time, inFlight, limit int) {
	if l.last.IsZero() {
		l.last, l.windowEnd = now, now.Add(levelWindow)
		return
	}
	l.window.held += float64(inFlight) * now.Sub(l.last).Seconds()
	l.last = now
	if now.Before(l.windowEnd) {
		return
	}
	l.endWindow(now.Sub(l.windowEnd)+levelWindow, limit)
	l.windowEnd = now.Add(levelWindow)
}

func (l *levels) endWindow(length time.Duration, limit int) {
	keep := math.Exp(-length.Seconds() / levelMemory.Seconds())
	gain := (1 - keep) * float64(levelWindow) / float64(length)
	a := &l.averages
	a.departures = keep*a.departures + gain*l.window.departures
	a.held = keep*a.held + gain*l.window.held
	spare := a.held < spareOccupancy*float64(limit)*levelWindow.Seconds()
	for priority := range a.arrivals {
		a.arrivals[priority] = keep*a.arrivals[priority] + gain*l.window.arrivals[priority]
		admitted := admittedShare(l.level, request.Priority(priority))
		l.share[priority] = keep*l.share[priority] + (1-keep)*admitted
		if l.share[priority] >= readableShare {
			l.demand[priority] = a.arrivals[priority] / l.share[priority]
		} else if spare {
			// What was shed may have gone: probe for it.
			l.demand[priority] *= keep
		}
	}
	l.window = levelCounts{}
	if spare && a.departures < readableRate {
		l.level = FullLevel
		return
	}
	capacity := float64(limit) * levelWindow.Seconds() * a.departures / a.held
	l.level = l.fill(l.margin * capacity)
}

// running returns the mean number of calls that run of late.
func (l *levels) running() float64 {
	return l.averages.held / levelWindow.Seconds()
}

// held returns how long a call holds its slot, with its calls to other
// services; zero where it is not known.
func (l *levels) held() time.Duration {
	if l.averages.departures < readableRate {
		return 0
	}
	return time.Duration(l.averages.held / l.averages.departures * float64(time.Second))
}

// fill returns the level at which the demand adds up to the rate.
func (l *levels) fill(rate float64) uint16 {
	left := rate
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
