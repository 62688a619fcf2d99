package experiment

import "time"

const (
	// warmUp is the time before the trigger, which is not measured.
	warmUp = 5 * time.Second
	// aftermath is the time after the trigger in which recovery is awaited.
	aftermath = 12 * time.Second
	// surge, slowdown and repeats are the scenarios' sizes.
	surge, slowdown, greed = 3.0, 5.0, 6.0
	// rateShare is a workspace's rate as a multiple of its usual demand, where
	// rates are held; the burst is what the rate gives in burstTime.
	rateShare = 1.2
	burstTime = time.Second
)

// scenario is a trigger with a beginning and an end.
type scenario struct {
	name, title string
	length      time.Duration
	// demand multiplies the requests of a workspace while the trigger lasts; nil is 1.
	demand func(workspace int) float64
	// slow multiplies the deep service's own time.
	slow float64
	// hammer makes callers repeat at once on every refusal and timeout.
	hammer bool
	// servers kills one backend server, restarts one cold and drains one.
	servers bool
	// stuck makes one server's load report zero.
	stuck bool
	// cut separates zone 0 from the others.
	cut bool
	// rates holds workspaces to their rates at the entry nodes.
	rates bool
	// frozen stops the directory's changes throughout.
	frozen bool
}

func everyone(int) float64 { return surge }

// greedy is the workspace that sends several times its rate: the second largest.
const greedy = 1

func oneGreedy(workspace int) float64 {
	if workspace == greedy {
		return greed
	}
	return 1
}

func scenarios() []scenario {
	return []scenario{
		{name: "a", title: "demand 3x", length: 20 * time.Second, demand: everyone, slow: 1},
		{name: "b", title: "deep service 5x slower", length: 30 * time.Second, slow: slowdown},
		{name: "c", title: "both, callers repeat at once", length: 30 * time.Second, demand: everyone, slow: slowdown, hammer: true},
		{name: "d", title: "one workspace 6x", length: 20 * time.Second, demand: oneGreedy, slow: 1, rates: true},
		{name: "d0", title: "one workspace 6x, no rates", length: 20 * time.Second, demand: oneGreedy, slow: 1},
		{name: "e", title: "one server dies, one cold, one drains", length: 20 * time.Second, slow: 1, servers: true},
		{name: "f", title: "load report stuck at zero", length: 20 * time.Second, slow: 1, stuck: true},
		{name: "g", title: "zone cut off 60 s", length: 60 * time.Second, slow: 1, cut: true},
		{name: "h", title: "platform down, demand 3x", length: 20 * time.Second, demand: everyone, slow: 1, frozen: true},
	}
}

func (s *scenario) factor(workspace int) float64 {
	if s.demand == nil {
		return 1
	}
	return s.demand(workspace)
}
