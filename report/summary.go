package report

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The groups of rows.
const (
	GroupAll       = "all"
	GroupService   = "service"
	GroupWorkspace = "workspace"
	GroupPriority  = "priority"
)

// groups is the order in which reports show them.
var groups = []string{GroupAll, GroupService, GroupWorkspace, GroupPriority}

// Summary is the state of a site over a window of time.
type Summary struct {
	VMs    []string      `json:"vms"`
	Zones  []string      `json:"zones"`
	From   time.Time     `json:"from"`
	To     time.Time     `json:"to"`
	Window time.Duration `json:"-"`
	Rows   []Row         `json:"rows"`

	snapshot Snapshot
}

// Row is the counts of one service, workspace, priority, or of all.
type Row struct {
	Group string `json:"group"`
	Name  string `json:"name"`
	// Requests counts all but those rejected by their callers' doing.
	Requests uint64 `json:"requests"`
	Good     uint64 `json:"good"`
	Rejected uint64 `json:"rejected"`
	Wrongful uint64 `json:"wrongful"`
	// GoodPerSecond is the goodput.
	GoodPerSecond float64 `json:"goodPerSecond"`
	// GoodShare is from 0 to 1; 1 without requests.
	GoodShare float64 `json:"goodShare"`
	// Burn is the share of failures over the share allowed.
	Burn      float64           `json:"burn"`
	P50Micros int64             `json:"p50Micros"`
	P99Micros int64             `json:"p99Micros"`
	MaxMicros int64             `json:"maxMicros"`
	Causes    map[string]uint64 `json:"causes"`

	// allowed is the number of failures that the objectives allow.
	allowed   float64
	histogram *hdrhistogram.Histogram
}

// Summarize adds up the slots of the window before the snapshot was taken.
func (s Snapshot) Summarize(window time.Duration, objectives Objectives) Summary {
	summary := Summary{VMs: s.VMs, Zones: s.Zones, From: s.Taken.Add(-window), To: s.Taken, Window: window, snapshot: s}
	rows := make(map[string]*Row)
	for _, series := range s.Series {
		names := []string{GroupAll, series.Service, workspaceName(series.Workspace), fmt.Sprint(series.Priority)}
		for _, slot := range series.Slots {
			if slot.Start.Before(summary.From) {
				continue
			}
			for i, group := range groups {
				rowOf(rows, group, names[i]).add(slot, 1-objectives[series.Priority])
			}
		}
	}
	for _, row := range rows {
		row.finish(window)
		summary.Rows = append(summary.Rows, *row)
	}
	slices.SortFunc(summary.Rows, compareRows)
	return summary
}

// workspaceName names the requests of open routes.
func workspaceName(name string) string {
	if name == "" {
		return "(open)"
	}
	return name
}

func compareRows(a, b Row) int {
	if a.Group != b.Group {
		return slices.Index(groups, a.Group) - slices.Index(groups, b.Group)
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

func (r *Row) add(slot Slot, allowedShare float64) {
	counted := slot.Requests - slot.Rejected
	r.Requests += counted
	r.Good += slot.Good
	r.Rejected += slot.Rejected
	r.Wrongful += slot.Wrongful
	r.allowed += float64(counted) * allowedShare
	for cause, count := range slot.Causes {
		r.Causes[cause] += count
	}
	for bucket, count := range slot.Latency {
		// A latency beyond the histogram's range is counted at its end.
		middle := min(middleOf(bucket), longestLatency)
		_ = r.histogram.RecordValues(middle.Microseconds(), int64(count))
	}
}

func (r *Row) finish(window time.Duration) {
	r.GoodPerSecond = float64(r.Good) / window.Seconds()
	r.GoodShare = 1
	if r.Requests > 0 {
		r.GoodShare = float64(r.Good) / float64(r.Requests)
	}
	if r.allowed > 0 {
		r.Burn = float64(r.Requests-r.Good) / r.allowed
	}
	r.P50Micros = quantile(r.histogram, 50).Microseconds()
	r.P99Micros = quantile(r.histogram, 99).Microseconds()
	r.MaxMicros = r.histogram.Max()
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
