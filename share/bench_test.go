package share

import (
	"context"
	"fmt"
	"testing"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

// unlimitedLender is an owner that never runs out of tokens.
type unlimitedLender struct{}

func (unlimitedLender) Draw(_ context.Context, draw *peerpb.Draw) (*peerpb.DrawAnswer, error) {
	return &peerpb.DrawAnswer{
		Id: draw.Id, Loan: &peerpb.LoanID{Epoch: 1, Sequence: draw.Id},
		Tokens: maxAmount, TimeToLiveMicros: time.Hour.Microseconds(),
	}, nil
}

func newWorkspaces(count int) (*bundle.Index, []string) {
	b := &bundle.Bundle{Zones: []bundle.Zone{{Name: "zone0", Shards: 16}}}
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("workspace%d", i))
		b.Workspaces = append(b.Workspaces, bundle.Workspace{Name: names[i], Rate: 1e6, Burst: 1e6})
	}
	return bundle.NewIndex(b), names
}

func BenchmarkTake(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			index, names := newWorkspaces(count)
			start := time.Now()
			client := NewClient(ClientConfig{
				Zone: "zone0", Peers: unlimitedLender{}, Clock: func() time.Duration { return time.Since(start) },
			})
			client.Apply(index)
			ctx := context.Background()
			for _, name := range names {
				if _, refusal := client.Take(ctx, name); refusal != nil {
					b.Fatal(refusal)
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, refusal := client.Take(ctx, names[i]); refusal != nil {
					b.Fatal(refusal)
				}
				i = (i + 1) % count
			}
		})
	}
}

func BenchmarkLenderDraw(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			index, names := newWorkspaces(count)
			index.Bundle.Zones[0].Shards = 1
			lender := NewLender(LenderConfig{Zone: "zone0", Epoch: 1, GainedAt: -time.Hour})
			lender.Apply(index, 0)
			b.ReportAllocs()
			now, i, last := time.Duration(0), 0, make([]Report, count)
			for b.Loop() {
				now += 10 * time.Microsecond
				draw := Draw{
					ID: 1, LenderZone: "zone0", BorrowerZone: "zone0", Workspace: names[i], Need: 1, Whole: true,
					Reports: last[i : i+1],
				}
				grant, _ := lender.Draw(draw, now)
				last[i] = Report{Loan: grant.Loan, Spent: 1, Closed: true}
				i = (i + 1) % count
			}
		})
	}
}

// BenchmarkChecks measures the invariant checks of an owner for one draw.
func BenchmarkChecks(b *testing.B) {
	a := newAccount(Terms{}.withDefaults(), 0, func(invariant string) { b.Fatal(invariant) })
	a.limits = limits{allocation: allocation{rate: 1e6, burst: 1e6, share: 1}}
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += 10 * time.Microsecond
		a.meter.SetRate(1e6, now)
		a.meter.Spend(1, now)
		a.check(now)
		a.check(now)
	}
}
