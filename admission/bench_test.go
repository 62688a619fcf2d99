package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburngap/request"
)

var benchSizes = []int{10, 100, 1000, 10_000}

func workspaceNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%d", i)
	}
	return names
}

// BenchmarkLimiter measures one call at a saturated limiter: an Offer that queues
// or refuses it, and a Finish that starts another call.
func BenchmarkLimiter(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("workspaces=%d", size), func(b *testing.B) {
			names := workspaceNames(size)
			limiter := New(Config{Slots: 70, StartFraction: 1})
			random := rand.New(rand.NewPCG(1, 2))
			var running, free []*Ticket
			for range 300 {
				free = append(free, &Ticket{})
			}
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(200 * time.Microsecond)
				ticket := free[len(free)-1]
				free = free[:len(free)-1]
				*ticket = Ticket{
					Priority: request.Priority(random.IntN(4)), Workspace: names[random.IntN(size)], Hash: random.Uint32(),
				}
				decision, changes := limiter.Offer(ticket, now)
				switch decision.Action {
				case Run:
					running = append(running, ticket)
				case Refuse:
					free = append(free, ticket)
				case Queue:
				}
				for _, drop := range changes.Dropped {
					free = append(free, drop.Ticket)
				}
				if len(running) < 70 {
					continue
				}
				last := running[len(running)-1]
				running = running[:len(running)-1]
				free = append(free, last)
				changes = limiter.Finish(last, now, Result{Own: 10 * time.Millisecond})
				running = append(running, changes.Started...)
				for _, drop := range changes.Dropped {
					free = append(free, drop.Ticket)
				}
			}
		})
	}
}

// BenchmarkGate measures the admission of one request to a call graph of three services.
func BenchmarkGate(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("workspaces=%d", size), func(b *testing.B) {
			names := workspaceNames(size)
			gate := NewGate(GateConfig{})
			services := []ServiceID{gate.Service("a"), gate.Service("b"), gate.Service("c")}
			random := rand.New(rand.NewPCG(1, 2))
			now := epoch
			r := Request{Priority: 1}
			for _, name := range names {
				r.Workspace = name
				gate.Admit(r, services, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				gate.UpdateLevel(services[1], FullLevel/3, now)
				r.Workspace, r.Hash = names[random.IntN(size)], random.Uint32()
				gate.Admit(r, services, now)
			}
		})
	}
}
