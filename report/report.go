// Package report counts what became of customer requests and shows how fast
// services, workspaces and priorities use up what their objectives leave.
//
// # Usage
//
//	recorder := report.NewRecorder(report.Config{VM: "wdh-1", Zone: "katutura"})
//	recorder.Record(report.Sample{Service: "orders", Outcome: request.Answered, Status: 200, Latency: took}, now)
//	snapshot := recorder.Snapshot(now) // JSON of one node
//
//	merged := report.Merge(snapshots)
//	summary := merged.Summarize(report.DefaultWindows(), report.DefaultObjectives())
//	err := summary.WriteText(os.Stdout)
//
// Package page draws a summary. It is a package of its own as nodes, which import
// this one, are not to hold the fonts and drawing libraries in memory.
//
// Burn is the share of failed requests over the share that the objective
// allows: at 1 the objective is just met, at 10 the allowance of a month is
// used up in three days.
package report

import (
	"time"

	"auburngap/request"
)

// Sample is one customer request at its entry node.
type Sample struct {
	Service   string
	Workspace string
	Priority  request.Priority
	// Status is that of the answer.
	Status  int
	Outcome request.Outcome
	// Cause is CauseNone where a backend server answered.
	Cause request.Cause
	// Latency is the time from the request's arrival to the end of its answer.
	Latency time.Duration
	// WithinRate tells that the workspace was within its rate and burst.
	WithinRate bool
}

// class is what a sample counts as.
type class uint8

const (
	// good requests were answered by a backend server without a fault of its own.
	good class = iota
	// failed requests count against the objective.
	failed
	// rejected requests failed by their caller's doing and count for nothing.
	rejected
)

// callerCauses are the refusals that are the caller's own doing.
var callerCauses = map[request.Cause]bool{
	request.CauseBadRequest:          true,
	request.CauseNoKey:               true,
	request.CauseUnknownKey:          true,
	request.CauseWorkspaceNotAllowed: true,
	request.CauseNoRoute:             true,
	request.CauseTooLarge:            true,
	request.CauseIdempotencyKey:      true,
	request.CauseInProgress:          true,
	request.CauseCancelled:           true,
}

const firstServerFault = 500

func (s Sample) class() class {
	switch {
	case s.Outcome == request.Answered && s.Cause == request.CauseNone:
		if s.Status >= firstServerFault {
			return failed
		}
		return good
	case callerCauses[s.Cause], s.Cause == request.CauseRate && !s.WithinRate:
		return rejected
	default:
		return failed
	}
}

// Objectives are the shares of good requests to be kept, by priority.
type Objectives [request.Priorities]float64

// DefaultObjectives returns the objectives where operators name none.
func DefaultObjectives() Objectives {
	return Objectives{0.999, 0.99, 0.95, 0.9}
}
