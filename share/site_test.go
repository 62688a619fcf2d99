package share

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

var errNoAnswer = errors.New("no answer")

// siteConfig describes a site and the requests of its one workspace.
type siteConfig struct {
	zones, nodes  int
	rate, burst   float64
	demand        float64
	onlyFirstZone bool
	// shares splits rate and burst; nil is even.
	shares map[string]float64
	// every is a fixed interval between requests; zero sends them at random times.
	every    time.Duration
	duration time.Duration
	seed     uint64
	// events runs concurrently with the requests.
	events func(s *site)
}

// site connects clients and owners by a network with delays, in virtual time.
type site struct {
	config siteConfig
	index  *bundle.Index
	start  time.Time
	vms    []*siteVM
	source *rand.Rand

	mu     sync.Mutex
	owners map[string]*siteVM
	epochs map[string]uint64
	cut    map[string]bool
	// extraDelay is added to the delay of each message, as on busy VMs.
	extraDelay time.Duration
	result     result
	meter      *Meter
	ideal      tokenBucket
}

// siteVM is a VM with a client and an owner.
type siteVM struct {
	site   *site
	zone   string
	client *Client
	owner  *Owner
	dead   bool
}

type result struct {
	requests, ideal, served, wrongful int
}

// tokenBucket is the global token bucket that decides which refusals are wrongful.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

func (b *tokenBucket) take(rate, burst float64, now time.Duration) bool {
	b.tokens = min(burst, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func newSite(config siteConfig) *site {
	s := &site{
		config: config, start: time.Now(),
		index:  testIndex(config.zones, config.rate, config.burst, config.shares),
		source: rand.New(rand.NewPCG(config.seed, 2)),
		owners: make(map[string]*siteVM), epochs: make(map[string]uint64), cut: make(map[string]bool),
		meter: NewMeter(config.rate),
	}
	for i := range config.zones {
		for range config.nodes {
			s.vms = append(s.vms, s.newVM(s.index.Bundle.Zones[i].Name))
		}
	}
	for i := 0; i < len(s.vms); i += config.nodes {
		s.gain(s.vms[i], nil)
	}
	return s
}

func (s *site) onViolation(invariant string) { panic("invariant violated: " + invariant) }

func (s *site) clock() time.Duration { return time.Since(s.start) }

func (s *site) newVM(zone string) *siteVM {
	v := &siteVM{site: s, zone: zone}
	v.boot()
	return v
}

func (v *siteVM) boot() {
	v.dead = false
	v.client = NewClient(ClientConfig{Zone: v.zone, Peers: v, Clock: v.site.clock, OnViolation: v.site.onViolation})
	v.client.Apply(v.site.index)
	v.owner = NewOwner(OwnerConfig{Zone: v.zone, OwnershipSource: v, Peers: v, Clock: v.site.clock, OnViolation: v.site.onViolation})
	v.owner.Apply(v.site.index)
}

func (v *siteVM) kill() {
	v.site.mu.Lock()
	defer v.site.mu.Unlock()
	v.dead = true
}

func (s *site) gain(v *siteVM, state *peerpb.ShareState) {
	s.mu.Lock()
	s.owners[v.zone] = v
	s.epochs[v.zone]++
	epoch := s.epochs[v.zone]
	s.mu.Unlock()
	v.owner.Gained(0, epoch, state)
}

// LiveOwnership implements OwnershipSource.
func (v *siteVM) LiveOwnership(int, time.Duration) (uint64, bool) {
	v.site.mu.Lock()
	defer v.site.mu.Unlock()
	return v.site.epochs[v.zone], v.site.owners[v.zone] == v && !v.dead
}

// Draw implements Peers.
func (v *siteVM) Draw(ctx context.Context, draw *peerpb.Draw) (*peerpb.DrawAnswer, error) {
	if !v.transmit(ctx, draw.AvailabilityZone) {
		return nil, errNoAnswer
	}
	v.site.mu.Lock()
	owner := v.site.owners[draw.AvailabilityZone]
	dead := owner != nil && owner.dead
	v.site.mu.Unlock()
	if owner == nil {
		// Without an owner, nodes answer immediately that they do not own the shard.
		return nil, errNoAnswer
	}
	if dead {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	answer := owner.owner.HandleDraw(ctx, draw)
	if !v.transmit(ctx, draw.AvailabilityZone) {
		return nil, errNoAnswer
	}
	return answer, nil
}

// transmit waits for the delay of one message. It returns false if the message is lost.
func (v *siteVM) transmit(ctx context.Context, zone string) bool {
	delay := 150 * time.Microsecond
	if zone != v.zone {
		delay = 1500 * time.Microsecond
	}
	v.site.mu.Lock()
	lost := zone != v.zone && (v.site.cut[zone] || v.site.cut[v.zone])
	delay += v.site.extraDelay
	v.site.mu.Unlock()
	if lost {
		<-ctx.Done()
		return false
	}
	time.Sleep(delay)
	return ctx.Err() == nil
}

// run sends the requests and returns their results.
func (s *site) run() result {
	if s.config.events != nil {
		go s.config.events(s)
	}
	var group sync.WaitGroup
	// The workspace's tokens fill up first.
	time.Sleep(min(time.Hour, time.Duration(s.config.burst/s.config.rate*float64(time.Second))+10*time.Second))
	s.ideal = tokenBucket{tokens: s.config.burst, at: s.clock()}
	for end := s.clock() + s.config.duration; s.clock() < end; {
		v := s.pick()
		group.Go(func() { s.request(v) })
		time.Sleep(s.gap())
	}
	group.Wait()
	// Pending messages end and tokens expire.
	time.Sleep(3 * time.Second)
	return s.result
}

func (s *site) gap() time.Duration {
	if s.config.every > 0 {
		return s.config.every
	}
	return time.Duration(s.source.ExpFloat64() / s.config.demand * float64(time.Second))
}

func (s *site) pick() *siteVM {
	count := len(s.vms)
	if s.config.onlyFirstZone {
		count = s.config.nodes
	}
	for {
		v := s.vms[s.source.IntN(count)]
		s.mu.Lock()
		dead := v.dead
		s.mu.Unlock()
		if !dead {
			return v
		}
	}
}

func (s *site) request(v *siteVM) {
	s.mu.Lock()
	within := s.ideal.take(s.config.rate, s.config.burst, s.clock())
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, refusal := v.client.Take(ctx, testWorkspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.requests++
	if within {
		s.result.ideal++
	}
	if refusal == nil {
		s.result.served++
		s.meter.Spend(1, s.clock())
		return
	}
	if within {
		s.result.wrongful++
	}
}

func (r result) wrongfulPercent() float64 {
	return 100 * float64(r.wrongful) / float64(max(1, r.ideal))
}

func (r result) log(t *testing.T, s *site) {
	t.Helper()
	t.Logf("requests %d, within the rate %d, served %d, wrongfully refused %d = %.3f%%; worst window %.2f of burst %.0f",
		r.requests, r.ideal, r.served, r.wrongful, r.wrongfulPercent(), s.meter.Worst(), s.config.burst)
}
