package experiment

import (
	"time"

	"auburngap/admission"
)

// node is what one node of the system knows: levels, its own counts, and what
// came back with answers.
type node struct {
	sim      *sim
	zone     int
	gate     *admission.Gate
	services []admission.ServiceID
	// paths lists the services of each route's call graph.
	paths [][]admission.ServiceID
	views []view
}

// view is what a node knows of a target.
type view struct {
	// inFlight counts the node's own calls; load is the target's as it answered.
	inFlight, load int
	limit          int
	ejected        time.Time
	connected      bool
}

// signal is what an answer tells of the services on its path: the levels, zero
// where there is none.
type signal [8]uint16

const ejection = time.Second

func newNode(s *sim, zone int) *node {
	n := &node{sim: s, zone: zone, gate: admission.NewGate(s.gateConfig()), views: make([]view, len(s.targets))}
	for _, service := range s.site.services {
		n.services = append(n.services, n.gate.Service(service.name))
	}
	for i := range s.site.routes {
		n.paths = append(n.paths, n.path(&s.site.routes[i].call, nil))
	}
	for i, t := range s.targets {
		n.views[i].limit = t.announced
	}
	return n
}

func (n *node) path(call *callSpec, seen []admission.ServiceID) []admission.ServiceID {
	id := n.services[call.service]
	found := false
	for _, other := range seen {
		found = found || other == id
	}
	if !found {
		seen = append(seen, id)
	}
	for i := range call.below {
		seen = n.path(&call.below[i], seen)
	}
	return seen
}

// learn takes in the levels of an answer.
func (n *node) learn(signal signal) {
	if !n.sim.policy.gate {
		return
	}
	for service, level := range signal {
		if level > 0 {
			n.gate.Learn(n.services[service], level, n.sim.now)
		}
	}
}

// choose picks a target: the better of two at random in the own zone, or in
// all zones once that one is busy; nil where there is none.
func (n *node) choose(service int) *target {
	local := n.pick(service, true)
	if local != nil && n.load(local) < 0.8 {
		return local
	}
	other := n.pick(service, false)
	if other == nil || (local != nil && n.load(local) <= n.load(other)) {
		return local
	}
	return other
}

func (n *node) pick(service int, local bool) *target {
	var candidates []*target
	for _, t := range n.sim.targets {
		if t.service == service && (!local || t.zone == n.zone) && n.usable(t) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	a := candidates[n.sim.random.IntN(len(candidates))]
	b := candidates[n.sim.random.IntN(len(candidates))]
	if n.load(b) < n.load(a) {
		return b
	}
	return a
}

func (n *node) usable(t *target) bool {
	if !t.listed && !n.sim.scenario.frozen {
		return false
	}
	return !n.sim.apart(n.zone, t.zone) && !n.sim.now.Before(n.views[t.index].ejected)
}

// load is a target's use as a part of its limit.
func (n *node) load(t *target) float64 {
	v := &n.views[t.index]
	if n.sim.policy.measured {
		return float64(max(v.load, v.inFlight)) / float64(max(1, v.limit))
	}
	return float64(t.reported+v.inFlight) / float64(t.announced)
}
