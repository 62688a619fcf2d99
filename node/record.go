package node

import (
	"time"

	"auburngap/caller"
	"auburngap/report"
	"auburngap/request"
)

// record counts a customer request for the report.
func (n *Node) record(sample caller.Sample) {
	counted := sampleOf(sample)
	n.recorder.Record(counted, time.Now())
	n.counters.request(counted)
}

// sampleOf returns the sample that the report counts for a request.
func sampleOf(sample caller.Sample) report.Sample {
	counted := report.Sample{
		Service:    sample.Service,
		Workspace:  sample.Context.Workspace,
		Priority:   sample.Context.Priority,
		Status:     sample.Status,
		Outcome:    request.Answered,
		Latency:    sample.Duration,
		WithinRate: true,
	}
	if sample.Refusal != nil {
		counted.Outcome = sample.Refusal.Outcome
		counted.Cause = sample.Refusal.Cause
		counted.WithinRate = sample.Refusal.Cause != request.CauseRate
	}
	return counted
}
