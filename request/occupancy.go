package request

// Occupancy counts calls by priority: each priority's count takes in those of
// the more important ones.
type Occupancy [Priorities]int

// Occupied returns an Occupancy of calls that all count as the most important.
func Occupied(calls int) Occupancy {
	var o Occupancy
	for p := range o {
		o[p] = max(0, calls)
	}
	return o
}

// Add counts a number of calls of a priority; it may be negative.
func (o *Occupancy) Add(priority Priority, calls int) {
	for p := priority; p < Priorities; p++ {
		o[p] += calls
	}
}

// All returns the calls of every priority.
func (o *Occupancy) All() int { return o[Priorities-1] }
