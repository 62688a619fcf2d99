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
			h.HandleReport(backend.Announcement{Service: "orders", Instance: "i-1", Slots: 10})
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

// TestRestoreBackend guards against a server that has left and is in use again after a
// restart of its node: the earlier process acknowledged that it leaves and ended before the
// key-value service had it. Only a report to this process shows that a server is in use;
// with it the server is used at once, unless it was published as leaving.
func TestRestoreBackend(t *testing.T) {
	published := roster.Backend{Service: "orders", Instance: "i-1", Slots: 10}
	draining := published
	draining.Draining = true
	same := &backend.Announcement{Service: "orders", Instance: "i-1", Slots: 10}
	other := &backend.Announcement{Service: "orders", Instance: "i-2", Slots: 12}
	type state struct {
		instance string
		draining bool
	}
	cases := []struct {
		name      string
		published *roster.Backend
		// before and after are reports that come before and after the first view.
		before, after *backend.Announcement
		want          state
	}{
		{"a server that does not report", &published, nil, nil, state{}},
		{"a server that reports", &published, nil, same, state{"i-1", false}},
		{"a report came first", &published, same, nil, state{"i-1", false}},
		{"a successor reports", &published, nil, other, state{"i-2", false}},
		{"a successor's report came first", &published, other, nil, state{"i-2", false}},
		{"a server that was leaving", &draining, nil, nil, state{"i-1", true}},
		{"a late report of a server that was leaving", &draining, nil, same, state{"i-1", true}},
		{"a late report came first", &draining, same, nil, state{"i-1", true}},
		{"a successor of a server that was leaving", &draining, nil, other, state{"i-2", false}},
		{"no server", nil, nil, nil, state{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHosted(t)
			if c.before != nil {
				h.HandleReport(*c.before)
			}
			h.restoreBackend([]roster.Member{{VM: "vm-0", Backend: &published}, {VM: "vm-1", Backend: c.published}})
			if c.after != nil {
				h.HandleReport(*c.after)
			}
			current, _ := h.announced.Current()
			assert.Equal(t, state{current.Instance, current.Draining}, c.want)
		})
	}
}

// TestRestoredLeaveIsPublished guards against a server that has left and is in use again
// after a second restart of its node: the process between the two must publish what it
// learned from the first.
func TestRestoredLeaveIsPublished(t *testing.T) {
	h := newTestHosted(t)
	h.restoreBackend([]roster.Member{{VM: "vm-1", Backend: &roster.Backend{Service: "orders", Instance: "i-1", Slots: 10, Draining: true}}})
	published := h.member().Backend
	assert.Assert(t, published != nil)
	assert.Equal(t, published.Instance, "i-1")
	assert.Assert(t, published.Draining)
}
