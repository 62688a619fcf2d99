package page_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"auburngap/page"
	"auburngap/report"
)

// siteSnapshots returns the snapshots of two nodes over five minutes. In the third
// minute one workspace sends several times its rate and a service slows down.
func siteSnapshots(t *testing.T) []report.Snapshot {
	data, err := os.ReadFile("testdata/snapshots.json")
	assert.NilError(t, err)
	var snapshots []report.Snapshot
	assert.NilError(t, json.Unmarshal(data, &snapshots))
	return snapshots
}

func TestPage(t *testing.T) {
	summary := report.Merge(siteSnapshots(t)).Summarize([]time.Duration{5 * time.Minute, time.Minute}, report.DefaultObjectives())
	var out bytes.Buffer
	assert.NilError(t, page.Write(&out, summary))
	golden.Assert(t, out.String(), "page.golden")
}

func TestEmptyPage(t *testing.T) {
	recorder := report.NewRecorder(report.Config{VM: "wdh-1", Zone: "katutura"})
	now := time.Date(2027, 3, 1, 18, 0, 0, 0, time.UTC)
	summary := recorder.Snapshot(now).Summarize([]time.Duration{time.Minute}, report.DefaultObjectives())
	assert.NilError(t, page.Write(&bytes.Buffer{}, summary))
}
