package admission

import (
	"math"
	"time"

	"auburngap/request"
)

const (
	// levelWindow is the time between two decisions on the admission level.
	levelWindow = 100 * time.Millisecond
	// levelAveragingTime is the time constant of the moving averages.
	levelAveragingTime = 500 * time.Millisecond
	// minReadableFraction is the smallest admitted fraction from which demand can be
	// inferred.
	minReadableFraction = 1.0 / 1024
	// spareOccupancy is the fraction of the slots in use below which the server has spare
	// capacity for requests whose demand cannot be inferred from an admitted fraction.
	spareOccupancy = 0.9
	// minReadableThroughput is the smallest number of calls per window from which the
	// capacity of a server with spare slots can be inferred. A server without spare
	// slots that ends no calls has no capacity.
	minReadableThroughput = 0.05
)

// levelController decides the admission level of one backend server. It estimates the
// rate that the server can serve with Little's law, from its concurrency limit and the
// time for which calls hold a slot. It then admits the demand of the priorities up to
// that rate, the most important first.
type levelController struct {
	// margin is the admitted rate as a multiple of the capacity.
	margin float64
	level  uint16
	// averages holds the moving averages of the counts per window.
	averages levelCounts
	// admittedFractions is the moving average of the admitted fraction of each priority,
	// over the same time as averages.arrivals.
	admittedFractions [request.Priorities]float64
	// demand is the estimated number of arrivals per window without shedding.
	demand [request.Priorities]float64
	// throughput is the estimated number of calls per window that the slots in use serve.
	throughput float64

	windowEnd, lastAdvance time.Time
	window                 levelCounts
	// totalSlotTime is the sum of levelCounts.slotTime over all windows so far.
	totalSlotTime float64
}

// levelCounts are the counts of one window.
type levelCounts struct {
	arrivals           [request.Priorities]float64
	starts, departures float64
	// slotTime is the integral over time of the number of slots in use, in slot seconds.
	slotTime float64
}

func newLevelController(margin float64) levelController {
	l := levelController{level: FullLevel, margin: margin}
	for priority := range l.admittedFractions {
		l.admittedFractions[priority] = 1
	}
	return l
}

func (l *levelController) offered(priority request.Priority) { l.window.arrivals[priority]++ }

func (l *levelController) started() { l.window.starts++ }

func (l *levelController) departed() { l.window.departures++ }

// advance accounts for the slots in use up to now and ends the window when it is due.
func (l *levelController) advance(now time.Time, inFlight, limit int) {
	if l.lastAdvance.IsZero() {
		l.lastAdvance, l.windowEnd = now, now.Add(levelWindow)
		return
	}
	slotTime := float64(inFlight) * now.Sub(l.lastAdvance).Seconds()
	l.window.slotTime += slotTime
	l.totalSlotTime += slotTime
	l.lastAdvance = now
	if now.Before(l.windowEnd) {
		return
	}
	l.endWindow(now.Sub(l.windowEnd)+levelWindow, limit)
	l.windowEnd = now.Add(levelWindow)
}

func (l *levelController) endWindow(length time.Duration, limit int) {
	decay := math.Exp(-length.Seconds() / levelAveragingTime.Seconds())
	gain := (1 - decay) * float64(levelWindow) / float64(length)
	a := &l.averages
	a.starts = decay*a.starts + gain*l.window.starts
	a.departures = decay*a.departures + gain*l.window.departures
	a.slotTime = decay*a.slotTime + gain*l.window.slotTime
	hasSpare := a.slotTime < spareOccupancy*float64(limit)*levelWindow.Seconds()
	for priority := range a.arrivals {
		a.arrivals[priority] = decay*a.arrivals[priority] + gain*l.window.arrivals[priority]
		admitted := admittedFraction(l.level, request.Priority(priority))
		l.admittedFractions[priority] = decay*l.admittedFractions[priority] + (1-decay)*admitted
		if l.admittedFractions[priority] >= minReadableFraction {
			l.demand[priority] = a.arrivals[priority] / l.admittedFractions[priority]
		} else if hasSpare {
			// The shed demand may have ended: lower the estimate, so that some
			// requests are admitted and show it.
			l.demand[priority] *= decay
		}
	}
	l.window = levelCounts{}
	l.throughput = a.departures
	if hasSpare {
		// After a rise of the load, calls hold slots of which none has ended yet.
		l.throughput = max(a.departures, a.starts)
	}
	if hasSpare && l.throughput < minReadableThroughput {
		l.level = FullLevel
		return
	}
	capacity := float64(limit) * levelWindow.Seconds() * l.throughput / a.slotTime
	l.level = l.levelForRate(l.margin * capacity)
}

// meanRunning returns the recent mean number of running calls.
func (l *levelController) meanRunning() float64 {
	return l.averages.slotTime / levelWindow.Seconds()
}

// usage returns the recent use of the server.
func (l *levelController) usage() usage {
	return usage{meanRunning: l.meanRunning(), slotTime: l.totalSlotTime, shedding: l.level < FullLevel}
}

// slotTime returns how long a call holds its slot, including its calls to other
// services; zero if unknown.
func (l *levelController) slotTime() time.Duration {
	if l.throughput < minReadableThroughput {
		return 0
	}
	return time.Duration(l.averages.slotTime / l.throughput * float64(time.Second))
}

// levelForRate returns the level at which the admitted demand adds up to the rate.
func (l *levelController) levelForRate(rate float64) uint16 {
	remaining := rate
	for priority, demand := range l.demand {
		if remaining < demand {
			fraction := uint16(remaining / demand * LevelsPerPriority)
			return max(1, uint16(priority)*LevelsPerPriority+fraction)
		}
		remaining -= demand
	}
	return FullLevel
}

// admittedFraction returns the fraction of a priority's requests that a level admits.
func admittedFraction(level uint16, priority request.Priority) float64 {
	above := int(level) - int(priority)*LevelsPerPriority
	return float64(min(max(above, 0), LevelsPerPriority)) / LevelsPerPriority
}
