package admission

import (
	"math"
	"time"

	"auburngap/request"
)

const (
	// fairRateWindow is the time between two estimates of the fair rate.
	fairRateWindow = 100 * time.Millisecond
	// fairRateStep bounds the change of the fair rate in one window.
	fairRateStep = 1.5
)

// fairRate estimates, for one service and priority, the rate for each unit of
// weight at which the workspaces' capped demands add up to the admitted share
// (the core-stateless fair queueing of Stoica, Shenker and Zhang).
type fairRate struct {
	rate      float64
	windowEnd time.Time
	// offered and passed count the window's requests; passed is weighed by part.
	offered, passed float64
	// peak is the window's largest demand for each unit of weight.
	peak float64
}

// part returns the part of a workspace's requests to admit, given the admitted
// share of all and the workspace's demand for each unit of weight.
func (f *fairRate) part(now time.Time, share, demand float64) float64 {
	if !now.Before(f.windowEnd) {
		f.endWindow(share)
		f.windowEnd = now.Add(fairRateWindow)
	}
	part := share
	if share > 0 && share < 1 && f.rate > 0 {
		part = min(1, f.rate/demand)
	}
	f.offered++
	f.passed += part
	f.peak = max(f.peak, demand)
	return part
}

func (f *fairRate) endWindow(share float64) {
	switch {
	case share >= 1 || share <= 0:
		f.rate = 0
	case f.rate == 0:
		f.rate = f.peak
	case f.passed > 0:
		change := share * f.offered / f.passed
		f.rate *= min(max(change, 1/fairRateStep), fairRateStep)
		f.rate = min(f.rate, f.peak)
	}
	f.offered, f.passed = 0, 0
	f.peak *= 0.9
}

type demandKey struct {
	workspace string
	service   ServiceID
	priority  request.Priority
}

// demand is the request rate of a workspace for one service and priority.
type demand struct {
	key  demandKey
	rate float64
	last time.Time
}

// arrive counts a request and returns the rate before it, averaged
// exponentially over the window. With the request itself the rate of a rare
// caller would read too high each time that it is looked at.
func (d *demand) arrive(now time.Time, window time.Duration) float64 {
	age := now.Sub(d.last)
	d.last = now
	before := d.rate * math.Exp(-age.Seconds()/window.Seconds())
	d.rate = before + 1/window.Seconds()
	return before
}

// demandIdle is when a demand without arrivals is forgotten.
const demandIdle = time.Minute

func (g *Gate) demandOf(key demandKey, now time.Time) *demand {
	if found, ok := g.demands[key]; ok {
		return found
	}
	d := g.recycle(now)
	*d = demand{key: key}
	g.demands[key] = d
	return d
}

// recycle returns an idle demand taken out of use, or a new one.
func (g *Gate) recycle(now time.Time) *demand {
	if len(g.ring) > 0 {
		g.sweep = (g.sweep + 1) % len(g.ring)
		if idle := g.ring[g.sweep]; now.Sub(idle.last) > demandIdle {
			delete(g.demands, idle.key)
			return idle
		}
	}
	d := &demand{}
	g.ring = append(g.ring, d)
	return d
}
