package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"auburngap/admission"
	"auburngap/retry"
)

// epoch is the time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim is one run of one policy through one scenario.
type sim struct {
	site     site
	scenario scenario
	policy   policy
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	targets  []*target
	byVM     map[string]*target
	// nodes has one node for each target.
	nodes   []*node
	retries *retry.Policy
	record  record
	// buckets limit the workspaces to their rates; they stand in for package share.
	buckets []bucket
	// active is true while the scenario's trigger lasts.
	active bool
}

func newSim(s site, sc scenario, p policy, seed uint64) *sim {
	run := &sim{site: s, scenario: sc, policy: p, now: epoch, random: rand.New(rand.NewPCG(seed, 1))}
	run.retries = retry.NewPolicy(retry.Config{})
	run.record = newRecord(&run.site, sc.length)
	for i, service := range s.services {
		for k := range service.targets {
			run.targets = append(run.targets, newTarget(run, len(run.targets), i, k%s.zones))
		}
	}
	run.byVM = make(map[string]*target)
	for _, t := range run.targets {
		run.byVM[t.vm()] = t
	}
	for _, t := range run.targets {
		run.nodes = append(run.nodes, newNode(run, t.vm(), t.zone))
	}
	return run
}

// after schedules a function to run after the delay.
func (s *sim) after(delay time.Duration, run func()) {
	s.events.push(s.now.Add(delay).Sub(epoch), run)
}

// run simulates the whole scenario.
func (s *sim) run() {
	rate := s.site.baseRate()
	weights := 0.0
	for _, w := range s.site.workspaces {
		weights += w.weight
	}
	for w := range s.site.workspaces {
		usual := rate * s.site.workspaces[w].weight / weights
		s.buckets = append(s.buckets, newBucket(rateFactor*usual))
		for r := range s.site.routes {
			s.arrivals(w, r, usual*s.site.routes[r].share)
		}
	}
	s.after(warmUp, s.startTrigger)
	s.after(warmUp+s.scenario.length, s.endTrigger)
	for _, t := range s.targets {
		s.report(t)
	}
	end := warmUp + s.scenario.length + recoveryWindow
	for len(s.events.events) > 0 {
		e := s.events.pop()
		if e.at > end {
			return
		}
		s.now = epoch.Add(e.at)
		e.run()
	}
}

// arrivals starts customers of one workspace and route at random times (open loop:
// whether or not earlier ones have been served).
func (s *sim) arrivals(workspace, route int, rate float64) {
	factor := 1.0
	if s.active {
		factor = s.scenario.factor(workspace)
	}
	gap := time.Duration(s.random.ExpFloat64() / (rate * factor) * float64(time.Second))
	// A changed rate takes effect within a tenth of a second.
	const step = 100 * time.Millisecond
	if gap > step {
		s.after(step, func() { s.arrivals(workspace, route, rate) })
		return
	}
	s.after(gap, func() {
		s.arrive(workspace, route)
		s.arrivals(workspace, route, rate)
	})
}

func (s *sim) startTrigger() {
	s.active = true
	deep := s.site.deepService()
	for _, t := range s.targets {
		if t.service == deep {
			t.slow = s.scenario.slow
		}
	}
	s.targets[0].stuck = s.scenario.stuck
	if s.scenario.servers {
		s.breakServers()
	}
	s.announce()
}

// breakServers kills the first server of service 0, restarts the first of
// service 1 cold and drains the first of service 2.
func (s *sim) breakServers() {
	s.firstTarget(0).die()
	cold := s.firstTarget(1)
	cold.die()
	s.after(time.Second, cold.restart)
	drained := s.firstTarget(2)
	drained.draining, drained.excluded = true, true
}

func (s *sim) firstTarget(service int) *target {
	return s.targets[slices.IndexFunc(s.targets, func(t *target) bool { return t.service == service })]
}

func (s *sim) endTrigger() {
	s.record.best = s.bestPossible(s.scenario.length)
	s.active = false
	for _, t := range s.targets {
		t.slow, t.stuck = 1, false
		if t.draining {
			t.draining, t.excluded = false, false
		}
		if t.dead {
			t.restart()
		}
	}
	s.announce()
}

// announce sends a directory change to every node, unless the platform is down.
func (s *sim) announce() {
	if s.scenario.frozen {
		return
	}
	s.after(directoryLag, func() {
		for _, n := range s.nodes {
			n.updateTargets()
		}
	})
}

// isPartitioned reports whether two zones cannot reach each other now.
func (s *sim) isPartitioned(a, b int) bool {
	return s.active && s.partitionOf(a) != s.partitionOf(b)
}

func (s *sim) delay(a, b int) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	return s.site.zoneDelay
}

func (s *sim) gateConfig() admission.GateConfig {
	return admission.GateConfig{Unfair: !s.policy.fair}
}

// bucket is a token bucket shared by all nodes.
type bucket struct {
	rate, tokens float64
	last         time.Time
}

func newBucket(rate float64) bucket {
	return bucket{rate: rate, tokens: rate * burstTime.Seconds(), last: epoch}
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.rate*burstTime.Seconds(), b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
