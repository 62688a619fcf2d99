package roster

import (
	"slices"
	"time"

	"auburngap/peer/peerpb"
)

const (
	// maxDepartures bounds the departures that a node keeps.
	maxDepartures = 4096
	// maxSentDepartures bounds the departures in a message.
	maxSentDepartures = 256
)

// Departure is a run of a VM's backend server that leaves or has left, and is not used again.
type Departure struct {
	VM       string
	Instance string
	// Started is when the run began; zero if unknown. A run of the instance that began later
	// is another one.
	Started time.Time
}

// Covers reports whether a run of the VM's backend server is the one that has left or an
// earlier one under the same ID.
func (d Departure) Covers(instance string, started time.Time) bool {
	return instance == d.Instance && !started.After(d.Started)
}

// departureTable holds the latest departures that a node has learned of. No process keeps a
// departure beyond its end, and the key-value service may lose it, so nodes tell each other.
type departureTable struct {
	// started holds the starts of the runs, by instance.
	started map[instanceKey]time.Time
	// order holds the instances in the order in which they were learned of.
	order []instanceKey
}

// instanceKey names an instance of a VM's backend server.
type instanceKey struct {
	vm, instance string
}

// add adds a departure and reports whether it was new.
func (t *departureTable) add(added Departure) bool {
	key := instanceKey{vm: added.VM, instance: added.Instance}
	started, known := t.started[key]
	if known && !added.Started.After(started) {
		return false
	}
	if t.started == nil {
		t.started = make(map[instanceKey]time.Time)
	}
	t.started[key] = added.Started
	if known {
		return true
	}
	t.order = append(t.order, key)
	if len(t.order) > maxDepartures {
		delete(t.started, t.order[0])
		t.order = slices.Delete(t.order, 0, 1)
	}
	return true
}

// of returns the departures of a VM's backend server.
func (t *departureTable) of(vm string) []Departure {
	return t.departures(vm, len(t.order))
}

// latestFor returns the departures to send to the node of a VM: those of its own backend
// server and the latest others.
func (t *departureTable) latestFor(vm string) []Departure {
	return t.departures(vm, len(t.order)-maxSentDepartures)
}

// departures returns those of a VM's backend server, and all from a place in the order on.
func (t *departureTable) departures(vm string, from int) []Departure {
	var found []Departure
	for i, key := range t.order {
		if i >= from || key.vm == vm {
			found = append(found, Departure{VM: key.vm, Instance: key.instance, Started: t.started[key]})
		}
	}
	return found
}

func departuresToMessage(departures []Departure) []*peerpb.Departure {
	messages := make([]*peerpb.Departure, len(departures))
	for i, d := range departures {
		messages[i] = &peerpb.Departure{Vm: d.VM, Instance: d.Instance}
		if !d.Started.IsZero() {
			messages[i].StartedUnixMillis = d.Started.UnixMilli()
		}
	}
	return messages
}

func departuresFromMessage(messages []*peerpb.Departure) []Departure {
	departures := make([]Departure, len(messages))
	for i, m := range messages {
		departures[i] = Departure{VM: m.GetVm(), Instance: m.GetInstance()}
		if m.GetStartedUnixMillis() != 0 {
			departures[i].Started = time.UnixMilli(m.GetStartedUnixMillis())
		}
	}
	return departures
}
