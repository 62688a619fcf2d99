package request

// maxLoads bounds the loads that travel back with one answer.
const maxLoads = 64

// MergeLoads adds loads to those at hand, one for each service: the one that
// admits least.
func MergeLoads(loads, more []ServiceLoad) []ServiceLoad {
	for _, load := range more {
		loads = mergeLoad(loads, load)
	}
	return loads
}

func mergeLoad(loads []ServiceLoad, load ServiceLoad) []ServiceLoad {
	for i := range loads {
		if loads[i].Service != load.Service {
			continue
		}
		if load.AdmitLevel < loads[i].AdmitLevel {
			loads[i] = load
		}
		return loads
	}
	if len(loads) >= maxLoads {
		return loads
	}
	return append(loads, load)
}
