package report

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The groups that rows belong to.
const (
	GroupAll       = "all"
	GroupService   = "service"
	GroupWorkspace = "workspace"
	GroupPriority  = "priority"
)

// Groups lists the groups in the order in which reports show them.
var Groups = []string{GroupAll, GroupService, GroupWorkspace, GroupPriority}

// Summary holds the figures of a site over windows of time.
type Summary struct {
	VMs   []string  `json:"vms"`
	Zones []string  `json:"zones"`
	From  time.Time `json:"from"`
	To    time.Time `json:"to"`
	// Windows are the windows of the burns, the longest last. All other figures
	// are over the longest window.
	Windows []time.Duration `json:"-"`
	Rows    []Row           `json:"rows"`

	snapshot Snapshot
}

// Row holds the figures of one service, workspace or priority, or of all requests.
type Row struct {
	Group string `json:"group"`
	Name  string `json:"name"`
	// Requests counts all requests except the rejected ones.
	Requests uint64 `json:"requests"`
	Good     uint64 `json:"good"`
	Rejected uint64 `json:"rejected"`
	Wrongful uint64 `json:"wrongful"`
	// GoodPerSecond is the goodput since the first request in the window.
	GoodPerSecond float64 `json:"goodPerSecond"`
	// GoodShare is the fraction of good requests, from 0 to 1; it is 1 without
	// requests.
	GoodShare float64 `json:"goodShare"`
	// Burn is the fraction of failures divided by the allowed fraction, over the
	// longest window.
	Burn float64 `json:"burn"`
	// Burns holds the burn over each window, by WindowName.
	Burns     map[string]float64 `json:"burns"`
	P50Micros int64              `json:"p50Micros"`
	P99Micros int64              `json:"p99Micros"`
	MaxMicros int64              `json:"maxMicros"`
	Causes    map[string]uint64  `json:"causes"`

	// budgets holds a budget for each window, in the order of Summary.Windows.
	budgets   []budget
	histogram *hdrhistogram.Histogram
}

// budget holds the failures in one window and how many the objectives allow.
type budget struct {
	failures uint64
	allowed  float64
}

func (b budget) burn() float64 {
	if b.allowed == 0 {
		return 0
	}
	return float64(b.failures) / b.allowed
}

// DefaultWindows returns the windows that apply if operators give none.
func DefaultWindows() []time.Duration {
	return []time.Duration{time.Minute, 10 * time.Minute}
}

// Summarize adds up the slots of the windows before the snapshot was taken.
// Without windows it uses DefaultWindows.
func (s Snapshot) Summarize(windows []time.Duration, objectives Objectives) Summary {
	if len(windows) == 0 {
		windows = DefaultWindows()
	}
	windows = slices.Sorted(slices.Values(windows))
	longest := windows[len(windows)-1]
	summary := Summary{VMs: s.VMs, Zones: s.Zones, From: s.Taken.Add(-longest), To: s.Taken, Windows: windows, snapshot: s}
	rows := make(map[string]*Row)
	for _, series := range s.Series {
		names := []string{GroupAll, series.Service, workspaceName(series.Workspace), fmt.Sprint(series.Priority)}
		for _, slot := range series.Slots {
			if slot.Start.Before(summary.From) {
				continue
			}
			for i, group := range Groups {
				row := rowOf(rows, group, names[i])
				row.add(slot)
				row.addToBudgets(slot, s.Taken.Sub(slot.Start), windows, 1-objectives[series.Priority])
			}
		}
	}
	covered := summary.covered(longest)
	for _, row := range rows {
		row.finish(windows, covered)
		summary.Rows = append(summary.Rows, *row)
	}
	slices.SortFunc(summary.Rows, compareRows)
	return summary
}

// workspaceName returns the name of a workspace, or "(open)" for requests of open
// routes, which have none.
func workspaceName(name string) string {
	if name == "" {
		return "(open)"
	}
	return name
}

func compareRows(a, b Row) int {
	if a.Group != b.Group {
		return slices.Index(Groups, a.Group) - slices.Index(Groups, b.Group)
	}
	return strings.Compare(a.Name, b.Name)
}

func rowOf(rows map[string]*Row, group, name string) *Row {
	key := group + "\n" + name
	if rows[key] == nil {
		rows[key] = &Row{Group: group, Name: name, Causes: make(map[string]uint64), histogram: newHistogram()}
	}
	return rows[key]
}

func (r *Row) add(slot Slot) {
	r.Requests += slot.Requests - slot.Rejected
	r.Good += slot.Good
	r.Rejected += slot.Rejected
	r.Wrongful += slot.Wrongful
	for cause, count := range slot.Causes {
		r.Causes[cause] += count
	}
	for bucket, count := range slot.Latency {
		// A latency beyond the histogram's range is counted at its maximum.
		middle := min(bucketMiddle(bucket), maxLatency)
		_ = r.histogram.RecordValues(middle.Microseconds(), int64(count))
	}
}

// addToBudgets adds a slot to the budget of each window that contains it.
func (r *Row) addToBudgets(slot Slot, age time.Duration, windows []time.Duration, allowedFraction float64) {
	if r.budgets == nil {
		r.budgets = make([]budget, len(windows))
	}
	counted := slot.Requests - slot.Rejected
	for i, window := range windows {
		if age <= window {
			r.budgets[i].failures += counted - slot.Good
			r.budgets[i].allowed += float64(counted) * allowedFraction
		}
	}
}

// covered returns the duration of the part of the longest window since the first
// request.
func (s Summary) covered(longest time.Duration) time.Duration {
	timeline := s.Timeline()
	if len(timeline.Starts) == 0 {
		return longest
	}
	return min(longest, max(timeline.Length, s.To.Sub(timeline.Starts[0])))
}

func (r *Row) finish(windows []time.Duration, covered time.Duration) {
	r.GoodPerSecond = float64(r.Good) / covered.Seconds()
	r.GoodShare = 1
	if r.Requests > 0 {
		r.GoodShare = float64(r.Good) / float64(r.Requests)
	}
	r.Burns = make(map[string]float64)
	for i, window := range windows {
		r.Burn = r.budgets[i].burn()
		r.Burns[WindowName(window)] = r.Burn
	}
	r.P50Micros = percentile(r.histogram, 50).Microseconds()
	r.P99Micros = percentile(r.histogram, 99).Microseconds()
	r.MaxMicros = r.histogram.Max()
}

// WindowName formats a window without trailing zero units, such as "5m" or "1h30m".
func WindowName(window time.Duration) string {
	name := window.String()
	for _, zero := range []string{"m0s", "h0m"} {
		if strings.HasSuffix(name, zero) {
			name = strings.TrimSuffix(name, zero[1:])
		}
	}
	return name
}

// Group returns the rows of a group.
func (s Summary) Group(group string) []Row {
	var rows []Row
	for _, row := range s.Rows {
		if row.Group == group {
			rows = append(rows, row)
		}
	}
	return rows
}
