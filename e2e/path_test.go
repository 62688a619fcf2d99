package e2e

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPath checks that requests over five hops and a fan-out of three are served, and
// that requests without permission are refused.
func TestPath(t *testing.T) {
	w := newTestSite(t, chainBundle())
	entry := w.node("a").Settings.CallerAddress

	t.Run("chain", func(t *testing.T) {
		got := w.send(entry, "POST", "/chain/order?x=1", schoolKey, "three mugs")
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "a POST /chain/order?x=1\nthree mugs")
		assert.Equal(t, got.outcome, "answered")
		assert.Assert(t, got.id != "")
	})
	t.Run("large body", func(t *testing.T) {
		body := strings.Repeat("mug ", 1<<20)
		got := w.send(entry, "PUT", "/single", schoolKey, body)
		assert.Equal(t, got.status, 200)
		assert.Assert(t, got.body == "g PUT /single\n"+body)
	})

	refusals := []struct {
		name, path, key string
		status          int
		cause           string
	}{
		{"no key", "/chain", "", 401, "noKey"},
		{"unknown key", "/chain", "nobody-has-this-key", 401, "unknownKey"},
		{"workspace not allowed", "/school", parishKey, 403, "workspaceNotAllowed"},
		{"no route", "/elsewhere", schoolKey, 404, "noRoute"},
		{"key in the query", "/chain?key=" + schoolKey, schoolKey, 400, "badRequest"},
	}
	for _, c := range refusals {
		t.Run(c.name, func(t *testing.T) {
			got := w.send(entry, "GET", c.path, c.key, "")
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.cause, c.cause)
			assert.Equal(t, got.outcome, "notRun")
		})
	}
	t.Run("open route", func(t *testing.T) {
		assert.Equal(t, w.send(entry, "GET", "/open", "", "").status, 200)
	})
}
