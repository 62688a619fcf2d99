package node

import (
	"iter"
	"slices"
	"sync"
	"time"

	"auburngap/admission"
	"auburngap/bundle"
	"auburngap/request"
)

// gate runs the admission gate of this node as an entry.
type gate struct {
	mu   sync.Mutex
	gate *admission.Gate
	// index is the bundle that paths were made from.
	index *bundle.Index
	// paths holds, for each service, itself and all that it may call below.
	paths map[string][]admission.ServiceID
	// reached holds, for each route, the services that its requests reached of
	// late; nil where the bundle tells what a service calls.
	reached map[string]map[admission.ServiceID]time.Time
}

func newGate() *gate {
	return &gate{gate: admission.NewGate(admission.GateConfig{})}
}

// newLearningGate returns a gate for bundles that do not tell what a service calls.
func newLearningGate() *gate {
	g := newGate()
	g.reached = make(map[string]map[admission.ServiceID]time.Time)
	return g
}

// admit tells whether a whole request is taken.
func (g *gate) admit(call *request.Call, weight float64, index *bundle.Index) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Admit(admission.Request{
		Priority:  call.Context.Priority,
		Workspace: call.Context.Workspace,
		Weight:    weight,
		Hash:      hashOf(call.Context.ID),
	}, g.pathOf(call, index, now), now)
}

// pathOf returns the services that a request may call.
func (g *gate) pathOf(call *request.Call, index *bundle.Index, now time.Time) []admission.ServiceID {
	if g.reached == nil {
		return g.path(call.Service, index)
	}
	own := g.gate.Service(call.Service)
	return slices.AppendSeq([]admission.ServiceID{own}, g.reachedBeside(own, call.Context.Route, now))
}

// reachedBeside yields the services that requests of a route reached of late, but
// for their own.
func (g *gate) reachedBeside(own admission.ServiceID, route string, now time.Time) iter.Seq[admission.ServiceID] {
	return func(yield func(admission.ServiceID) bool) {
		for service, at := range g.reached[route] {
			if service != own && now.Sub(at) < reachedMemory && !yield(service) {
				return
			}
		}
	}
}

// path returns the services that a request to service may call.
func (g *gate) path(service string, index *bundle.Index) []admission.ServiceID {
	if g.index != index {
		g.index = index
		g.paths = make(map[string][]admission.ServiceID)
	}
	if path, ok := g.paths[service]; ok {
		return path
	}
	var path []admission.ServiceID
	for _, name := range index.ReachableServices(service) {
		path = append(path, g.gate.Service(name))
	}
	g.paths[service] = path
	return path
}

// reachedMemory is how long a service counts as reached by a route.
const reachedMemory = 20 * time.Second

// learn takes in the loads that came back with an answer or refusal to a
// request of a route.
func (g *gate) learn(route string, loads []request.ServiceLoad) {
	if len(loads) == 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, load := range loads {
		service := g.gate.Service(load.Service)
		if !load.Draining {
			g.gate.UpdateLevel(service, load.AdmitLevel, now)
		}
		if g.reached != nil {
			g.reach(route, service, now)
		}
	}
}

func (g *gate) reach(route string, service admission.ServiceID, now time.Time) {
	services, ok := g.reached[route]
	if !ok {
		services = make(map[admission.ServiceID]time.Time)
		g.reached[route] = services
	}
	services[service] = now
}

// isLeaf tells whether requests of a call's route were seen to reach its own
// service alone.
func (g *gate) isLeaf(call *request.Call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.gate.Service(call.Service)
	for range g.reachedBeside(own, call.Context.Route, time.Now()) {
		return false
	}
	_, known := g.reached[call.Context.Route][own]
	return known
}

// overloaded tells whether a service sheds requests.
func (g *gate) overloaded(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Overloaded(g.gate.Service(service), time.Now())
}

// overloadedBelow tells whether any service that a call may reach sheds requests.
func (g *gate) overloadedBelow(call *request.Call, index *bundle.Index) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.pathOf(call, index, now), func(service admission.ServiceID) bool {
		return g.gate.Overloaded(service, now)
	})
}
