package e2e

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// traffic sends requests to some nodes in turn, over keep-alive connections, and
// records the failed ones.
type traffic struct {
	w       *testSite
	path    string
	key     string
	targets func() []netip.AddrPort

	stop   chan struct{}
	group  sync.WaitGroup
	mu     sync.Mutex
	served int
	failed []reply
}

// startTraffic sends from a number of callers, one request after the other,
// with a pause between them.
func (w *testSite) startTraffic(callers int, pause time.Duration, path, key string, targets func() []netip.AddrPort) *traffic {
	tr := &traffic{w: w, path: path, key: key, targets: targets, stop: make(chan struct{})}
	for caller := range callers {
		tr.group.Go(func() { tr.call(caller, pause) })
	}
	return tr
}

func (tr *traffic) call(caller int, pause time.Duration) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for i := caller; ; i++ {
		select {
		case <-tr.stop:
			return
		case <-ticker.C:
		}
		targets := tr.targets()
		tr.record(tr.w.send(targets[i%len(targets)], "POST", tr.path, tr.key, "three mugs"))
	}
}

func (tr *traffic) record(r reply) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if r.status == 200 {
		tr.served++
		return
	}
	tr.failed = append(tr.failed, r)
}

// end stops the callers and returns their results.
func (tr *traffic) end() (served int, failed []reply) {
	close(tr.stop)
	tr.group.Wait()
	return tr.served, tr.failed
}

// count returns the number served so far.
func (tr *traffic) count() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.served
}

// describe counts failures by status, cause, outcome and body, and says when the first
// was sent and the last was answered.
func describe(failed []reply) string {
	if len(failed) == 0 {
		return "no failure"
	}
	counts := make(map[string]int)
	first, last := failed[0].sent, failed[0].answered
	for _, r := range failed {
		counts[fmt.Sprintf("%d %s %s %s", r.status, r.cause, r.outcome, r.body)]++
		if r.sent.Before(first) {
			first = r.sent
		}
		if r.answered.After(last) {
			last = r.answered
		}
	}
	const clockTime = "15:04:05.000"
	return fmt.Sprintf("%v from %s to %s", counts, first.Format(clockTime), last.Format(clockTime))
}

// callerAddresses returns the caller addresses of all nodes, except for one VM.
func (w *testSite) callerAddresses(except string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, vm := range w.vms() {
		if vm.name != except {
			addresses = append(addresses, w.site.Node(vm.name).Settings.CallerAddress)
		}
	}
	return addresses
}

func expectServed(t *testing.T, served, least int) {
	t.Helper()
	if served < least {
		t.Fatalf("%d requests served, at least %d were to be", served, least)
	}
}
