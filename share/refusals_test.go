package share

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// killOwner kills the first zone's owner. Another VM takes over the shard without
// its state.
func killOwner(s *site) {
	time.Sleep(20 * time.Second)
	s.vms[0].kill()
	time.Sleep(5 * time.Second)
	s.gain(s.vms[1], nil)
}

// rollingRestart restarts every VM. VMs that own a shard hand it over first.
func rollingRestart(s *site) {
	time.Sleep(15 * time.Second)
	for i, v := range s.vms {
		s.mu.Lock()
		owns := s.owners[v.zone] == v
		s.mu.Unlock()
		if owns {
			state := v.owner.Lost(0)
			time.Sleep(10 * time.Millisecond)
			next := i + 1
			if next%s.config.nodes == 0 {
				next -= s.config.nodes
			}
			s.gain(s.vms[next], state)
		}
		v.client.Close()
		v.kill()
		time.Sleep(500 * time.Millisecond)
		s.mu.Lock()
		v.boot()
		s.mu.Unlock()
	}
}

// restartInSlot restarts the first zone's owner in its slot: it continues as the
// owner, without its state.
func restartInSlot(s *site) {
	time.Sleep(60 * time.Second)
	v := s.vms[0]
	v.kill()
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	v.boot()
	s.mu.Unlock()
	s.gain(v, nil)
}

// slowNetwork delays each message by another 80 ms for 20 s, as between busy VMs.
func slowNetwork(s *site) {
	for _, extraDelay := range []time.Duration{80 * time.Millisecond, 0} {
		time.Sleep(20 * time.Second)
		s.mu.Lock()
		s.extraDelay = extraDelay
		s.mu.Unlock()
	}
}

// loseOwner kills an owner that has no successor.
func loseOwner(s *site) {
	time.Sleep(20 * time.Second)
	s.vms[0].kill()
}

func cutZone(s *site) { cutZoneFor(s, "zone0", 60*time.Second) }

// cutCollector cuts off the zone that collects the workspace's fractions.
func cutCollector(s *site) { cutZoneFor(s, CollectorZone(s.index, testWorkspace), 30*time.Second) }

func cutZoneFor(s *site, zone string, d time.Duration) {
	time.Sleep(20 * time.Second)
	s.setCut(zone, true)
	time.Sleep(d)
	s.setCut(zone, false)
}

// handOver moves the only zone's shard. The successor has the state before it
// answers draws.
func handOver(s *site) {
	time.Sleep(20 * time.Second)
	state := s.vms[0].owner.Lost(0)
	s.mu.Lock()
	delete(s.owners, s.vms[0].zone)
	s.mu.Unlock()
	time.Sleep(400 * time.Millisecond)
	s.gain(s.vms[1], state)
}

func (s *site) setCut(zone string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[zone] = cut
}

// loseCollector kills the owner that collects the workspace's fractions.
func loseCollector(s *site) {
	time.Sleep(20 * time.Second)
	s.mu.Lock()
	v := s.owners[CollectorZone(s.index, testWorkspace)]
	s.mu.Unlock()
	v.kill()
}

func TestWrongfulRefusals(t *testing.T) {
	cases := []struct {
		name string
		// percent is the target, as a percentage of the requests within the rate.
		percent float64
		config  siteConfig
	}{
		{"steady demand at 90%", 0.1, siteConfig{zones: 4, nodes: 25, rate: 400, burst: 400, demand: 360, duration: 20 * time.Second}},
		{"steady demand at 70%, small burst", 0.1, siteConfig{zones: 4, nodes: 25, rate: 400, burst: 100, demand: 280, duration: 20 * time.Second}},
		{"all demand in one zone", 0.1, siteConfig{zones: 4, nodes: 25, rate: 400, burst: 400, demand: 360, onlyFirstZone: true, duration: 20 * time.Second}},
		{"one request a minute", 0.1, siteConfig{zones: 4, nodes: 25, rate: 1.0 / 60, burst: 1, every: 61 * time.Second, duration: 100 * time.Minute}},
		{"burst of 8 in one of 4 zones of 100 nodes", 0.1, siteConfig{zones: 4, nodes: 100, rate: 40, burst: 8, demand: 24, duration: 60 * time.Second, shares: map[string]float64{"zone1": 1}}},
		{"owner killed", 1, siteConfig{zones: 4, nodes: 25, rate: 400, burst: 400, demand: 360, duration: 60 * time.Second, events: killOwner}},
		{"shard without an owner for 400 ms during handover", 0, siteConfig{zones: 1, nodes: 10, rate: 400, burst: 400, demand: 280, duration: 30 * time.Second, events: handOver}},
		{"rolling restart", 1, siteConfig{zones: 3, nodes: 20, rate: 400, burst: 400, demand: 360, duration: 60 * time.Second, events: rollingRestart}},
		{"platform outage of 5 minutes, owner restarts", 1, siteConfig{zones: 3, nodes: 10, rate: 100, burst: 100, demand: 90, duration: 300 * time.Second, events: restartInSlot}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(c.config)
				r := s.run()
				r.log(t, s)
				assert.Assert(t, s.meter.Worst() <= c.config.burst+tolerance)
				assert.Assert(t, r.wrongfulPercent() <= c.percent, "%.3f%%", r.wrongfulPercent())
			})
		})
	}
}

// smallBurst gives each zone 2 tokens, which accrue in fractions at four owners.
var smallBurst = siteConfig{zones: 4, nodes: 100, rate: 40, burst: 8, demand: 24, duration: 60 * time.Second}

func TestWrongfulRefusalsOfSmallBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(smallBurst)
		r := s.run()
		r.log(t, s)
		assert.Assert(t, s.meter.Worst() <= s.config.burst+tolerance)
		assert.Assert(t, r.wrongfulPercent() <= 0.1, "%.3f%%", r.wrongfulPercent())
	})
}

// One run has too few requests to check a target of 1 in 1,000.
func TestWrongfulRefusalsOfSmallBurstOverSeeds(t *testing.T) {
	sum := result{}
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			config := smallBurst
			config.seed = seed
			s := newSite(config)
			r := s.run()
			r.log(t, s)
			assert.Assert(t, s.meter.Worst() <= s.config.burst+tolerance)
			sum.ideal += r.ideal
			sum.wrongful += r.wrongful
		})
	}
	t.Logf("%d of %d = %.3f%%", sum.wrongful, sum.ideal, sum.wrongfulPercent())
	assert.Assert(t, sum.wrongfulPercent() <= 0.1, "%.3f%%", sum.wrongfulPercent())
}

func withEvents(config siteConfig, events func(*site)) siteConfig {
	config.events = events
	return config
}

// The refusals caused by faults for which the project states no target.
func TestCostOfCutsAndLostOwners(t *testing.T) {
	cases := []struct {
		name   string
		config siteConfig
	}{
		{"zone cut off for 60 s, demand at 90%", siteConfig{zones: 4, nodes: 25, rate: 400, burst: 400, demand: 360, duration: 90 * time.Second, events: cutZone}},
		{"owner lost without a successor, demand at 70%", siteConfig{zones: 4, nodes: 25, rate: 400, burst: 400, demand: 280, duration: 60 * time.Second, events: loseOwner}},
		{"burst of 8, collector's zone cut off for 30 s", withEvents(smallBurst, cutCollector)},
		{"burst of 8, collector lost without a successor", withEvents(smallBurst, loseCollector)},
		{"messages delayed by 80 ms for 20 s, demand at 70%", siteConfig{zones: 4, nodes: 25, rate: 400, burst: 400, demand: 280, duration: 60 * time.Second, events: slowNetwork}},
		{"6 times the rate", siteConfig{zones: 4, nodes: 25, rate: 100, burst: 100, demand: 600, duration: 10 * time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(c.config)
				r := s.run()
				r.log(t, s)
				assert.Assert(t, s.meter.Worst() <= c.config.burst+tolerance)
			})
		})
	}
}
