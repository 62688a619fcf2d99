package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"auburngap/request"
)

// stream is the demand of one workspace on one route, in requests a second.
type stream struct {
	workspace, route int
	weight, demand   float64
	served           float64
}

// holding draws how long a call holds its slot, and adds the slot seconds of
// the call and its downstream calls to cost.
func (s *site) holding(call *callSpec, slow []float64, cost []float64, random *rand.Rand) float64 {
	total := s.services[call.service].serviceTime.Seconds() * slow[call.service] * drawOwn(random)
	longest := 0.0
	for i := range call.downstream {
		below := s.holding(&call.downstream[i], slow, cost, random) + 2*s.zoneDelay.Seconds()
		longest = max(longest, below)
		if !call.parallel {
			total += below
		}
	}
	if call.parallel {
		total += longest
	}
	cost[call.service] += total
	return total
}

// drawOwn draws a service time with mean 1: half fixed, half exponential.
func drawOwn(random *rand.Rand) float64 {
	return 0.5 + 0.5*random.ExpFloat64()
}

// costDraws is the number of draws for a mean cost. It is sampled because parallel
// calls end with the slowest, which cannot be derived from the mean of each.
const costDraws = 20_000

// costs returns the slot seconds of one request by route and service.
func (s *site) costs(slow []float64) [][]float64 {
	random := rand.New(rand.NewPCG(1, 1))
	table := make([][]float64, len(s.routes))
	for i := range s.routes {
		table[i] = make([]float64, len(s.services))
		for range costDraws {
			s.holding(&s.routes[i].call, slow, table[i], random)
		}
		for service := range table[i] {
			table[i][service] /= costDraws
		}
	}
	return table
}

// baseRate returns the requests a second of all workspaces at demand 1.
func (s *site) baseRate() float64 {
	table := s.costs(ones(len(s.services)))
	busiest := 0.0
	for i, service := range s.services {
		use := 0.0
		for r := range s.routes {
			use += s.routes[r].share * table[r][i]
		}
		busiest = max(busiest, use/float64(service.targets*service.slots))
	}
	return baseUtilization / busiest
}

func ones(n int) []float64 { return slices.Repeat([]float64{1}, n) }

// fill allocates the slots to the streams: higher priorities first, and within a
// priority all streams grow together in proportion to their weights until their
// demand is met or a service on their path is full.
func fill(streams []stream, routes []routeSpec, cost [][]float64, slots []float64) {
	remaining := slices.Clone(slots)
	for priority := range request.Priorities {
		var active []*stream
		for i := range streams {
			if routes[streams[i].route].priority == priority && streams[i].demand > 0 {
				active = append(active, &streams[i])
			}
		}
		for len(active) > 0 {
			step := largestStep(active, cost, remaining)
			for _, f := range active {
				f.served += step * f.weight
				for i, c := range cost[f.route] {
					remaining[i] -= step * f.weight * c
				}
			}
			active = unsatisfied(active, cost, remaining)
		}
	}
}

// largestStep returns how far all streams can grow until the demand of one is met or
// a service is full.
func largestStep(active []*stream, cost [][]float64, remaining []float64) float64 {
	step := math.Inf(1)
	use := make([]float64, len(remaining))
	for _, f := range active {
		step = min(step, (f.demand-f.served)/f.weight)
		for i, c := range cost[f.route] {
			use[i] += f.weight * c
		}
	}
	for i := range remaining {
		if use[i] > 0 {
			step = min(step, max(0, remaining[i])/use[i])
		}
	}
	return step
}

func unsatisfied(active []*stream, cost [][]float64, remaining []float64) []*stream {
	const full = 1e-6
	kept := active[:0]
	for _, f := range active {
		open := f.demand-f.served > full
		for i, c := range cost[f.route] {
			if c > 0 && remaining[i] < full {
				open = false
			}
		}
		if open {
			kept = append(kept, f)
		}
	}
	return kept
}

// best is the result of fill, in requests over the measured time.
type best struct {
	all, top   float64
	workspaces []float64
}

// topPriority is the highest priority present.
const topPriority request.Priority = 0

// bestPossible returns the most requests that could be served of those that arrived
// while the trigger lasted, summed over the partitions of the site.
func (s *sim) bestPossible(length time.Duration) best {
	result := best{workspaces: make([]float64, len(s.site.workspaces))}
	parts := 1
	if s.scenario.partitioned {
		parts = 2
	}
	slow := ones(len(s.site.services))
	slow[s.site.deepService()] = s.scenario.slow
	for part := range parts {
		streams := s.streamsOf(part, length)
		fill(streams, s.site.routes, s.site.costs(slow), s.slotsOf(part))
		for _, f := range streams {
			served := f.served * length.Seconds()
			result.all += served
			result.workspaces[f.workspace] += served
			if s.site.routes[f.route].priority == topPriority {
				result.top += served
			}
		}
	}
	return result
}

// partitionOf returns the partition that a zone belongs to while the site is
// partitioned.
func (s *sim) partitionOf(zone int) int {
	if s.scenario.partitioned && zone != 0 {
		return 1
	}
	return 0
}

func (s *sim) streamsOf(part int, length time.Duration) []stream {
	var streams []stream
	for w, workspace := range s.site.workspaces {
		for r := range s.site.routes {
			came := 0
			for zone := range s.site.zones {
				if s.partitionOf(zone) == part {
					came += s.record.arrivals[w][r][zone]
				}
			}
			if s.scenario.enforceRates {
				came = min(came, int(s.buckets[w].rate*(length+burstTime).Seconds()*s.site.routes[r].share))
			}
			streams = append(streams, stream{workspace: w, route: r, weight: workspace.weight * s.site.routes[r].share, demand: float64(came) / length.Seconds()})
		}
	}
	return streams
}

func (s *sim) slotsOf(part int) []float64 {
	slots := make([]float64, len(s.site.services))
	for _, t := range s.targets {
		if s.partitionOf(t.zone) == part && !t.excluded {
			slots[t.service] += float64(t.slots)
		}
	}
	return slots
}
