package request

// maxLoads bounds the number of loads that are returned with one answer.
const maxLoads = 64

// MergeLoads adds more to loads. Of two loads of one service it keeps the one with
// the lower admission level.
func MergeLoads(loads, more []ServiceLoad) []ServiceLoad {
	for _, load := range more {
		loads = mergeOne(loads, load)
	}
	return loads
}

func mergeOne(loads []ServiceLoad, load ServiceLoad) []ServiceLoad {
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
