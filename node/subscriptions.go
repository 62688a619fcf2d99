package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"auburngap/clock"
	"auburngap/request"
	"auburngap/route"
)

const (
	// subscriptionIdle is how long a service may be without a request before a node stops
	// following it.
	subscriptionIdle = 5 * time.Minute
	// subscriptionSweep is the time between two checks for idle services.
	subscriptionSweep = time.Minute
)

// subscriber receives the services that a node follows.
type subscriber interface {
	SetServices(services []string)
}

// subscriptions follows the services that this node calls: those that the local
// service calls, and others from their first request until they are idle.
type subscriptions struct {
	directory subscriber
	routes    *routes
	started   time.Time

	mu        sync.RWMutex
	byService map[string]*subscription
}

// subscription is one service that is followed.
type subscription struct {
	// permanent subscriptions do not end when they are idle.
	permanent bool
	// lastUsed is the time.Duration from subscriptions.started to the last request;
	// waiting counts the requests that wait for the listing.
	lastUsed, waiting atomic.Int64
	listed            chan struct{}
	listOnce          sync.Once
}

func newSubscriptions(routes *routes) *subscriptions {
	return &subscriptions{routes: routes, started: time.Now(), byService: make(map[string]*subscription)}
}

// await returns nil once the backend servers of the call's service are known, or
// a refusal if the call's context ends first.
func (s *subscriptions) await(ctx context.Context, call *request.Call) *request.Refusal {
	subscribed, waits := s.subscribe(call.Service)
	if !waits {
		return nil
	}
	defer subscribed.waiting.Add(-1)
	select {
	case <-subscribed.listed:
		return nil
	case <-ctx.Done():
		return request.RefuseUnsent(call, causeOf(ctx), 0)
	}
}

// subscribe records a request to a service and follows the service from now on. It
// returns true if the service is not listed yet: the request then counts as waiting.
func (s *subscriptions) subscribe(service string) (*subscription, bool) {
	if subscribed, waits, ok := s.subscribeKnown(service); ok {
		return subscribed, waits
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	subscribed, ok := s.byService[service]
	if !ok {
		subscribed = s.add(service)
		s.publish()
	}
	return subscribed, s.touch(subscribed)
}

// subscribeKnown is subscribe for a service that is already followed.
func (s *subscriptions) subscribeKnown(service string) (*subscription, bool, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	subscribed, ok := s.byService[service]
	if !ok {
		return nil, false, false
	}
	return subscribed, s.touch(subscribed), true
}

func (s *subscriptions) add(service string) *subscription {
	subscribed := &subscription{listed: make(chan struct{})}
	s.byService[service] = subscribed
	return subscribed
}

// publish passes the followed services to the directory; s.mu must be held, so that the
// latest set is passed last.
func (s *subscriptions) publish() {
	s.directory.SetServices(slices.Collect(maps.Keys(s.byService)))
}

// touch records a request and reports whether it has to wait. s.mu must be held, so
// that the subscription does not end meanwhile.
func (s *subscriptions) touch(subscribed *subscription) bool {
	subscribed.lastUsed.Store(int64(time.Since(s.started)))
	select {
	case <-subscribed.listed:
		return false
	default:
		subscribed.waiting.Add(1)
		return true
	}
}

// setPermanent follows services even without requests. They replace the previous
// permanent services.
func (s *subscriptions) setPermanent(services []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, subscribed := range s.byService {
		if subscribed.permanent && !slices.Contains(services, service) {
			subscribed.permanent = false
			subscribed.lastUsed.Store(int64(time.Since(s.started)))
		}
	}
	for _, service := range services {
		subscribed, ok := s.byService[service]
		if !ok {
			subscribed = s.add(service)
		}
		subscribed.permanent = true
	}
	s.publish()
}

// Update applies a list of the backend servers of a service.
func (s *subscriptions) Update(service string, targets []route.Target) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	subscribed, ok := s.byService[service]
	if !ok {
		return
	}
	s.routes.Update(service, targets)
	subscribed.listOnce.Do(func() { close(subscribed.listed) })
}

// Run ends idle subscriptions until the context ends.
func (s *subscriptions) Run(ctx context.Context) error {
	for clock.Sleep(ctx, subscriptionSweep) {
		s.sweep()
	}
	return nil
}

// sweep ends the subscriptions that are idle.
func (s *subscriptions) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := time.Since(s.started) - subscriptionIdle
	idle := false
	for service, subscribed := range s.byService {
		if subscribed.isIdle(latest) {
			delete(s.byService, service)
			s.routes.drop(service)
			idle = true
		}
	}
	if idle {
		s.publish()
	}
}

// isIdle reports whether nothing needs the service and the last request came no
// later than latest.
func (s *subscription) isIdle(latest time.Duration) bool {
	return !s.permanent && s.waiting.Load() == 0 && time.Duration(s.lastUsed.Load()) <= latest
}

// services returns the followed services.
func (s *subscriptions) services() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Keys(s.byService))
}
