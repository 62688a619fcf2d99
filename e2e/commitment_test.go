package e2e

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"auburngap/bundle"
)

func payBundle() bundle.Bundle {
	b := pairBundle()
	b.Routes = append(b.Routes, bundle.Route{
		Name: "pay", Methods: []string{"POST"}, Prefix: "/pay", Service: "g",
		Commitment: true, Timeout: bundle.Duration(4 * time.Second), RetryBudget: 3,
	})
	// The parish exceeds its rate soon.
	b.Workspaces[1].Rate, b.Workspaces[1].Burst = 5, 20
	return b
}

func newIdempotencyKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// waitUntilPaymentsAccepted waits until new keys are accepted: after a site's first
// start the owners cannot know yet that no key was used under another layout.
func (w *testSite) waitUntilPaymentsAccepted() {
	w.t.Helper()
	for _, node := range w.callerAddresses("") {
		taken := 0
		w.waitFor("payments are taken", func() bool {
			if w.pay(node, newIdempotencyKey(), "one mug").status != 200 {
				taken = 0
				return false
			}
			taken++
			return taken >= 8
		})
	}
}

// pay sends one payment through a node.
func (w *testSite) pay(address netip.AddrPort, key, body string) reply {
	return w.payAs(schoolKey, address, key, body)
}

func (w *testSite) payAs(workspaceKey string, address netip.AddrPort, key, body string) reply {
	return w.send(address, "POST", "/pay", workspaceKey, body, "Idempotency-Key", key)
}

func TestCommitment(t *testing.T) {
	// A zone of three VMs replaces a killed owner.
	w := newReplicatedTestSite(t, payBundle(), 3)
	nodes := w.callerAddresses("")
	w.waitUntilPaymentsAccepted()

	t.Run("a repeat through every node gets the first answer", func(t *testing.T) {
		key := newIdempotencyKey()
		first := w.pay(nodes[0], key, "one mug")
		assert.Equal(t, first.status, 200, first.cause)
		for _, node := range nodes {
			repeat := w.pay(node, key, "one mug")
			assert.Equal(t, repeat.status, 200, repeat.cause)
			assert.Equal(t, repeat.body, first.body)
		}
		assert.Equal(t, w.runs(key), 1)
	})
	t.Run("another request with the same key", func(t *testing.T) {
		key := newIdempotencyKey()
		assert.Equal(t, w.pay(nodes[0], key, "one mug").status, 200)
		assert.Assert(t, w.pay(nodes[1], key, "two mugs").status >= 400)
		assert.Equal(t, w.runs(key), 1)
	})
	t.Run("many at once", func(t *testing.T) {
		key := newIdempotencyKey()
		var group sync.WaitGroup
		for i := range 32 {
			group.Go(func() { w.pay(nodes[i%len(nodes)], key, "one mug") })
		}
		group.Wait()
		assert.Equal(t, w.runs(key), 1)
	})
	t.Run("a repeat over the workspace's rate gets the first answer", func(t *testing.T) {
		key := newIdempotencyKey()
		first := w.payAs(parishKey, nodes[0], key, "one mug")
		assert.Equal(t, first.status, 200, first.cause)
		over := 0
		for range 100 {
			if fresh := w.payAs(parishKey, nodes[0], newIdempotencyKey(), "one mug"); fresh.cause == "rate" {
				assert.Equal(t, fresh.outcome, "notRun")
				over++
			}
		}
		assert.Assert(t, over > 50, "%d over the rate", over)
		for range 10 {
			repeat := w.payAs(parishKey, nodes[0], key, "one mug")
			assert.Equal(t, repeat.status, 200, repeat.cause)
			assert.Equal(t, repeat.body, first.body)
		}
		assert.Equal(t, w.runs(key), 1)
	})
	t.Run("the caller leaves while the payment runs", func(t *testing.T) {
		w.setWork(500 * time.Millisecond)
		defer w.setWork(0)
		key := newIdempotencyKey()
		conn, err := net.Dial("tcp", nodes[0].String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+
			"Idempotency-Key: %s\r\nContent-Length: 7\r\n\r\none mug", schoolKey, key)
		assert.NilError(t, err)
		w.waitFor("the payment runs", func() bool { return w.runs(key) == 1 })
		assert.NilError(t, conn.Close())
		w.expectFirstAnswer(nodes[1], key)
	})
	t.Run("no key", func(t *testing.T) {
		got := w.send(nodes[0], "POST", "/pay", schoolKey, "one mug")
		assert.Equal(t, got.status, 400)
		assert.Equal(t, got.cause, "idempotencyKey")
		assert.Equal(t, got.outcome, "notRun")
	})
	t.Run("a key minted an hour ago", func(t *testing.T) {
		old := uuid.MustParse(newIdempotencyKey())
		stamp := time.Now().Add(-time.Hour).UnixMilli()
		for i := range 6 {
			old[i] = byte(stamp >> (8 * (5 - i)))
		}
		got := w.pay(nodes[0], old.String(), "one mug")
		assert.Assert(t, got.status >= 400)
		assert.Equal(t, got.outcome, "unknown")
		assert.Equal(t, w.runs(old.String()), 0)
	})
	t.Run("the entry node is killed while the payment runs", func(t *testing.T) {
		w.setWork(500 * time.Millisecond)
		defer w.setWork(0)
		key := newIdempotencyKey()
		var group sync.WaitGroup
		group.Go(func() { w.pay(nodes[0], key, "one mug") })
		w.waitFor("the payment runs", func() bool { return w.runs(key) == 1 })
		w.site.Node(vmName("a", 0)).Kill()
		group.Wait()
		w.expectFirstAnswer(nodes[1], key)
	})
}

// expectFirstAnswer retries a running payment until its answer is known. Until then it
// may be in progress, or its owner shard may be unreachable.
func (w *testSite) expectFirstAnswer(node netip.AddrPort, key string) {
	w.t.Helper()
	w.waitFor("the first answer", func() bool {
		got := w.pay(node, key, "one mug")
		if got.status != 200 {
			assert.Equal(w.t, got.outcome, "unknown", got.cause)
			assert.Assert(w.t, got.cause != "outcomeUnknown")
		}
		return got.status == 200
	})
	assert.Equal(w.t, w.runs(key), 1)
}

// setWork changes how long the backend servers take for one request.
func (w *testSite) setWork(d time.Duration) {
	for _, server := range w.servers {
		server.SetWork(d)
	}
}

// payer sends payments one after the other. It retries each through random nodes until
// the payment is answered or its outcome is reported as unknown, at most maxSends times.
type payer struct {
	w        *testSite
	random   *rand.Rand
	answered []string
	unknown  []string
	notRun   []string
}

const maxSends = 12

func (p *payer) payOnce() {
	key := newIdempotencyKey()
	last := ""
	for range maxSends {
		nodes := p.w.callerAddresses("")
		got := p.w.pay(nodes[p.random.IntN(len(nodes))], key, "one mug")
		if got.status == 200 {
			p.answered = append(p.answered, key)
			return
		}
		last = got.outcome
		if got.cause == "outcomeUnknown" {
			p.unknown = append(p.unknown, key)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	// The last answer decides whether the payment counts as not run.
	if last == "notRun" {
		p.notRun = append(p.notRun, key)
		return
	}
	p.unknown = append(p.unknown, key)
}

// TestCommitmentsUnderFailures sends payments through all nodes while nodes are killed,
// paused and restarted. No payment may run twice, and no answered payment may be
// missing.
func TestCommitmentsUnderFailures(t *testing.T) {
	w := newReplicatedTestSite(t, payBundle(), 3)
	w.waitUntilPaymentsAccepted()
	stop := make(chan struct{})
	var group sync.WaitGroup
	payers := make([]*payer, 8)
	for i := range payers {
		payers[i] = &payer{w: w, random: rand.New(rand.NewPCG(uint64(i), 1))}
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					payers[i].payOnce()
				}
			}
		})
	}
	for _, vm := range []string{vmName("a", 0), vmName("g", 0)} {
		time.Sleep(time.Second)
		w.site.Node(vm).Kill()
		time.Sleep(time.Second)
		assert.NilError(t, w.site.StartNode(w.ctx, vm))
		time.Sleep(2 * time.Second)
	}
	for _, vm := range []string{vmName("a", 1), vmName("g", 1)} {
		w.site.Node(vm).Pause()
		time.Sleep(4 * time.Second)
		w.site.Node(vm).Continue()
		time.Sleep(time.Second)
	}
	close(stop)
	group.Wait()

	answered, unknown, notRun := 0, 0, 0
	for _, p := range payers {
		for _, key := range p.answered {
			assert.Equal(t, w.runs(key), 1, "an answered payment")
		}
		for _, key := range p.unknown {
			assert.Assert(t, w.runs(key) <= 1, "a payment of unknown outcome ran %d times", w.runs(key))
		}
		for _, key := range p.notRun {
			assert.Equal(t, w.runs(key), 0, "a payment that was said not to have run")
		}
		answered += len(p.answered)
		unknown += len(p.unknown)
		notRun += len(p.notRun)
	}
	t.Logf("%d answered, %d unknown, %d not run", answered, unknown, notRun)
	assert.Assert(t, answered > 500)
}
