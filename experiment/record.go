package experiment

import (
	"time"

	"auburngap/request"
)

// binLength divides the run for goodput over time and recovery.
const binLength = 500 * time.Millisecond

// record counts what one run shows.
type record struct {
	// came counts the customers that came while the trigger lasted, by
	// workspace, route and zone.
	came [][][]int
	// bins hold the whole run over time.
	bins []bin
	best best
	// got counts the measured customers served, by workspace and by priority.
	gotWorkspace []int
	gotPriority  [request.Priorities]int
	cameAt       [request.Priorities]int
	// firstRefused counts customers within their rate whose first request failed, of firstCame.
	firstCame, firstRefused int
	// inTime counts the measured customers that were served within their objective.
	inTime            int
	requests          int
	attempts, retries int
	worked, wasted    time.Duration
}

// bin counts customers by the time of their arrival.
type bin struct {
	came, first int
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
	r := record{gotWorkspace: make([]int, len(s.workspaces))}
	for range s.workspaces {
		byRoute := make([][]int, len(s.routes))
		for i := range byRoute {
			byRoute[i] = make([]int, s.zones)
		}
		r.came = append(r.came, byRoute)
	}
	r.bins = make([]bin, int((warmUp+length+aftermath)/binLength)+1)
	return r
}

func binOf(at time.Time) int { return int(at.Sub(epoch) / binLength) }

func (r *record) arrival(s *sim, c *customer) {
	r.bins[binOf(c.arrived)].came++
	if !c.measured {
		return
	}
	r.came[c.workspace][c.route][c.zone]++
	r.cameAt[s.site.routes[c.route].priority]++
	if s.scenario.factor(c.workspace) <= 1 {
		r.firstCame++
	}
}

// answered records the answer to one request of a customer.
func (r *record) answered(s *sim, c *customer, o outcome) {
	r.requests++
	priority := s.site.routes[c.route].priority
	if !o.ok {
		if c.measured && c.repeats == 0 && s.scenario.factor(c.workspace) <= 1 {
			r.firstRefused++
		}
		return
	}
	r.bins[binOf(s.now)].completed[priority]++
	if c.repeats == 0 {
		r.bins[binOf(c.arrived)].first++
	}
	if c.measured && s.now.Sub(c.arrived) <= s.site.routes[c.route].objective {
		r.inTime++
	}
	// A customer served after the trigger's end counts towards the recovery alone.
	if c.measured && s.active {
		r.gotWorkspace[c.workspace]++
		r.gotPriority[priority]++
	}
}

// shedOrder watches one target for calls that are refused although a less
// important one has started while they waited there.
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
