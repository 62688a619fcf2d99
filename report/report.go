// Package report counts the results of customer requests and shows how fast
// services, workspaces and priorities use up their error budgets.
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
// Package page draws a summary. It is a separate package so that nodes, which import
// this one, don't hold the fonts and drawing libraries in memory.
//
// The burn is the fraction of failed requests divided by the fraction that the
// objective allows: at 1 the objective is just met, at 10 the error budget of a
// month is used up in three days.
package report

import (
	"time"

	"auburngap/request"
)

// Sample is the result of one customer request at its entry node.
type Sample struct {
	Service   string
	Workspace string
	Priority  request.Priority
	// Status is the HTTP status of the answer.
	Status  int
	Outcome request.Outcome
	// Cause is CauseNone if a backend server answered.
	Cause request.Cause
	// Latency is the time from the request's arrival to the end of its answer.
	Latency time.Duration
	// WithinRate reports whether the workspace was within its rate and burst.
	WithinRate bool
}

// class says how a sample is counted.
type class uint8

const (
	// good requests were answered by a backend server without a server error.
	good class = iota
	// failed requests count against the objective.
	failed
	// rejected requests failed because of their caller and don't count for or
	// against the objective.
	rejected
)

// callerCauses are the causes of refusals for which the caller is responsible.
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

const minServerErrorStatus = 500

func (s Sample) class() class {
	switch {
	case s.Outcome == request.Answered && s.Cause == request.CauseNone:
		if s.Status >= minServerErrorStatus {
			return failed
		}
		return good
	case callerCauses[s.Cause], s.Cause == request.CauseRate && !s.WithinRate:
		return rejected
	default:
		return failed
	}
}

// Objectives are the required fractions of good requests, by priority.
type Objectives [request.Priorities]float64

// DefaultObjectives returns the objectives that apply if operators give none.
func DefaultObjectives() Objectives {
	return Objectives{0.999, 0.99, 0.95, 0.9}
}
