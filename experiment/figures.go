package experiment

import (
	"math"
	"slices"
	"time"

	"auburngap/request"
)

// Figures are the measurements of one run. Fractions go from 0 to 1.
type Figures struct {
	// GoodputAll and GoodputTop are whole customer requests served while the
	// trigger lasted, as a fraction of the best possible. GoodputTop counts only the
	// highest priority.
	GoodputAll float64 `json:"goodputAll"`
	GoodputTop float64 `json:"goodputTop"`
	// RecoverySeconds is the time from the trigger's end to the start of the first two
	// seconds in which customers served are 95% of the new customers; -1 means never.
	RecoverySeconds float64 `json:"recoverySeconds"`
	// CalmSeconds is the time to the start of the first two seconds in which 95% of
	// the new customers are served at their first request; -1 means never.
	CalmSeconds float64 `json:"calmSeconds"`
	// WorstServed is the fraction of its fair share that the least-served workspace got.
	WorstServed float64 `json:"worstServed"`
	// Wrongful is the fraction of customers within their rate whose first request failed.
	Wrongful float64 `json:"wrongful"`
	// AttemptsPerRequest counts attempts at backend servers for each customer request.
	AttemptsPerRequest float64 `json:"attemptsPerRequest"`
	// Wasted is the fraction of the servers' work done for requests that failed.
	Wasted float64 `json:"wasted"`
	// Overtaken is the fraction of refusals at servers in which a less important call
	// started while the refused call waited there.
	Overtaken float64 `json:"overtaken"`
	// ServedByPriority is the fraction of customers served, by priority.
	ServedByPriority []float64 `json:"servedByPriority"`
}

func (s *sim) figures() Figures {
	r := &s.record
	return Figures{
		GoodputAll:         ratio(float64(sum(r.servedByWorkspace)), r.best.all),
		GoodputTop:         ratio(float64(r.servedByPriority[topPriority]), r.best.top),
		RecoverySeconds:    s.secondsUntilRecovered(bin.served),
		CalmSeconds:        s.secondsUntilRecovered(func(b bin) int { return b.servedAtFirst }),
		WorstServed:        s.worstServed(),
		Wrongful:           ratio(float64(r.firstRequestFailed), float64(r.customersWithinRate)),
		AttemptsPerRequest: ratio(float64(r.attempts), float64(r.requests)),
		Wasted:             ratio(float64(r.wasted), float64(r.worked)),
		Overtaken:          s.overtaken(),
		ServedByPriority:   s.servedByPriority(),
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (s *sim) worstServed() float64 {
	worst := math.Inf(1)
	for w, n := range s.record.servedByWorkspace {
		worst = min(worst, ratio(float64(n), s.record.best.workspaces[w]))
	}
	return worst
}

// secondsUntilRecovered returns the time from the trigger's end to the first two
// seconds in which the counted customers are 95% of the new ones; -1 means never.
func (s *sim) secondsUntilRecovered(count func(bin) int) float64 {
	const bins, share = 4, 0.95
	first := int((warmUp + s.scenario.length) / binLength)
	for start := first; start+bins < len(s.record.bins)-bins; start++ {
		came, counted := 0, 0
		for _, b := range s.record.bins[start : start+bins] {
			came += b.arrived
			counted += count(b)
		}
		if float64(counted) >= share*float64(came) {
			return (time.Duration(start-first) * binLength).Seconds()
		}
	}
	return -1
}

func (s *sim) overtaken() float64 {
	refusals, overtaken := 0, 0
	for _, t := range s.targets {
		refusals += t.shed.refusals
		overtaken += t.shed.overtaken
	}
	return ratio(float64(overtaken), float64(refusals))
}

func (s *sim) servedByPriority() []float64 {
	var list []float64
	for p := range request.Priorities {
		if s.record.arrivalsByPriority[p] > 0 {
			list = append(list, ratio(float64(s.record.servedByPriority[p]), float64(s.record.arrivalsByPriority[p])))
		}
	}
	return list
}

// Spread is the minimum, median and maximum of a figure over the runs.
type Spread struct {
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

func spread(runs []Figures, of func(Figures) float64) Spread {
	var values []float64
	for _, run := range runs {
		values = append(values, of(run))
	}
	slices.Sort(values)
	return Spread{Min: values[0], Median: values[len(values)/2], Max: values[len(values)-1]}
}
