package admission

import (
	"math"
	"time"

	"auburngap/request"
)

const (
	// fairRateWindow is the time between two estimates of the fair rate.
	fairRateWindow = 100 * time.Millisecond
	// maxFairRateStep is the largest factor by which the fair rate changes in one window.
	maxFairRateStep = 1.5
)

// fairRate estimates the fair rate of one service and priority. This is the rate per
// unit of weight such that, if each workspace's demand is capped at it, the demands
// add up to the admitted fraction (core-stateless fair queueing by Stoica, Shenker and
// Zhang).
type fairRate struct {
	rate      float64
	windowEnd time.Time
	// offered is the number of requests in the window, and admitted the expected number
	// of them that were admitted.
	offered, admitted float64
	// maxDemand is the largest demand per unit of weight in the window. It decays by a
	// tenth with each window.
	maxDemand float64
}

// fraction returns the fraction of a workspace's requests to admit, given the admitted
// fraction of all requests and the workspace's demand per unit of weight.
func (f *fairRate) fraction(now time.Time, overall, demand float64) float64 {
	if !now.Before(f.windowEnd) {
		f.endWindow(overall)
		f.windowEnd = now.Add(fairRateWindow)
	}
	fraction := overall
	if overall > 0 && overall < 1 && f.rate > 0 {
		fraction = min(1, f.rate/demand)
	}
	f.offered++
	f.admitted += fraction
	f.maxDemand = max(f.maxDemand, demand)
	return fraction
}

func (f *fairRate) endWindow(overall float64) {
	switch {
	case overall >= 1 || overall <= 0:
		f.rate = 0
	case f.rate == 0:
		f.rate = f.maxDemand
	case f.admitted > 0:
		change := overall * f.offered / f.admitted
		f.rate *= min(max(change, 1/maxFairRateStep), maxFairRateStep)
		f.rate = min(f.rate, f.maxDemand)
	}
	f.offered, f.admitted = 0, 0
	f.maxDemand *= 0.9
}

type demandKey struct {
	workspace string
	service   ServiceID
	priority  request.Priority
}

// demand is the request rate of a workspace for one service and priority, in requests
// per second.
type demand struct {
	key  demandKey
	rate float64
	last time.Time
}

// recordArrival counts a request and returns the rate before it, as an exponential
// moving average over the window. The request itself is left out: the rate of a
// workspace with few requests is read only at its requests and would always be too
// high.
func (d *demand) recordArrival(now time.Time, window time.Duration) float64 {
	age := now.Sub(d.last)
	d.last = now
	before := d.rate * math.Exp(-age.Seconds()/window.Seconds())
	d.rate = before + 1/window.Seconds()
	return before
}

// demandIdleTime is the time without arrivals after which a demand may be removed.
const demandIdleTime = time.Minute

func (g *Gate) demandFor(key demandKey, now time.Time) *demand {
	if found, ok := g.demands[key]; ok {
		return found
	}
	d := g.reuseOrAddDemand(now)
	*d = demand{key: key}
	g.demands[key] = d
	return d
}

// reuseOrAddDemand returns a demand for reuse: one that has been idle, or a new one.
func (g *Gate) reuseOrAddDemand(now time.Time) *demand {
	if len(g.allDemands) > 0 {
		g.sweepIndex = (g.sweepIndex + 1) % len(g.allDemands)
		if idle := g.allDemands[g.sweepIndex]; now.Sub(idle.last) > demandIdleTime {
			delete(g.demands, idle.key)
			return idle
		}
	}
	d := &demand{}
	g.allDemands = append(g.allDemands, d)
	return d
}
