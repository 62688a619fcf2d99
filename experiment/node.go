package experiment

import (
	"slices"
	"strconv"

	"auburngap/admission"
	"auburngap/route"
)

// node is the state of one node of the system: admission levels and the targets as
// its pickers see them.
type node struct {
	sim      *sim
	zone     int
	gate     *admission.Gate
	services []admission.ServiceID
	// paths lists the services of each route's call graph.
	paths [][]admission.ServiceID
	// pickers choose the targets of each service. connected marks the targets that a
	// call was sent to before.
	pickers   []*route.Picker
	connected []bool
}

// signal holds the levels of the services on an answer's path; zero means no level.
type signal [8]uint16

func newNode(s *sim, vm string, zone int) *node {
	n := &node{sim: s, zone: zone, gate: admission.NewGate(s.gateConfig()), connected: make([]bool, len(s.targets))}
	for _, service := range s.site.services {
		n.services = append(n.services, n.gate.Service(service.name))
		n.pickers = append(n.pickers, route.New(route.Config{VM: vm, Zone: zoneName(zone)}))
	}
	for i := range s.site.routes {
		n.paths = append(n.paths, n.path(&s.site.routes[i].call, nil))
	}
	n.updateTargets()
	return n
}

func (n *node) path(call *callSpec, seen []admission.ServiceID) []admission.ServiceID {
	id := n.services[call.service]
	if !slices.Contains(seen, id) {
		seen = append(seen, id)
	}
	for i := range call.downstream {
		seen = n.path(&call.downstream[i], seen)
	}
	return seen
}

// learn applies the levels of an answer.
func (n *node) learn(signal signal) {
	if !n.sim.policy.gate {
		return
	}
	for service, level := range signal {
		if level > 0 {
			n.gate.UpdateLevel(n.services[service], level, n.sim.now)
		}
	}
}

// updateTargets applies the directory's list, without the targets that the node
// cannot reach.
func (n *node) updateTargets() {
	lists := make([][]route.Target, len(n.pickers))
	for _, t := range n.sim.targets {
		if !t.dead && !n.sim.isPartitioned(n.zone, t.zone) {
			lists[t.service] = append(lists[t.service], t.entry())
		}
	}
	for service, list := range lists {
		n.pickers[service].Update(n.sim.now, list)
	}
}

func zoneName(zone int) string { return strconv.Itoa(zone) }
