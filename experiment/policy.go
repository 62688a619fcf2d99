package experiment

import (
	"strings"

	"auburngap/admission"
)

// policy says which mechanisms are enabled.
type policy struct {
	name string
	// limiter puts a limiter in front of each server. fixed keeps its limit at the
	// announced slots and its queue first in, first out.
	limiter, fixed bool
	gate           bool
	// fair shares a saturated service among workspaces at gate and limiter.
	fair bool
	// budget limits the retries of a request; without it each hop retries on its own.
	budget bool
	// hopRetries is the number of retries at each hop without a budget.
	hopRetries int
	// margin is the limiters' setting of that name.
	margin float64
	// previous turns off what the last version added: the choice of servers by the
	// calls that a call of its priority waits for, the queue time bounded by how long
	// slots are held, and trust in limits that have been tried once.
	previous bool
	// limits are the other settings of the limiters.
	limits admission.Config
	// plainRetryAfter makes refused callers wait as if no route had an objective.
	plainRetryAfter bool
	// cancel propagates cancellations.
	cancel bool
}

// policies returns the baselines, the previous version and the current mechanisms.
// off lists the mechanisms that an additional policy, lacking, does not have.
func policies(off string) []policy {
	full := policy{
		name: "full", limiter: true, gate: true, fair: true, budget: true, cancel: true,
	}
	previous := full
	previous.name, previous.previous = "previous", true
	list := []policy{
		{name: "none", previous: true},
		{name: "fixed", limiter: true, fixed: true, previous: true, hopRetries: 2, cancel: true},
		previous,
	}
	if off != "" {
		list = append(list, without(full, off))
	}
	return append(list, full)
}

func without(full policy, off string) policy {
	lacking := full
	lacking.name = "lacking"
	for _, mechanism := range strings.Split(off, ",") {
		switch mechanism {
		case "gate":
			lacking.gate = false
		case "fair":
			lacking.fair = false
		case "budget":
			lacking.budget = false
			lacking.hopRetries = 2
		case "cancel":
			lacking.cancel = false
		case "adaptive":
			lacking.fixed = true
		}
	}
	return lacking
}
