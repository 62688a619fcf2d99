package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"auburngap/request"
	"auburngap/route"
)

// routes holds a picker for each service that this node calls.
type routes struct {
	vm, zone string

	mu        sync.RWMutex
	byService map[string]*servicePicker
}

// servicePicker guards the picker of one service.
type servicePicker struct {
	mu     sync.Mutex
	picker *route.Picker
	random *rand.Rand
}

func newRoutes(vm, zone string) *routes {
	return &routes{vm: vm, zone: zone, byService: make(map[string]*servicePicker)}
}

// Update replaces the list of a service's backend servers.
func (r *routes) Update(service string, targets []route.Target) {
	p := r.of(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Update(time.Now(), targets)
}

// of returns the picker of a service and creates it on first use.
func (r *routes) of(service string) *servicePicker {
	r.mu.RLock()
	p, ok := r.byService[service]
	r.mu.RUnlock()
	if ok {
		return p
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.byService[service]; ok {
		return p
	}
	p = &servicePicker{
		picker: route.New(route.Config{VM: r.vm, Zone: r.zone}),
		random: newRandom(),
	}
	r.byService[service] = p
	return p
}

// drop removes the picker of a service; calls in flight still use it until they end.
func (r *routes) drop(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byService, service)
}

// pick chooses a backend server, other than the one tried before if there is one.
func (p *servicePicker) pick(priority request.Priority, previous *route.Choice) (route.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if previous != nil {
		return p.picker.PickOther(time.Now(), p.random, priority, *previous)
	}
	return p.picker.Pick(time.Now(), p.random, priority)
}

// done ends a choice's call, with the load signal of its answer if there was one.
func (p *servicePicker) done(choice route.Choice, result route.Result, latency time.Duration, load *loadSignal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if load != nil {
		p.picker.Observe(now, choice, load.inFlight, load.limit)
	}
	p.picker.Done(now, choice, result, latency)
}

// loadSignal is the load of the backend server that answered.
type loadSignal struct {
	inFlight request.Occupancy
	limit    int
}

// withRandom calls use with the picker's random source, with the picker locked.
func (p *servicePicker) withRandom(use func(*rand.Rand)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	use(p.random)
}
