package portion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// globalBucket is one token bucket for the whole site.
type globalBucket struct {
	limit  Limit
	tokens float64
	at     time.Time
}

func (b *globalBucket) take(now time.Time) bool {
	b.tokens = min(b.limit.Burst, b.tokens+now.Sub(b.at).Seconds()*b.limit.Rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// newLargeSite returns a site with many nodes in six zones.
func newLargeSite(limit Limit) *site {
	const count, zones = 96, 6
	s := &site{random: rand.New(rand.NewPCG(1, 2))}
	for i := range count {
		s.nodes = append(s.nodes, Node{VM: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones)})
	}
	s.owners = Owners("school", limit.Burst, s.nodes)
	for i := range count {
		table := New(Config{SettleTime: 4 * time.Second, InitialFill: 1, KeepsPortions: true})
		table.SetLimit(start, "school", limit)
		table.SetPortion(start, "school", portionOf(i, s.owners))
		s.tables = append(s.tables, table)
	}
	return s
}

// requestCollecting is request, for which the collector gathers a token if no owner has a
// whole one.
func (s *site) requestCollecting(now time.Time, node int) bool {
	if s.request(now, node) {
		return true
	}
	collector := s.tables[s.owners[Collector("school", s.owners, s.nodes)]]
	for _, i := range s.random.Perm(len(s.owners)) {
		missing := collector.Missing(now, "school")
		if lender := s.tables[s.owners[i]]; lender != collector && missing > 0 {
			collector.AddCollected(now, "school", lender.LendPart(now, "school", missing))
		}
	}
	s.tables[node].AddBorrowed(now, "school", collector.Lend(now, "school", 1))
	if !s.tables[node].Retake(now, "school") {
		return false
	}
	s.spent = append(s.spent, now)
	return true
}

// smallRate counts what became of the requests of a workspace with a small rate.
type smallRate struct {
	// within is the number of requests that one bucket for the whole site admits.
	within, admitted, admittedWhole int
}

// playSmallRate sends a workspace's requests, so many times its rate, to random nodes of
// two sites, one of which collects parts of tokens.
func playSmallRate(limit Limit, times float64) (counted smallRate, collecting *site) {
	whole, collecting := newLargeSite(limit), newLargeSite(limit)
	ideal := &globalBucket{limit: limit, tokens: limit.Burst, at: start}
	arrivals := rand.New(rand.NewPCG(3, 4))
	for now := start; now.Sub(start) < 2*time.Minute; now = now.Add(time.Duration(arrivals.ExpFloat64() * float64(time.Second) / (times * limit.Rate))) {
		node := arrivals.IntN(len(whole.nodes))
		if ideal.take(now) {
			counted.within++
		}
		if whole.request(now, node) {
			counted.admittedWhole++
		}
		if collecting.requestCollecting(now, node) {
			counted.admitted++
		}
	}
	return counted, collecting
}

// TestSmallRatesOverManyNodes guards against requests within the rate that are refused
// because the tokens for them lie in parts at several owner nodes: many workspaces with
// small rates over many nodes. Each sends about as much as it may.
func TestSmallRatesOverManyNodes(t *testing.T) {
	const window = 5 * time.Second
	var total smallRate
	for _, rate := range []float64{5, 6, 7, 9, 11, 15, 20, 25, 35} {
		for _, times := range []float64{0.7, 0.9, 1.05, 1.5} {
			limit := Limit{Rate: rate, Burst: rate}
			counted, s := playSmallRate(limit, times)
			total.within += counted.within
			total.admitted += counted.admitted
			total.admittedWhole += counted.admittedWhole
			bound := limit.Burst + limit.Rate*(window+borrowedTTL).Seconds()
			assert.Check(t, float64(s.maxInWindow(window)) <= bound, "rate %v: %d in %v, at most %.0f", rate, s.maxInWindow(window), window, bound)
		}
	}
	refused, refusedWhole := total.within-total.admitted, total.within-total.admittedWhole
	t.Logf("refused within the rate: %d of %d, %d with whole tokens only", refused, total.within, refusedWhole)
	assert.Assert(t, 2*refused < refusedWhole, "%d and %d", refused, refusedWhole)
}

// TestCollectingMakesNoTokens checks that moving parts between owner nodes never adds to
// the tokens of all.
func TestCollectingMakesNoTokens(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(0.5, 50).Draw(r, "rate"), Burst: rapid.Float64Range(1, 50).Draw(r, "burst")}
		s := newLargeSite(limit)
		collector := s.tables[s.owners[Collector("school", s.owners, s.nodes)]]
		now := start
		held := func() float64 {
			sum := 0.0
			for _, owner := range s.owners {
				sum += s.tables[owner].Tokens(now, "school")
			}
			return sum
		}
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(r, "millis")) * time.Millisecond)
			before := held()
			lender := s.tables[s.owners[rapid.IntRange(0, len(s.owners)-1).Draw(r, "lender")]]
			if rapid.Bool().Draw(r, "spend") {
				lender.Take(now, "school")
			} else if lender != collector {
				collector.AddCollected(now, "school", lender.LendPart(now, "school", collector.Missing(now, "school")))
			}
			assert.Assert(r, held() <= before+roundingError, "%v, then %v", before, held())
			assert.Assert(r, held() <= limit.Burst+roundingError, "%v of %v", held(), limit.Burst)
		}
	})
}
