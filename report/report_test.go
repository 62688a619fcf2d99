package report_test

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"auburngap/report"
	"auburngap/request"
)

var start = time.Date(2027, 3, 1, 18, 0, 0, 0, time.UTC)

// siteSnapshots returns the snapshots of two nodes over five minutes. In the third
// minute one workspace sends several times its rate and the services slow down.
func siteSnapshots(t *testing.T) []report.Snapshot {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	var snapshots []report.Snapshot
	for _, vm := range []string{"wdh-1", "wdh-2"} {
		recorder := report.NewRecorder(report.Config{VM: vm, Zone: "katutura"})
		for second := range 300 {
			now := start.Add(time.Duration(second) * time.Second)
			recordSecond(recorder, random, now, second >= 120 && second < 180)
		}
		snapshots = append(snapshots, recorder.Snapshot(start.Add(5*time.Minute)))
	}
	return snapshots
}

func recordSecond(recorder *report.Recorder, random *rand.Rand, now time.Time, overload bool) {
	services := []string{"term-dictionary", "rulings-archive", "correction-notices", "page-close-helper"}
	for w, workspace := range []string{"national-daily", "evening-post", "namib-broadcast", "oshana-weekly", "desk", ""} {
		count := 24 / (w + 1)
		if overload && w == 1 {
			count *= 5
		}
		for range count {
			i := random.IntN(len(services))
			s := report.Sample{
				Service: services[i], Workspace: workspace, Priority: request.Priority(3 - i),
				Outcome: request.Answered, Status: http.StatusOK, WithinRate: true,
				Latency: time.Duration(float64(2+3*i) * (1 + random.ExpFloat64()) * float64(time.Millisecond)),
			}
			if overload {
				applyOverload(&s, random, w)
			}
			recorder.Record(s, now)
		}
	}
}

func applyOverload(s *report.Sample, random *rand.Rand, workspace int) {
	s.Latency *= 3
	switch refused := random.IntN(10); {
	case workspace == 1 && refused < 8:
		s.Outcome, s.Cause, s.WithinRate = request.NotRun, request.CauseRate, false
	case refused < 2*int(s.Priority):
		s.Outcome, s.Cause = request.NotRun, request.CauseOverload
	case refused == 9:
		s.Outcome, s.Cause = request.Unknown, request.CauseDeadline
	}
}

func siteSummary(t *testing.T) report.Summary {
	merged := report.Merge(siteSnapshots(t))
	return merged.Summarize([]time.Duration{5 * time.Minute, time.Minute}, report.DefaultObjectives())
}

func TestText(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, siteSummary(t).WriteText(&out))
	golden.Assert(t, out.String(), "report.golden")
}

func TestMergeKeepsEveryCount(t *testing.T) {
	snapshots := siteSnapshots(t)
	merged := report.Merge(snapshots)
	encoded, err := json.Marshal(merged)
	assert.NilError(t, err)
	var decoded report.Snapshot
	assert.NilError(t, json.Unmarshal(encoded, &decoded))
	assert.DeepEqual(t, decoded, merged)
	assert.Equal(t, requests(merged), requests(snapshots[0])+requests(snapshots[1]))
}

func requests(s report.Snapshot) uint64 {
	sum := uint64(0)
	for _, series := range s.Series {
		for _, slot := range series.Slots {
			sum += slot.Requests
		}
	}
	return sum
}

func TestClasses(t *testing.T) {
	cases := []struct {
		name                           string
		sample                         report.Sample
		requests, good, wrong, refused uint64
	}{
		{"answered", report.Sample{Outcome: request.Answered, Status: 200}, 1, 1, 0, 0},
		{"answered not found", report.Sample{Outcome: request.Answered, Status: 404}, 1, 1, 0, 0},
		{"server error", report.Sample{Outcome: request.Answered, Status: 500}, 1, 0, 0, 0},
		{"over rate", report.Sample{Outcome: request.NotRun, Cause: request.CauseRate}, 0, 0, 0, 1},
		{"wrongful refusal", report.Sample{Outcome: request.NotRun, Cause: request.CauseRate, WithinRate: true}, 1, 0, 1, 0},
		{"shed within rate", report.Sample{Outcome: request.NotRun, Cause: request.CauseOverload, WithinRate: true}, 1, 0, 1, 0},
		{"unknown", report.Sample{Cause: request.CauseDeadline, WithinRate: true}, 1, 0, 0, 0},
		{"unknown key", report.Sample{Outcome: request.NotRun, Cause: request.CauseUnknownKey}, 0, 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			recorder := report.NewRecorder(report.Config{})
			recorder.Record(c.sample, start)
			row := recorder.Snapshot(start).Summarize([]time.Duration{time.Minute}, report.DefaultObjectives()).Rows[0]
			assert.DeepEqual(t, []uint64{row.Requests, row.Good, row.Wrongful, row.Rejected}, []uint64{c.requests, c.good, c.wrong, c.refused})
		})
	}
}

// TestBounds checks that old slots are overwritten and that series beyond the limit
// share one.
func TestBounds(t *testing.T) {
	recorder := report.NewRecorder(report.Config{Slots: 3, MaxSeries: 2})
	for i := range 10 {
		sample := report.Sample{Workspace: string(rune('a' + i%5)), Outcome: request.Answered}
		recorder.Record(sample, start.Add(time.Duration(i)*10*time.Second))
	}
	recorder.Record(report.Sample{Workspace: "a"}, start) // too old
	snapshot := recorder.Snapshot(start.Add(90 * time.Second))
	assert.Equal(t, requests(snapshot), uint64(3))
	assert.Equal(t, snapshot.Series[0].Workspace, "other")
}

// TestLatency checks that the percentiles are accurate to a bucket's width.
func TestLatency(t *testing.T) {
	recorder := report.NewRecorder(report.Config{})
	for i := 1; i <= 1000; i++ {
		recorder.Record(report.Sample{Outcome: request.Answered, Latency: time.Duration(i) * time.Millisecond}, start)
	}
	row := recorder.Snapshot(start).Summarize([]time.Duration{time.Minute}, report.DefaultObjectives()).Rows[0]
	assertClose := func(got int64, want time.Duration) {
		ratio := float64(got) / float64(want.Microseconds())
		assert.Assert(t, ratio > 0.93 && ratio < 1.07, "%dus instead of %s", got, want)
	}
	assertClose(row.P50Micros, 500*time.Millisecond)
	assertClose(row.P99Micros, 990*time.Millisecond)
}

func BenchmarkRecord(b *testing.B) {
	recorder := report.NewRecorder(report.Config{})
	sample := report.Sample{Service: "orders", Workspace: "families", Outcome: request.Answered, Status: 200, Latency: time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		recorder.Record(sample, start)
	}
}
