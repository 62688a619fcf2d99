package report

import (
	"cmp"
	"slices"
	"time"

	"auburngap/request"
)

// Snapshot holds the counts of one node, or of several nodes added up.
type Snapshot struct {
	VMs   []string  `json:"vms"`
	Zones []string  `json:"zones"`
	Taken time.Time `json:"taken"`
	// SlotLengthMicros is the time that one slot covers, in microseconds.
	SlotLengthMicros int64    `json:"slotLengthMicros"`
	Series           []Series `json:"series"`
}

// Series holds the counts of one service, workspace and priority.
type Series struct {
	Service   string           `json:"service"`
	Workspace string           `json:"workspace,omitempty"`
	Priority  request.Priority `json:"priority"`
	Slots     []Slot           `json:"slots"`
}

// Slot holds the counts of one interval of Snapshot.SlotLength.
type Slot struct {
	// Start is when the slot begins.
	Start    time.Time `json:"start"`
	Requests uint64    `json:"requests"`
	Good     uint64    `json:"good"`
	// Rejected counts requests that failed because of their callers.
	Rejected uint64 `json:"rejected,omitempty"`
	// Wrongful counts requests that did not run although they were within the rate.
	Wrongful uint64 `json:"wrongful,omitempty"`
	// Causes counts the requests that were not good, by cause.
	Causes map[string]uint64 `json:"causes,omitempty"`
	// Latency counts the good requests by bucket.
	Latency map[int]uint64 `json:"latency,omitempty"`
}

// SlotLength returns the time that one slot covers.
func (s Snapshot) SlotLength() time.Duration {
	return time.Duration(s.SlotLengthMicros) * time.Microsecond
}

// Snapshot returns the recorder's counts, ordered by service, workspace,
// priority and time.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	r.mu.RLock()
	defer r.mu.RUnlock()
	snapshot := Snapshot{
		VMs:              []string{r.config.VM},
		Zones:            []string{r.config.Zone},
		Taken:            now.UTC(),
		SlotLengthMicros: r.config.SlotLength.Microseconds(),
		Series:           []Series{},
	}
	oldest := now.UnixNano()/int64(r.config.SlotLength) - int64(r.config.Slots)
	for key, s := range r.series {
		copied := Series{Service: key.service, Workspace: key.workspace, Priority: key.priority}
		copied.Slots = s.copySlots(oldest, r.config.SlotLength)
		if len(copied.Slots) > 0 {
			snapshot.Series = append(snapshot.Series, copied)
		}
	}
	slices.SortFunc(snapshot.Series, compareSeries)
	return snapshot
}

func compareSeries(a, b Series) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Priority, b.Priority),
	)
}

// copySlots returns copies of the slots with numbers above oldest.
func (s *series) copySlots(oldest int64, length time.Duration) []Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var slots []Slot
	for _, slot := range s.slots {
		if slot != nil && slot.number > oldest {
			slots = append(slots, slot.toSlot(length))
		}
	}
	slices.SortFunc(slots, func(a, b Slot) int { return a.Start.Compare(b.Start) })
	return slots
}

func (s *slot) toSlot(length time.Duration) Slot {
	copied := Slot{
		Start:    time.Unix(0, s.number*int64(length)).UTC(),
		Requests: s.requests,
		Good:     s.good,
		Rejected: s.rejected,
		Wrongful: s.wrongful,
		Latency:  make(map[int]uint64),
	}
	for bucket, count := range s.latency {
		if count > 0 {
			copied.Latency[bucket] = uint64(count)
		}
	}
	if len(s.causes) > 0 {
		copied.Causes = make(map[string]uint64)
	}
	for cause, count := range s.causes {
		copied.Causes[causeName(cause)] += count
	}
	return copied
}

// causeName returns the name of a cause; CauseNone is a backend server's own 5xx.
func causeName(cause request.Cause) string {
	if cause == request.CauseNone {
		return "backendError"
	}
	return cause.String()
}

// Merge adds up the snapshots of many nodes.
func Merge(snapshots []Snapshot) Snapshot {
	merged := Snapshot{Series: []Series{}}
	slots := make(map[slotKey]*Slot)
	for _, s := range snapshots {
		merged.VMs = append(merged.VMs, s.VMs...)
		merged.Zones = append(merged.Zones, s.Zones...)
		merged.SlotLengthMicros = max(merged.SlotLengthMicros, s.SlotLengthMicros)
		if s.Taken.After(merged.Taken) {
			merged.Taken = s.Taken
		}
		for _, series := range s.Series {
			addSlots(slots, series)
		}
	}
	slices.Sort(merged.VMs)
	slices.Sort(merged.Zones)
	merged.Zones = slices.Compact(merged.Zones)
	merged.Series = groupBySeries(slots)
	return merged
}

type slotKey struct {
	seriesKey
	start int64
}

func addSlots(slots map[slotKey]*Slot, series Series) {
	for _, slot := range series.Slots {
		key := slotKey{seriesKey{series.Service, series.Workspace, series.Priority}, slot.Start.UnixNano()}
		if slots[key] == nil {
			slots[key] = &Slot{Start: slot.Start, Latency: make(map[int]uint64)}
		}
		slots[key].add(slot)
	}
}

func (s *Slot) add(other Slot) {
	s.Requests += other.Requests
	s.Good += other.Good
	s.Rejected += other.Rejected
	s.Wrongful += other.Wrongful
	for bucket, count := range other.Latency {
		s.Latency[bucket] += count
	}
	if s.Causes == nil && len(other.Causes) > 0 {
		s.Causes = make(map[string]uint64)
	}
	for cause, count := range other.Causes {
		s.Causes[cause] += count
	}
}

func groupBySeries(slots map[slotKey]*Slot) []Series {
	byKey := make(map[seriesKey][]Slot)
	for key, slot := range slots {
		byKey[key.seriesKey] = append(byKey[key.seriesKey], *slot)
	}
	all := []Series{}
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b Slot) int { return a.Start.Compare(b.Start) })
		all = append(all, Series{Service: key.service, Workspace: key.workspace, Priority: key.priority, Slots: list})
	}
	slices.SortFunc(all, compareSeries)
	return all
}
