package experiment

import "time"

const (
	// warmUp is the time before the trigger, which is not measured.
	warmUp = 5 * time.Second
	// recoveryWindow is the time after the trigger in which the run waits for recovery.
	recoveryWindow = 12 * time.Second
	// surgeFactor, slowdownFactor and greedyFactor are the sizes of the triggers.
	surgeFactor, slowdownFactor, greedyFactor = 3.0, 5.0, 6.0
	// rateFactor is a workspace's rate as a multiple of its usual demand, where rates
	// are enforced. The burst is the number of requests that the rate allows in burstTime.
	rateFactor = 1.2
	burstTime  = time.Second
)

// scenario is a trigger with a beginning and an end.
type scenario struct {
	name, title string
	length      time.Duration
	// demand multiplies the requests of a workspace while the trigger lasts; nil means 1.
	demand func(workspace int) float64
	// slow multiplies the deep service's serviceTime.
	slow float64
	// aggressiveRetries makes callers retry at once after every refusal and timeout.
	aggressiveRetries bool
	// servers makes one backend server die, one restart cold and one drain.
	servers bool
	// stuck makes one server's load report zero.
	stuck bool
	// partitioned separates zone 0 from the other zones.
	partitioned bool
	// enforceRates limits workspaces to their rates at the entry nodes.
	enforceRates bool
	// frozen stops directory updates for the whole run.
	frozen bool
}

func everyone(int) float64 { return surgeFactor }

// greedyWorkspace sends several times its rate. It is the second largest.
const greedyWorkspace = 1

func oneGreedy(workspace int) float64 {
	if workspace == greedyWorkspace {
		return greedyFactor
	}
	return 1
}

func scenarios() []scenario {
	return []scenario{
		{name: "a", title: "demand 3x", length: 20 * time.Second, demand: everyone, slow: 1},
		{name: "b", title: "deep service 5x slower", length: 30 * time.Second, slow: slowdownFactor},
		{name: "c", title: "both, callers repeat at once", length: 30 * time.Second, demand: everyone, slow: slowdownFactor, aggressiveRetries: true},
		{name: "d", title: "one workspace 6x", length: 20 * time.Second, demand: oneGreedy, slow: 1, enforceRates: true},
		{name: "d0", title: "one workspace 6x, no rates", length: 20 * time.Second, demand: oneGreedy, slow: 1},
		{name: "e", title: "one server dies, one cold, one drains", length: 20 * time.Second, slow: 1, servers: true},
		{name: "f", title: "load report stuck at zero", length: 20 * time.Second, slow: 1, stuck: true},
		{name: "g", title: "zone cut off 60 s", length: 60 * time.Second, slow: 1, partitioned: true},
		{name: "h", title: "platform down, demand 3x", length: 20 * time.Second, demand: everyone, slow: 1, frozen: true},
	}
}

func (s *scenario) factor(workspace int) float64 {
	if s.demand == nil {
		return 1
	}
	return s.demand(workspace)
}
