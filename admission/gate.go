package admission

import (
	"math"
	"time"

	"auburngap/request"
)

// ServiceID stands for a service's name at one gate.
type ServiceID int

// Request is what the gate needs to know of a customer request.
type Request struct {
	Priority  request.Priority
	Workspace string
	// Weight is the workspace's share of a saturated service; zero counts as 1.
	Weight float64
	// Hash comes from the request ID and is the same at every entry node.
	Hash uint32
}

// GateConfig makes a Gate. Zero fields take the defaults named.
type GateConfig struct {
	// Smoothing is the time over which signals are averaged; 100 ms.
	Smoothing time.Duration
	// Hold is how long a level stands without a further signal; 1 s.
	Hold time.Duration
	// Decay is the time after Hold in which a level returns to full; 2 s.
	Decay time.Duration
	// RateWindow is the time over which a workspace's demand is averaged; 1 s.
	RateWindow time.Duration
	// Unfair sheds by hash alone, the same part of every workspace's requests.
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

// Gate sheds whole requests at the entry node.
type Gate struct {
	config   GateConfig
	ids      map[string]ServiceID
	services []gateService
	demands  map[demandKey]*demand
	ring     []*demand
	sweep    int
}

type gateService struct {
	level float64
	// signalled is when the last signal came; zero before the first.
	signalled time.Time
	shares    [request.Priorities]fairRate
}

// NewGate returns a gate that admits everything.
func NewGate(config GateConfig) *Gate {
	return &Gate{
		config:  config.withDefaults(),
		ids:     make(map[string]ServiceID),
		demands: make(map[demandKey]*demand),
	}
}

// Service returns the ID of a service, made on its first mention.
func (g *Gate) Service(name string) ServiceID {
	if id, ok := g.ids[name]; ok {
		return id
	}
	id := ServiceID(len(g.services))
	g.ids[name] = id
	g.services = append(g.services, gateService{level: float64(FullLevel)})
	return id
}

// Learn takes in a level that came back along the path.
func (g *Gate) Learn(service ServiceID, level uint16, now time.Time) {
	s := &g.services[service]
	age := now.Sub(s.signalled)
	current := g.level(s, now)
	if level >= FullLevel && current >= float64(FullLevel) {
		return
	}
	gain := 1.0
	if !s.signalled.IsZero() {
		gain = min(1, age.Seconds()/g.config.Smoothing.Seconds())
	}
	s.level = current + gain*(float64(min(level, FullLevel))-current)
	s.signalled = now
	if s.level > float64(FullLevel)-0.5 {
		s.level = float64(FullLevel)
	}
}

// Level returns the level in force for a service.
func (g *Gate) Level(service ServiceID, now time.Time) uint16 {
	return uint16(math.Ceil(g.level(&g.services[service], now)))
}

// Overloaded tells whether the gate sheds any request of a service.
func (g *Gate) Overloaded(service ServiceID, now time.Time) bool {
	return g.Level(service, now) < FullLevel
}

// level lets a level that no signal confirms return to full.
func (g *Gate) level(s *gateService, now time.Time) float64 {
	silence := now.Sub(s.signalled) - g.config.Hold
	if silence <= 0 || s.level >= float64(FullLevel) {
		return s.level
	}
	part := min(1, silence.Seconds()/g.config.Decay.Seconds())
	return s.level + part*(float64(FullLevel)-s.level)
}

// Admit tells whether every service that the request may call takes it.
func (g *Gate) Admit(r Request, services []ServiceID, now time.Time) bool {
	admitted := true
	for _, service := range services {
		if !g.admitOne(r, service, now) {
			admitted = false
		}
	}
	return admitted
}

func (g *Gate) admitOne(r Request, service ServiceID, now time.Time) bool {
	s := &g.services[service]
	share := admittedShare(g.Level(service, now), r.Priority)
	if g.config.Unfair {
		return hashPart(r.Hash) < share
	}
	d := g.demandOf(demandKey{workspace: r.Workspace, service: service, priority: r.Priority}, now)
	rate := d.arrive(now, g.config.RateWindow)
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	part := s.shares[r.Priority].part(now, share, rate/weight)
	return hashPart(r.Hash) < part
}

// hashPart maps a hash to [0, 1).
func hashPart(hash uint32) float64 {
	return float64(hash) / (math.MaxUint32 + 1)
}
