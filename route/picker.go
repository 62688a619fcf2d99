package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"auburngap/request"
)

// Picker chooses a backend server of one service for each call. It is not safe for
// concurrent use.
type Picker struct {
	config  Config
	servers map[string]*server
	local   group
	remote  group
	// latency is the moving average of the latency at all servers.
	latency time.Duration
	// failureRate is the moving average, from 0 to 1, of the fraction of answers from all
	// servers that were failures.
	failureRate float64
	// generation counts the calls of Update, to identify the servers that the last one
	// listed.
	generation uint64
}

// New returns a Picker without servers.
func New(config Config) *Picker {
	return &Picker{config: config.withDefaults(), servers: make(map[string]*server)}
}

// Update replaces the list of servers by targets, which must not contain a VM
// twice. Servers that are still listed keep their state.
func (p *Picker) Update(now time.Time, targets []Target) {
	p.generation++
	changed := false
	for i := range targets {
		changed = p.setTarget(now, &targets[i]) || changed
	}
	for vm, s := range p.servers {
		if s.generation == p.generation {
			continue
		}
		changed = changed || s.listed
		s.listed = false
		if s.canForget(now) {
			delete(p.servers, vm)
		}
	}
	if changed {
		p.rebuildGroups()
	}
}

// setTarget adds or updates the server of one target and reports whether the groups
// must be rebuilt. The announced load is used only for a server that is new to this
// picker: it is out of date, and nodes that all follow it would send their calls to
// the same servers.
func (p *Picker) setTarget(now time.Time, target *Target) bool {
	s, known := p.servers[target.VM]
	if !known {
		s = &server{slowStartAt: target.Since}
		p.servers[target.VM] = s
	}
	relisted := !s.listed
	s.listed, s.generation = true, p.generation
	if !known {
		s.recordLoad(now, request.TopPriorityOccupancy(target.Load))
	}
	if !relisted && s.equalsIgnoringLoad(target) {
		return false
	}
	if known && target.Since.After(s.target.Since) {
		s.resetForRestart(target.Since)
	}
	copied := *target
	s.target = &copied
	return true
}

// equalsIgnoringLoad reports whether target equals the known target, ignoring the load.
func (s *server) equalsIgnoringLoad(target *Target) bool {
	known := *s.target
	known.Load = target.Load
	return known == *target
}

// resetForRestart resets the state that was observed in the backend server's earlier run.
func (s *server) resetForRestart(since time.Time) {
	s.slowStartAt = since
	s.limit = 0
	s.consecutiveFailures = 0
	s.drainingUntil = time.Time{}
	s.unreachableUntil = time.Time{}
}

// rebuildGroups rebuilds the node's subsets of local and remote servers.
func (p *Picker) rebuildGroups() {
	var local, remote []*server
	for _, s := range p.servers {
		switch {
		case !s.listed || s.target.Draining:
		case s.target.Zone == p.config.Zone:
			local = append(local, s)
		default:
			remote = append(remote, s)
		}
	}
	p.local = newGroup(subset(p.config.VM, sortByVM(local), p.config.SubsetSize))
	p.remote = newGroup(subset(p.config.VM, sortByVM(remote), p.config.RemoteSubsetSize))
}

// sortByVM sorts servers by VM, since the iteration order of a map is random.
func sortByVM(servers []*server) []*server {
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.target.VM, b.target.VM) })
	return servers
}

// Pick chooses a server for one call of the priority and counts the call as in
// flight. It returns false if no server accepts new work.
func (p *Picker) Pick(now time.Time, rng *rand.Rand, priority request.Priority) (Choice, bool) {
	return p.PickOther(now, rng, priority, Choice{})
}

// PickOther is Pick for a retry: it avoids the server that was tried before.
// It falls back to an ejected or unreachable server rather than returning none.
func (p *Picker) PickOther(now time.Time, rng *rand.Rand, priority request.Priority, tried Choice) (Choice, bool) {
	chosen := p.choose(now, rng, priority, tried.server)
	if chosen == nil {
		chosen = p.soonestUnavailable(now, tried.server)
	}
	if chosen == nil {
		return Choice{}, false
	}
	chosen.inFlight.Add(priority, 1)
	return Choice{Target: chosen.target, server: chosen, priority: priority}, true
}

// choose prefers the local zone while its utilization is below SpillThreshold, and also
// above that for a retry of a call that could not reach another zone.
func (p *Picker) choose(now time.Time, rng *rand.Rand, priority request.Priority, avoid *server) *server {
	local, utilization := p.local.bestOfTwo(p, now, rng, priority, avoid)
	remoteUnreachable := avoid != nil && avoid.target.Zone != p.config.Zone && now.Before(avoid.unreachableUntil)
	if local != nil && (utilization < p.config.SpillThreshold || remoteUnreachable) {
		return local
	}
	remote, remoteUtilization := p.remote.bestOfTwo(p, now, rng, priority, avoid)
	if remote == nil {
		return local
	}
	if local != nil && utilization <= remoteUtilization+p.config.SpillPenalty {
		return local
	}
	return remote
}

// soonestUnavailable returns the ejected or unreachable server that becomes available
// first; nil if there is none.
func (p *Picker) soonestUnavailable(now time.Time, avoid *server) *server {
	var soonest *server
	for _, g := range []group{p.local, p.remote} {
		for _, s := range g.servers {
			if s == avoid || s.isDraining(now) || s.isAvailable(now) {
				continue
			}
			if soonest == nil || s.unavailableUntil().Before(soonest.unavailableUntil()) {
				soonest = s
			}
		}
	}
	return soonest
}

// Observe records the load signal of an answer: the calls in flight or queued and
// the concurrency limit, as counted by the node beside the server.
func (p *Picker) Observe(now time.Time, choice Choice, inFlight request.Occupancy, limit int) {
	s := choice.server
	s.recordLoad(now, inFlight)
	s.limit = limit
}

// Done ends the call of a choice. The latency is used only with Succeeded.
func (p *Picker) Done(now time.Time, choice Choice, result Result, latency time.Duration) {
	s := choice.server
	s.inFlight.Add(choice.priority, -1)
	switch result {
	case Cancelled:
	case Succeeded:
		s.resetFailures()
		s.observeLatency(now, latency)
		p.latency = movingAverage(p.latency, latency)
		p.observeOutcome(now, s, 0)
	case FailedAnswer:
		s.resetFailures()
		p.observeOutcome(now, s, 1)
	case Failed:
		p.recordFailure(now, s)
	case Overloaded:
		s.recordOverload(now, choice.priority)
	case Draining:
		s.drainingUntil = now.Add(p.config.DrainingTTL)
	case Unreachable:
		s.unreachableUntil = now.Add(p.config.Unreachable)
	}
}

// observeOutcome records whether a server failed a call: 1 if so, else 0.
func (p *Picker) observeOutcome(now time.Time, s *server, failed float64) {
	s.observeOutcome(now, failed)
	p.failureRate += meanOutcomeWeight * (failed - p.failureRate)
}

// recordFailure counts a failure and ejects the server after too many in a row, unless
// too few servers would be left.
func (p *Picker) recordFailure(now time.Time, s *server) {
	s.consecutiveFailures++
	if s.consecutiveFailures < p.config.ConsecutiveFailures || now.Before(s.ejectedUntil) {
		return
	}
	g, other := &p.remote, &p.local
	if p.local.contains(s) {
		g, other = &p.local, &p.remote
	}
	if g.canEject(now, p.config.MaxEjectedFraction, other) {
		s.eject(now, &p.config)
	}
}

// Subset returns the targets that this node uses, those of the local zone first.
func (p *Picker) Subset() []Target {
	targets := make([]Target, 0, len(p.local.servers)+len(p.remote.servers))
	for _, g := range []group{p.local, p.remote} {
		for _, s := range g.servers {
			targets = append(targets, *s.target)
		}
	}
	return targets
}
