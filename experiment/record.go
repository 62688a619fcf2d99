package experiment

import (
	"time"

	"auburngap/request"
)

// binLength divides the run for goodput over time and recovery.
const binLength = 500 * time.Millisecond

// record holds the counts of one run.
type record struct {
	// arrivals counts the customers that arrived while the trigger lasted, by
	// workspace, route and zone.
	arrivals [][][]int
	// bins hold the whole run over time.
	bins []bin
	best best
	// servedByWorkspace and servedByPriority count the measured customers served.
	servedByWorkspace  []int
	servedByPriority   [request.Priorities]int
	arrivalsByPriority [request.Priorities]int
	// firstRequestFailed counts those of customersWithinRate whose first request failed.
	customersWithinRate, firstRequestFailed int
	// inTime counts the measured customers that were served within their objective.
	inTime            int
	requests          int
	attempts, retries int
	worked, wasted    time.Duration
}

// bin counts customers by the time of their arrival.
type bin struct {
	arrived, servedAtFirst int
	// completed counts answers by the time they reached the customer.
	completed [request.Priorities]int
}

// served counts the answers that reached customers.
func (b bin) served() int { return sum(b.completed[:]) }

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func newRecord(s *site, length time.Duration) record {
	r := record{servedByWorkspace: make([]int, len(s.workspaces))}
	for range s.workspaces {
		byRoute := make([][]int, len(s.routes))
		for i := range byRoute {
			byRoute[i] = make([]int, s.zones)
		}
		r.arrivals = append(r.arrivals, byRoute)
	}
	r.bins = make([]bin, int((warmUp+length+recoveryWindow)/binLength)+1)
	return r
}

func binOf(at time.Time) int { return int(at.Sub(epoch) / binLength) }

func (r *record) arrival(s *sim, c *customer) {
	r.bins[binOf(c.arrived)].arrived++
	if !c.measured {
		return
	}
	r.arrivals[c.workspace][c.route][c.zone]++
	r.arrivalsByPriority[s.site.routes[c.route].priority]++
	if s.scenario.factor(c.workspace) <= 1 {
		r.customersWithinRate++
	}
}

// answered records the answer to one request of a customer.
func (r *record) answered(s *sim, c *customer, o outcome) {
	r.requests++
	priority := s.site.routes[c.route].priority
	if !o.ok {
		if c.measured && c.retries == 0 && s.scenario.factor(c.workspace) <= 1 {
			r.firstRequestFailed++
		}
		return
	}
	r.bins[binOf(s.now)].completed[priority]++
	if c.retries == 0 {
		r.bins[binOf(c.arrived)].servedAtFirst++
	}
	if c.measured && s.now.Sub(c.arrived) <= s.site.routes[c.route].objective {
		r.inTime++
	}
	// A customer served after the trigger's end counts only towards the recovery.
	if c.measured && s.active {
		r.servedByWorkspace[c.workspace]++
		r.servedByPriority[priority]++
	}
}

// shedOrder counts the calls that one target refuses although a less important call
// started while they waited there.
type shedOrder struct {
	lastStart           [request.Priorities]time.Time
	refusals, overtaken int
}

func (o *shedOrder) started(now time.Time, p request.Priority) {
	o.lastStart[p] = now
}

func (o *shedOrder) refused(arrived time.Time, p request.Priority) {
	o.refusals++
	for lower := p + 1; lower < request.Priorities; lower++ {
		if o.lastStart[lower].After(arrived) {
			o.overtaken++
			return
		}
	}
}
