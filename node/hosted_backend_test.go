package node

import (
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/backend"
	"auburngap/logs"
	"auburngap/roster"
)

// TestContinuesRun restarts a node beside a server that is leaving: a late report
// must not put the server back into use, but a later run may.
func TestContinuesRun(t *testing.T) {
	began := time.UnixMilli(1000)
	published := roster.Backend{Instance: "i-1", Started: began, Draining: true}
	cases := []struct {
		name     string
		instance string
		started  time.Time
		want     bool
	}{
		{"the same run", "i-1", began, true},
		{"an earlier start", "i-1", began.Add(-time.Second), true},
		{"no start is reported", "i-1", time.Time{}, true},
		{"a later run under the same ID", "i-1", began.Add(time.Second), false},
		{"another instance", "i-2", began, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := continuesRun(published, backend.Announcement{Instance: c.instance, Started: c.started})
			assert.Equal(t, got, c.want)
		})
	}
}

// TestLeaveDuringRestore lets a server leave while its node restarts: the first report
// that the new process gets is that the server leaves. What an earlier process
// published must not keep the server in use, in either order.
func TestLeaveDuringRestore(t *testing.T) {
	published := []roster.Member{{VM: "vm-1", Backend: &roster.Backend{Service: "orders", Instance: "i-1", Slots: 10}}}
	cases := []struct {
		name  string
		steps func(h *Hosted)
		// used reports whether the server may still be used.
		used bool
	}{
		{"the leave comes after", func(h *Hosted) {
			h.restoreBackend(published)
			h.HandleLeave("i-1")
		}, false},
		{"the leave comes before", func(h *Hosted) {
			h.HandleLeave("i-1")
			h.restoreBackend(published)
		}, false},
		{"the leave comes before, and a late report after", func(h *Hosted) {
			h.HandleLeave("i-1")
			h.restoreBackend(published)
			h.HandleReport(backend.Announcement{Service: "orders", Instance: "i-1", Slots: 10})
		}, false},
		{"another instance has left", func(h *Hosted) {
			h.HandleLeave("i-0")
			h.restoreBackend(published)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHosted(t)
			c.steps(h)
			current, ok := h.announced.Current()
			assert.Equal(t, ok && !current.Draining, c.used)
		})
	}
}

func newTestHosted(t *testing.T) *Hosted {
	t.Helper()
	h, err := NewHosted(HostedConfig{
		VM:             "vm-1",
		Zone:           "z",
		BackendAddress: netip.MustParseAddrPort("127.0.0.1:1"),
		Loggers:        logs.Loggers{Main: zap.NewNop(), Routine: zap.NewNop()},
	})
	assert.NilError(t, err)
	return h
}

// TestRestoreBackend restarts a node beside a server that still runs, as after all nodes
// were killed at once: the node must accept requests for its server as soon as it has
// read the store, and not only with the next report, which may take a heartbeat.
func TestRestoreBackend(t *testing.T) {
	published := roster.Backend{Service: "orders", Instance: "i-1", Slots: 10}
	draining := published
	draining.Draining = true
	reported := &backend.Announcement{Service: "orders", Instance: "i-2", Slots: 12}
	cases := []struct {
		name      string
		published *roster.Backend
		reported  *backend.Announcement
		want      string
		draining  bool
	}{
		{"a server that still runs", &published, nil, "i-1", false},
		{"a server that was leaving", &draining, nil, "", false},
		{"no server", nil, nil, "", false},
		{"a report came first", &published, reported, "i-2", false},
		{"a late report of a server that was leaving", &draining, &backend.Announcement{Service: "orders", Instance: "i-1", Slots: 10}, "i-1", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHosted(t)
			if c.reported != nil {
				h.HandleReport(*c.reported)
			}
			h.restoreBackend([]roster.Member{{VM: "vm-0", Backend: &published}, {VM: "vm-1", Backend: c.published}})
			current, _ := h.announced.Current()
			assert.Equal(t, current.Instance, c.want)
			assert.Equal(t, current.Draining, c.draining)
		})
	}
}
