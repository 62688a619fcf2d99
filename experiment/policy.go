package experiment

import "strings"

// policy names the mechanisms that are on.
type policy struct {
	name string
	// limiter puts a limiter beside each server; fixed keeps its limit at the
	// announced slots and its queue first in, first out.
	limiter, fixed bool
	gate           bool
	// fair shares a saturated service among workspaces at gate and limiter.
	fair bool
	// budget bounds the retries of a request; without it each hop retries plainly.
	budget bool
	// hopRetries is the number of plain retries at each hop.
	hopRetries int
	// margin is the limiters' setting of that name.
	margin float64
	// cancel passes on cancellations.
	cancel bool
}

// policies returns the baselines and the mechanisms of today; off lists
// mechanisms that a further policy, the previous version, goes without.
func policies(off string) []policy {
	full := policy{
		name: "full", limiter: true, gate: true, fair: true, budget: true, cancel: true,
	}
	list := []policy{
		{name: "none"},
		{name: "fixed", limiter: true, fixed: true, hopRetries: 2, cancel: true},
	}
	if off != "" {
		list = append(list, without(full, off))
	}
	return append(list, full)
}

func without(full policy, off string) policy {
	previous := full
	previous.name = "previous"
	for _, mechanism := range strings.Split(off, ",") {
		switch mechanism {
		case "gate":
			previous.gate = false
		case "fair":
			previous.fair = false
		case "budget":
			previous.budget = false
			previous.hopRetries = 2
		case "cancel":
			previous.cancel = false
		case "adaptive":
			previous.fixed = true
		}
	}
	return previous
}
