package node

import (
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
}

func newGate() *gate {
	return &gate{gate: admission.NewGate(admission.GateConfig{})}
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
	}, g.path(call.Service, index), now)
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
	for _, name := range index.Path(service) {
		path = append(path, g.gate.Service(name))
	}
	g.paths[service] = path
	return path
}

// learn takes in the loads that came back with an answer or refusal.
func (g *gate) learn(loads []request.ServiceLoad) {
	if len(loads) == 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, load := range loads {
		if !load.Draining {
			g.gate.Learn(g.gate.Service(load.Service), load.AdmitLevel, now)
		}
	}
}

// overloaded tells whether a service sheds requests.
func (g *gate) overloaded(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Overloaded(g.gate.Service(service), time.Now())
}
