package admission

import (
	"math"
	"time"

	"auburngap/request"
)

// ServiceID identifies a service at one gate.
type ServiceID int

// Request is what the gate needs to know about a customer request.
type Request struct {
	Priority  request.Priority
	Workspace string
	// Weight is the workspace's share of a saturated service; zero counts as 1.
	Weight float64
	// Hash is derived from the request ID and is the same at every entry node.
	Hash uint32
}

// GateConfig holds the settings of a Gate. Zero fields take the defaults given below.
type GateConfig struct {
	// Smoothing is the time over which signals are averaged; default 100 ms.
	Smoothing time.Duration
	// Hold is how long a level stays in force without a further signal; default 1 s.
	Hold time.Duration
	// Decay is the time after Hold over which a level returns to full; default 2 s.
	Decay time.Duration
	// RateWindow is the time over which a workspace's demand is averaged; default 1 s.
	RateWindow time.Duration
	// Unfair sheds by hash alone: the same fraction of every workspace's requests.
	Unfair bool
}

func (c GateConfig) withDefaults() GateConfig {
	if c.Smoothing <= 0 {
		c.Smoothing = 100 * time.Millisecond
	}
	if c.Hold <= 0 {
		c.Hold = time.Second
	}
	if c.Decay <= 0 {
		c.Decay = 2 * time.Second
	}
	if c.RateWindow <= 0 {
		c.RateWindow = time.Second
	}
	return c
}

// Gate sheds whole requests at the entry node, by the admission levels of the services
// that they may call.
type Gate struct {
	config     GateConfig
	ids        map[string]ServiceID
	services   []gateService
	demands    map[demandKey]*demand
	allDemands []*demand
	sweepIndex int
}

type gateService struct {
	level float64
	// signalledAt is when the last signal came; zero before the first.
	signalledAt time.Time
	fairRates   [request.Priorities]fairRate
}

// NewGate returns a gate that admits everything.
func NewGate(config GateConfig) *Gate {
	return &Gate{
		config:  config.withDefaults(),
		ids:     make(map[string]ServiceID),
		demands: make(map[demandKey]*demand),
	}
}

// Service returns the ID of a service, creating it on first use.
func (g *Gate) Service(name string) ServiceID {
	if id, ok := g.ids[name]; ok {
		return id
	}
	id := ServiceID(len(g.services))
	g.ids[name] = id
	g.services = append(g.services, gateService{level: float64(FullLevel)})
	return id
}

// UpdateLevel updates a service's level with one that came back with an answer.
func (g *Gate) UpdateLevel(service ServiceID, level uint16, now time.Time) {
	s := &g.services[service]
	age := now.Sub(s.signalledAt)
	current := g.level(s, now)
	if level >= FullLevel && current >= float64(FullLevel) {
		return
	}
	gain := 1.0
	if !s.signalledAt.IsZero() {
		gain = min(1, age.Seconds()/g.config.Smoothing.Seconds())
	}
	s.level = current + gain*(float64(min(level, FullLevel))-current)
	s.signalledAt = now
	if s.level > float64(FullLevel)-0.5 {
		s.level = float64(FullLevel)
	}
}

// Level returns the level in force for a service.
func (g *Gate) Level(service ServiceID, now time.Time) uint16 {
	return uint16(math.Ceil(g.level(&g.services[service], now)))
}

// Overloaded reports whether the gate sheds any requests for a service.
func (g *Gate) Overloaded(service ServiceID, now time.Time) bool {
	return g.Level(service, now) < FullLevel
}

// level returns the level in force, which returns to full if no signal confirms it.
func (g *Gate) level(s *gateService, now time.Time) float64 {
	unconfirmed := now.Sub(s.signalledAt) - g.config.Hold
	if unconfirmed <= 0 || s.level >= float64(FullLevel) {
		return s.level
	}
	decayed := min(1, unconfirmed.Seconds()/g.config.Decay.Seconds())
	return s.level + decayed*(float64(FullLevel)-s.level)
}

// Admit reports whether every service that the request may call admits it.
func (g *Gate) Admit(r Request, services []ServiceID, now time.Time) bool {
	admitted := true
	for _, service := range services {
		if !g.serviceAdmits(r, service, now) {
			admitted = false
		}
	}
	return admitted
}

func (g *Gate) serviceAdmits(r Request, service ServiceID, now time.Time) bool {
	s := &g.services[service]
	admitted := admittedFraction(g.Level(service, now), r.Priority)
	if g.config.Unfair {
		return hashFraction(r.Hash) < admitted
	}
	d := g.demandFor(demandKey{workspace: r.Workspace, service: service, priority: r.Priority}, now)
	rate := d.recordArrival(now, g.config.RateWindow)
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	fraction := s.fairRates[r.Priority].fraction(now, admitted, rate/weight)
	return hashFraction(r.Hash) < fraction
}

// hashFraction maps a hash to [0, 1).
func hashFraction(hash uint32) float64 {
	return float64(hash) / (math.MaxUint32 + 1)
}
