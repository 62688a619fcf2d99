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

// gate runs the admission gate for requests that enter at this node.
type gate struct {
	mu   sync.Mutex
	gate *admission.Gate
	// index is the bundle that paths were derived from.
	index *bundle.Index
	// paths holds, for each service, the service itself and all its downstream services.
	paths map[string][]admission.ServiceID
	// reached holds, for each route, the services that its requests reached recently and
	// when; it is nil if the bundle lists what each service calls.
	reached map[string]map[admission.ServiceID]time.Time
}

func newGate() *gate {
	return &gate{gate: admission.NewGate(admission.GateConfig{})}
}

// newLearningGate returns a gate for bundles that do not list what a service calls.
func newLearningGate() *gate {
	g := newGate()
	g.reached = make(map[string]map[admission.ServiceID]time.Time)
	return g
}

// admit reports whether a request is admitted, with all its downstream calls.
func (g *gate) admit(call *request.Call, weight float64, index *bundle.Index) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Admit(admission.Request{
		Priority:  call.Context.Priority,
		Workspace: call.Context.Workspace,
		Weight:    weight,
		Hash:      hashOf(call.Context.ID),
	}, g.servicesOf(call, index, now), now)
}

// servicesOf returns the services that a request may call.
func (g *gate) servicesOf(call *request.Call, index *bundle.Index, now time.Time) []admission.ServiceID {
	if g.reached == nil {
		return g.path(call.Service, index)
	}
	service := g.gate.Service(call.Service)
	return slices.AppendSeq([]admission.ServiceID{service}, g.otherReached(service, call.Context.Route, now))
}

// otherReached yields the services, except own, that requests of a route reached
// recently.
func (g *gate) otherReached(own admission.ServiceID, route string, now time.Time) iter.Seq[admission.ServiceID] {
	return func(yield func(admission.ServiceID) bool) {
		for service, at := range g.reached[route] {
			if service != own && now.Sub(at) < reachedTTL && !yield(service) {
				return
			}
		}
	}
}

// path returns the services that a request to service may call, by the bundle.
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

// reachedTTL is how long a service counts as reached by a route.
const reachedTTL = 20 * time.Second

// learn applies the loads that were reported with an answer or refusal to a
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
			g.recordReached(route, service, now)
		}
	}
}

func (g *gate) recordReached(route string, service admission.ServiceID, now time.Time) {
	services, ok := g.reached[route]
	if !ok {
		services = make(map[admission.ServiceID]time.Time)
		g.reached[route] = services
	}
	services[service] = now
}

// isLeaf reports whether requests of a call's route were seen to reach only the
// call's service.
func (g *gate) isLeaf(call *request.Call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.gate.Service(call.Service)
	for range g.otherReached(own, call.Context.Route, time.Now()) {
		return false
	}
	_, known := g.reached[call.Context.Route][own]
	return known
}

// overloaded reports whether a service sheds requests.
func (g *gate) overloaded(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Overloaded(g.gate.Service(service), time.Now())
}

// pathOverloaded reports whether any service that a call may reach sheds requests.
func (g *gate) pathOverloaded(call *request.Call, index *bundle.Index) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.servicesOf(call, index, now), func(service admission.ServiceID) bool {
		return g.gate.Overloaded(service, now)
	})
}
