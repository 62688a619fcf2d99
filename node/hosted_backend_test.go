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
			h.restoreBackend(roster.View{Members: published, Settled: true})
			h.HandleLeave("i-1")
		}, false},
		{"the leave comes before", func(h *Hosted) {
			h.HandleLeave("i-1")
			h.restoreBackend(roster.View{Members: published, Settled: true})
		}, false},
		{"the leave comes before, and a late report after", func(h *Hosted) {
			h.HandleLeave("i-1")
			h.restoreBackend(roster.View{Members: published, Settled: true})
			h.HandleReport(backend.Announcement{Service: "orders", Instance: "i-1", Slots: 10})
		}, false},
		{"another instance has left", func(h *Hosted) {
			h.HandleLeave("i-0")
			h.restoreBackend(roster.View{Members: published, Settled: true})
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
		Service:        "orders",
		BackendAddress: netip.MustParseAddrPort("127.0.0.1:1"),
		Loggers:        logs.Loggers{Main: zap.NewNop(), Routine: zap.NewNop()},
	})
	assert.NilError(t, err)
	return h
}

// viewOf returns a view in which other nodes were asked, with the backend servers that vm-0
// and vm-1 published.
func viewOf(other roster.Backend, own *roster.Backend) roster.View {
	view := roster.View{Settled: true, Members: []roster.Member{{VM: "vm-0", Backend: &other}, {VM: "vm-1", Backend: own}}}
	if own != nil && own.Draining {
		view.Departed = []roster.Departure{{VM: "vm-1", Instance: own.Instance, Started: own.Started}}
	}
	return view
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
			h.restoreBackend(viewOf(published, c.published))
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
	leaving := roster.Backend{Service: "orders", Instance: "i-1", Slots: 10, Draining: true}
	h.restoreBackend(viewOf(leaving, &leaving))
	published := h.member().Backend
	assert.Assert(t, published != nil)
	assert.Equal(t, published.Instance, "i-1")
	assert.Assert(t, published.Draining)
}

// TestLateReportOfDepartedRun guards against a server that has left and is in use again: the
// key-value service has an older entry, and a report that was sent before the server left
// reaches the next process, before or after other nodes have told of it. A later run of the
// same instance, and another instance, are used.
func TestLateReportOfDepartedRun(t *testing.T) {
	began := time.UnixMilli(1000)
	inUse := roster.Backend{Service: "orders", Instance: "i-1", Slots: 10, Started: began}
	run := func(instance string, started time.Time) backend.Announcement {
		return backend.Announcement{Service: "orders", Instance: instance, Slots: 10, Started: started}
	}
	listed := viewOf(inUse, &inUse)
	listed.Settled = false
	told := viewOf(inUse, &inUse)
	told.Departed = []roster.Departure{{VM: "vm-1", Instance: "i-1", Started: began}}
	ignorant := viewOf(inUse, &inUse)
	cases := []struct {
		name  string
		steps func(h *Hosted)
		used  string
	}{
		{"reported before the first list", func(h *Hosted) {
			h.HandleReport(run("i-1", began))
			h.restoreBackend(listed)
			h.restoreBackend(told)
		}, ""},
		{"reported before other nodes were asked", func(h *Hosted) {
			h.restoreBackend(listed)
			h.HandleReport(run("i-1", began))
			h.restoreBackend(told)
		}, ""},
		{"reported afterwards", func(h *Hosted) {
			h.restoreBackend(told)
			h.HandleReport(run("i-1", began))
		}, ""},
		{"other nodes told later", func(h *Hosted) {
			h.restoreBackend(ignorant)
			h.HandleReport(run("i-1", began))
			h.restoreBackend(told)
		}, ""},
		{"nobody was asked yet", func(h *Hosted) {
			h.restoreBackend(listed)
			h.HandleReport(run("i-1", began))
		}, ""},
		{"nobody knows that it left", func(h *Hosted) {
			h.restoreBackend(listed)
			h.HandleReport(run("i-1", began))
			h.restoreBackend(ignorant)
		}, "i-1"},
		{"a later run under the same ID", func(h *Hosted) {
			h.restoreBackend(told)
			h.HandleReport(run("i-1", began.Add(time.Second)))
		}, "i-1"},
		{"another instance", func(h *Hosted) {
			h.HandleReport(run("i-2", began))
			h.restoreBackend(told)
		}, "i-2"},
		{"it left before it reported, and a late report follows", func(h *Hosted) {
			h.restoreBackend(ignorant)
			h.HandleLeave("i-1")
			h.HandleReport(run("i-1", began))
		}, ""},
		{"it drained, and a later report has no word of that", func(h *Hosted) {
			h.restoreBackend(ignorant)
			draining := run("i-1", began)
			draining.Draining = true
			h.HandleReport(draining)
			h.HandleReport(run("i-1", began))
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHosted(t)
			c.steps(h)
			used := ""
			if current, ok := h.announced.Current(); ok && !current.Draining {
				used = current.Instance
			}
			assert.Equal(t, used, c.used)
		})
	}
}

// TestUnreportedLeaveIsPublished guards against a server that has left and is in use again
// after a restart of its node: it left before the process had any report of it, and the
// process published nothing of that.
func TestUnreportedLeaveIsPublished(t *testing.T) {
	h := newTestHosted(t)
	h.HandleLeave("i-1")
	published := h.member().Backend
	assert.Assert(t, published != nil)
	assert.Equal(t, published.Instance, "i-1")
	assert.Assert(t, published.Draining)
}
