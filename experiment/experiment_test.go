package experiment

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bound is a target stated by the users for one figure of the full policy.
type bound struct {
	figure    string
	scenarios string
	holds     func(Figures) bool
}

var bounds = []bound{
	{"goodput of all >= 90% at 3x", "a,h", func(f Figures) bool { return f.GoodputAll >= 0.90 }},
	{"goodput of the highest priority >= 95% at 3x", "a,h", func(f Figures) bool { return f.GoodputTop >= 0.95 }},
	{"recovery within 2 s", "a,b,c,d,e,f,h", func(f Figures) bool { return f.RecoverySeconds >= 0 && f.RecoverySeconds <= 2 }},
	{"worst-served >= 90% of its share", "a,b,c,d,e,f", func(f Figures) bool { return f.WorstServed >= 0.90 }},
	{"wasted work <= 5%", "a,b,c,d,e,f,h", func(f Figures) bool { return f.Wasted <= 0.05 }},
	{"no call refused after a less important one overtook it", "a,b,c,d,e,f,h", func(f Figures) bool { return f.Overtaken == 0 }},
}

const testSeed = 1

// shortened keeps the tests fast: a trigger of up to 20 seconds lasts eight.
func shortened(s scenario) scenario {
	if s.length <= 20*time.Second {
		s.length = 8 * time.Second
	}
	return s
}

func full() policy {
	all := policies("")
	return all[len(all)-1]
}

func figuresOf(s site, sc scenario, seed uint64) Figures {
	run := newSim(s, sc, full(), seed)
	run.run()
	return run.figures()
}

// raceScenarios are run with the race detector too; make test runs all of
// them without it, since a run has one goroutine.
const raceScenarios = "a,e"

// TestTargets checks the full policy against the targets, one seeded run each.
func TestTargets(t *testing.T) {
	for _, site := range []site{mugWorks(), styleDesk()} {
		for _, scenario := range scenarios() {
			if !listContains("a,b,c,d,e,f,h", scenario.name) {
				continue
			}
			t.Run(fmt.Sprintf("%s/%s", site.name, scenario.name), func(t *testing.T) {
				t.Parallel()
				if raceEnabled && !listContains(raceScenarios, scenario.name) {
					t.Skip("run without the race detector")
				}
				figures := figuresOf(site, shortened(scenario), testSeed)
				for _, b := range bounds {
					if listContains(b.scenarios, scenario.name) {
						assert.Check(t, b.holds(figures), "%s, seed %d: %+v", b.figure, testSeed, figures)
					}
				}
			})
		}
	}
}

// TestWrongfulRefusals: while one workspace sends six times its rate, or single
// servers fail, at most 0.1% of the customers within their rate are refused.
func TestWrongfulRefusals(t *testing.T) {
	for _, site := range []site{mugWorks(), styleDesk()} {
		for _, name := range []string{"d", "e"} {
			t.Run(site.name+"/"+name, func(t *testing.T) {
				checkSeeds(t, site, name, func(f Figures) bool { return f.Wrongful <= 0.001 })
			})
		}
	}
}

// checkSeeds checks a bound on whole runs of seeds 1 to 5.
func checkSeeds(t *testing.T, site site, name string, holds func(Figures) bool) {
	if raceEnabled {
		t.Skip("run without the race detector")
	}
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			figures := figuresOf(site, scenarioNamed(name), seed)
			assert.Check(t, holds(figures), "%+v", figures)
		})
	}
}

func scenarioNamed(name string) scenario {
	all := scenarios()
	return all[slices.IndexFunc(all, func(s scenario) bool { return s.name == name })]
}

func TestRunsAreRepeatable(t *testing.T) {
	scenario := shortened(scenarioNamed("a"))
	assert.DeepEqual(t, figuresOf(mugWorks(), scenario, testSeed), figuresOf(mugWorks(), scenario, testSeed))
}

// TestBestPossible checks the best possible allocation against values computed by
// hand: one service of 10 slots and 100 ms serves 100 requests a second.
func TestBestPossible(t *testing.T) {
	routes := []routeSpec{{priority: 0}, {priority: 1}}
	cost := [][]float64{{0.1}, {0.1}}
	streams := []stream{
		{workspace: 0, route: 0, weight: 1, demand: 40},
		{workspace: 0, route: 1, weight: 3, demand: 100},
		{workspace: 1, route: 1, weight: 1, demand: 100},
		{workspace: 2, route: 1, weight: 1, demand: 4},
	}
	fill(streams, routes, cost, []float64{10})
	for i, want := range []float64{40, 42, 14, 4} {
		assert.Assert(t, streams[i].served > want-0.01 && streams[i].served < want+0.01, "%d: %f", i, streams[i].served)
	}
}

func TestRunRejectsBadOptions(t *testing.T) {
	var stdout, stderr bytes.Buffer
	assert.Equal(t, Run([]string{"--runs", "0"}, &stdout, &stderr), 2)
	assert.Equal(t, stderr.String(), "auburngap experiment: --runs must be at least 1, got 0\n")
}

// TestHighestPriorityInBothMugWorks and TestHighestPriorityInBothStyleDesk: at least
// 95% of the best possible is served for the highest priority also when a surge and a
// slow deep service coincide.
func TestHighestPriorityInBothMugWorks(t *testing.T) {
	checkSeeds(t, mugWorks(), "c", topServed)
}

func TestHighestPriorityInBothStyleDesk(t *testing.T) {
	checkSeeds(t, styleDesk(), "c", topServed)
}

func topServed(f Figures) bool { return f.GoodputTop >= 0.95 }
