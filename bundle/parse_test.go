package bundle_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"auburngap/bundle"
)

// sites are the sites of the two users, whose bundles are in deploy/.
var sites = []string{"caltanissetta", "windhoek"}

func readSite(t testing.TB, site string) []byte {
	t.Helper()
	source, err := os.ReadFile("../deploy/" + site + "/bundle.json")
	assert.NilError(t, err)
	return source
}

func parseSite(t testing.TB, site string) *bundle.Bundle {
	t.Helper()
	b, err := bundle.Parse(readSite(t, site))
	assert.NilError(t, err)
	return b
}

func TestParseSites(t *testing.T) {
	for _, site := range sites {
		t.Run(site, func(t *testing.T) {
			b := parseSite(t, site)
			assert.Equal(t, len(b.Workspaces), 8)
			assert.Equal(t, len(b.Services), 4)
		})
	}
}

// TestParseFaults makes one change to a correct bundle in each case.
func TestParseFaults(t *testing.T) {
	cases := []struct{ name, old, new string }{
		{"syntax", `"signOffs": 2,`, `"signOffs": 2;`},
		{"unknown field", `"signOffs"`, `"signoffs"`},
		{"duplicate field", `"signOffs": 2,`, `"signOffs": 2, "signOffs": 1,`},
		{"wrong type", `"rate": 500`, `"rate": "500"`},
		{"null", `"signOffs": 2`, `"signOffs": null`},
		{"bad duration", `"timeout": "500ms"`, `"timeout": "500"`},
		{"not a list", `"calls": ["term-dictionary"]`, `"calls": "term-dictionary"`},
		{"too many sign-offs", `"signOffs": 2`, `"signOffs": 4`},
		{"duplicate operator", `"name": "martha"`, `"name": "tuyeni"`},
		{"bad operator key", `"publicKey": "`, `"publicKey": "A`},
		{"no shards", `"shards": 4 }`, `"shards": 0 }`},
		{"rate zero", `"rate": 500`, `"rate": 0`},
		{"burst below one", `"burst": 1000`, `"burst": 0.5`},
		{"negative weight", `"weight": 6`, `"weight": -6`},
		{"shares not summing to one", `"weight": 6,`, `"weight": 6, "zoneShares": { "katutura": 0.5, "windhoek": 0.4 },`},
		{"bad hash", `"hash": "`, `"hash": "A`},
		{"duplicate key ID", `"evening-post-demo"`, `"national-daily-demo"`},
		{"duplicate workspace", `"name": "evening-post"`, `"name": "national-daily"`},
		{"bad name", `"name": "evening-post"`, `"name": "Evening Post"`},
		{"unknown callee", `"calls": ["term-dictionary"]`, `"calls": ["dictionary"]`},
		{"call cycle", `"timeout": "500ms" }`, `"timeout": "500ms", "calls": ["page-close-helper"] }`},
		{"unknown service of a route", `"service": "page-close-helper"`, `"service": "helper"`},
		{"unknown workspace of a route", `"name": "close-page",`, `"name": "close-page", "workspaces": ["nobody"],`},
		{"routes overlapping", `"methods": ["GET"], "prefix": "/corrections"`, `"prefix": "/corrections"`},
		{"prefix without slash", `"prefix": "/pages"`, `"prefix": "pages"`},
		{"unknown priority", `"priority": 3`, `"priority": 8`},
		{"timeout zero", `"timeout": "4s", "retryBudget": 4`, `"timeout": "0s", "retryBudget": 4`},
		{"timeout too long", `"timeout": "4s", "retryBudget": 4`, `"timeout": "4h", "retryBudget": 4`},
		{"negative retry budget", `"retryBudget": 4`, `"retryBudget": -4`},
		{"idempotent commitment", `"commitment": true`, `"commitment": true, "idempotent": true`},
		{"open commitment", `"commitment": true`, `"commitment": true, "open": true`},
		{"margin below one", `"admissionMargin": 1.1`, `"admissionMargin": 0.9`},
		{"margin too high", `"admissionMargin": 1.1`, `"admissionMargin": 3.1`},
	}
	source := string(readSite(t, "windhoek"))
	var report strings.Builder
	for _, c := range cases {
		assert.Assert(t, strings.Contains(source, c.old), c.name)
		_, err := bundle.Parse([]byte(strings.Replace(source, c.old, c.new, 1)))
		var faults *bundle.FaultsError
		assert.Assert(t, errors.As(err, &faults), c.name)
		report.WriteString("-- " + c.name + "\n" + err.Error() + "\n")
	}
	golden.Assert(t, report.String(), "faults.golden")
}

func TestParseFindsEveryFault(t *testing.T) {
	source := strings.NewReplacer(`"rate": 500`, `"rate": 0`, `"weight": 5`, `"weight": 0`, `"priority": 3`, `"priority": 9`)
	_, err := bundle.Parse([]byte(source.Replace(string(readSite(t, "windhoek")))))
	var faults *bundle.FaultsError
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, len(faults.Faults), 3, "%v", err)
}

func FuzzParse(f *testing.F) {
	for _, site := range sites {
		f.Add(readSite(f, site))
	}
	f.Add([]byte(`{}`))
	f.Add([]byte(`[{"a": 1}]`))
	f.Add([]byte(`{"routes": [{"prefix": "\u0000"}], "zones": {}}`))
	f.Fuzz(func(t *testing.T, source []byte) {
		b, err := bundle.Parse(source)
		if err != nil {
			return
		}
		assert.Equal(t, len(b.Check()), 0)
		sections, err := bundle.Split(b)
		assert.NilError(t, err)
		joined, err := sections.Join(b.Version)
		assert.NilError(t, err)
		again, err := bundle.Split(joined)
		assert.NilError(t, err)
		assert.Equal(t, sections.Root(), again.Root())
	})
}
