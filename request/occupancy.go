package request

// Occupancy counts calls by priority. The count of a priority includes the calls
// of all more important priorities.
type Occupancy [Priorities]int

// TopPriorityOccupancy returns an Occupancy in which all calls have the most important
// priority.
func TopPriorityOccupancy(calls int) Occupancy {
	var o Occupancy
	for p := range o {
		o[p] = max(0, calls)
	}
	return o
}

// Add adds a number of calls of a priority. The number may be negative.
func (o *Occupancy) Add(priority Priority, calls int) {
	for p := priority; p < Priorities; p++ {
		o[p] += calls
	}
}

// Total returns the number of calls of all priorities.
func (o *Occupancy) Total() int { return o[Priorities-1] }
