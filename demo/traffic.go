package main

import (
	"context"
	"strings"
	"sync"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"auburngap/bundle"
	"auburngap/clock"
	"auburngap/httpconn"
	"auburngap/load"
)

const (
	// normalRateFactor is what a workspace usually sends as a multiple of its rate, and
	// greedyRateFactor what the workspace over its rate sends.
	normalRateFactor = 0.5
	greedyRateFactor = 3
	// largestRate limits what a workspace within its rate sends, in requests a second.
	largestRate = 60
)

// runTraffic sends the traffic, withdraws a key after a third of the time and rolls
// out a bundle after two thirds.
func (d *demo) runTraffic(ctx context.Context) error {
	logProgress("sending traffic for %s; workspace %s sends %d times its rate", d.arguments.Duration, d.greedy().Name, greedyRateFactor)
	group, ctx := errgroup.WithContext(ctx)
	totals := &totals{statuses: make(map[int]int)}
	for i, workspace := range d.bundle.Workspaces {
		for _, r := range d.routesOf(workspace) {
			group.Go(func() error { return d.send(ctx, workspace, r, i, totals) })
		}
	}
	group.Go(func() error { return d.runOperators(ctx) })
	if err := group.Wait(); err != nil {
		return err
	}
	logProgress("answers by status: %v", totals.statuses)
	return nil
}

// totals counts the answers of all callers by status.
type totals struct {
	mu       sync.Mutex
	statuses map[int]int
}

func (t *totals) add(result *load.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for status, count := range result.Statuses {
		t.statuses[status] += count
	}
}

// greedy returns the workspace that sends more than its rate.
func (d *demo) greedy() bundle.Workspace { return d.bundle.Workspaces[3] }

// workspaceWithWithdrawnKey returns the workspace whose key is withdrawn during the run.
func (d *demo) workspaceWithWithdrawnKey() bundle.Workspace { return d.bundle.Workspaces[6] }

// routesOf returns the routes that a workspace may use with a key.
func (d *demo) routesOf(w bundle.Workspace) []bundle.Route {
	var routes []bundle.Route
	for _, r := range d.bundle.Routes {
		if r.Allows(w.Name) {
			routes = append(routes, r)
		}
	}
	return routes
}

func (d *demo) rateOf(w bundle.Workspace) float64 {
	if w.Name == d.greedy().Name {
		return greedyRateFactor * w.Rate
	}
	return min(normalRateFactor*w.Rate, largestRate)
}

// send sends one workspace's traffic on one route through one of the nodes.
func (d *demo) send(ctx context.Context, w bundle.Workspace, r bundle.Route, n int, totals *totals) error {
	method := "GET"
	if len(r.Methods) > 0 {
		method = r.Methods[0]
	}
	config := load.Config{
		Address:  d.site.Node(d.vms[n%len(d.vms)].name).Settings.CallerAddress,
		Path:     strings.TrimSuffix(r.Prefix, "/") + "/demo",
		Method:   method,
		Rate:     d.rateOf(w) / float64(len(d.routesOf(w))),
		Duration: d.arguments.Duration,
	}
	if !r.Open {
		config.Key = "demo-" + w.Name
	}
	if r.Commitment {
		config.MakeHeaders = idempotencyKey
	}
	result, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	totals.add(result)
	return nil
}

func idempotencyKey() map[string]string {
	// The system's random source does not fail on the platforms that Go supports.
	key := uuid.Must(uuid.NewV7())
	return map[string]string{httpconn.HeaderIdempotencyKey: key.String()}
}

// runOperators does the operators' work while the traffic runs.
func (d *demo) runOperators(ctx context.Context) error {
	third := d.arguments.Duration / 3
	if !clock.Sleep(ctx, third) {
		return nil
	}
	if err := d.withdrawKey(ctx, d.workspaceWithWithdrawnKey().Keys[0].ID); err != nil {
		return err
	}
	if !clock.Sleep(ctx, third) {
		return nil
	}
	return d.raiseRate(ctx, d.greedy().Name)
}
