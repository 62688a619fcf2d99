// Package e2e runs whole sites as separate processes.
package e2e

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	_ "auburngap/app" // so that a change of the program runs these tests again
	"auburngap/backend/fake"
	"auburngap/bundle"
	"auburngap/kv"
	"auburngap/settings"
	"auburngap/site"
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	directory, err := os.MkdirTemp("", "auburngap")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "auburngap")
	build := exec.Command("go", "build", "-o", binary, "auburngap")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

const (
	schoolKey = "school-key-0123456789"
	parishKey = "parish-key-0123456789"

	operatorName = "rosalia"
)

// testSite is a site with its fake backend servers.
type testSite struct {
	t         *testing.T
	ctx       context.Context
	site      *site.Site
	bundle    bundle.Bundle
	client    *fasthttp.Client
	operator  ed25519.PrivateKey
	operators []settings.Operator
	// adjust may change the settings of a node before it starts.
	adjust func(*settings.Node)
	// replicas is the number of VMs of each service.
	replicas int
	// wholeZones puts all services of a replica into one availability zone.
	wholeZones bool
	servers    map[string]*fake.Server
	platform   kv.Client
	// addresses are those of the fake backend servers.
	addresses map[string]netip.AddrPort

	mu sync.Mutex
	// onRequest is called with each request at any backend server; it may be nil.
	onRequest func(ctx *fasthttp.RequestCtx)
}

func (w *testSite) observe(ctx *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.onRequest != nil {
		w.onRequest(ctx)
	}
}

// watch sets the callback for each request at any backend server.
func (w *testSite) watch(onRequest func(ctx *fasthttp.RequestCtx)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onRequest = onRequest
}

// chain is a call graph five deep with a fan-out of three at its third hop.
var chain = []bundle.Service{
	{Name: "a", Calls: []string{"b"}, Slots: 16, Connections: 64},
	{Name: "b", Calls: []string{"c"}, Slots: 16, Connections: 64},
	{Name: "c", Calls: []string{"d", "e", "f"}, Slots: 16, Connections: 64},
	{Name: "d", Calls: []string{"g"}, Slots: 16, Connections: 64},
	{Name: "e", Slots: 16, Connections: 64},
	{Name: "f", Slots: 16, Connections: 64},
	{Name: "g", Slots: 16, Connections: 64},
}

func chainBundle() bundle.Bundle {
	timeout := bundle.Duration(5 * time.Second)
	return bundle.Bundle{
		Zones:    []bundle.Zone{{Name: "palermo", Shards: 1}, {Name: "catania", Shards: 1}},
		Services: chain,
		Workspaces: []bundle.Workspace{
			{Name: "school", Rate: 1000, Burst: 1000, Weight: 1, Keys: []bundle.Key{{ID: "s1", Hash: bundle.HashKey([]byte(schoolKey))}}},
			{Name: "parish", Rate: 1000, Burst: 1000, Weight: 1, Keys: []bundle.Key{{ID: "p1", Hash: bundle.HashKey([]byte(parishKey))}}},
		},
		Routes: []bundle.Route{
			{Name: "chain", Prefix: "/chain", Service: "a", Timeout: timeout, RetryBudget: 4},
			{Name: "single", Prefix: "/single", Service: "g", Timeout: timeout, RetryBudget: 2},
			{Name: "school-only", Prefix: "/school", Service: "g", Workspaces: []string{"school"}, Timeout: timeout},
			{Name: "open", Prefix: "/open", Service: "g", Open: true, Timeout: timeout},
		},
	}
}

// newTestSite starts a site with one VM for each service.
func newTestSite(t *testing.T, b bundle.Bundle) *testSite {
	t.Helper()
	return newReplicatedTestSite(t, b, 1)
}

// newReplicatedTestSite starts a node and a backend server for each replica of
// each service, alternating over the availability zones, and waits until the whole
// path serves.
func newReplicatedTestSite(t *testing.T, b bundle.Bundle, replicas int) *testSite {
	t.Helper()
	w := prepareTestSite(t, b, replicas)
	w.start()
	w.waitUntilServing()
	return w
}

// prepareTestSite returns a site that has not started.
func prepareTestSite(t *testing.T, b bundle.Bundle, replicas int) *testSite {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	w := &testSite{
		t: t, ctx: ctx, bundle: b, replicas: replicas,
		client:    &fasthttp.Client{ReadTimeout: 20 * time.Second, MaxConnsPerHost: 4096},
		servers:   make(map[string]*fake.Server),
		addresses: make(map[string]netip.AddrPort),
	}
	w.operator, w.operators = newOperator(t)
	return w
}

// start starts the platform's stand-in, the nodes and the backend servers, and
// rolls the bundle out.
func (w *testSite) start() {
	w.t.Helper()
	var vms []site.VM
	for _, vm := range w.vms() {
		vms = append(vms, site.VM{Name: vm.name, Zone: vm.zone})
	}
	directory := w.t.TempDir()
	w.t.Cleanup(func() {
		checkLogs(w.t, directory)
		keepLogs(w.t, directory)
	})
	s, err := site.Start(w.ctx, site.Config{Binary: binary, Directory: directory, VMs: vms, Operators: w.operators, Adjust: w.adjust})
	assert.NilError(w.t, err)
	w.t.Cleanup(s.Close)
	w.site = s
	w.platform = kv.NewHTTPClient(kv.HTTPConfig{Address: s.Platform})
	w.publish(w.bundle)
	for _, vm := range w.vms() {
		w.startServer(vm)
	}
}

// checkLogs checks that no node has logged a violated invariant.
func checkLogs(t *testing.T, directory string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(directory, "*.log"))
	assert.NilError(t, err)
	assert.Assert(t, len(logs) > 0)
	for _, log := range logs {
		data, err := os.ReadFile(log)
		assert.NilError(t, err)
		assert.Assert(t, !bytes.Contains(data, []byte("invariant violated")), "%s", log)
	}
}

// keepLogs copies the logs of a failed test to the directory that the variable
// AUBURNGAP_E2E_LOGS names.
func keepLogs(t *testing.T, directory string) {
	t.Helper()
	kept := os.Getenv("AUBURNGAP_E2E_LOGS")
	if !t.Failed() || kept == "" {
		return
	}
	name := fmt.Sprintf("%s-%d", strings.ReplaceAll(t.Name(), "/", "-"), os.Getpid())
	assert.NilError(t, os.CopyFS(filepath.Join(kept, name), os.DirFS(directory)))
}

// testVM is one VM of a testSite.
type testVM struct {
	name    string
	zone    string
	service bundle.Service
}

// vms lists the VMs, replica after replica, alternating over the availability zones.
func (w *testSite) vms() []testVM {
	var vms []testVM
	for replica := range w.replicas {
		for _, service := range w.bundle.Services {
			turn := len(vms)
			if w.wholeZones {
				turn = replica
			}
			zone := w.bundle.Zones[turn%len(w.bundle.Zones)].Name
			vms = append(vms, testVM{name: vmName(service.Name, replica), zone: zone, service: service})
		}
	}
	return vms
}

// callerAddressesIn returns the caller addresses of a zone's nodes, except for one VM.
func (w *testSite) callerAddressesIn(zone, except string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, vm := range w.vms() {
		if vm.zone == zone && vm.name != except {
			addresses = append(addresses, w.site.Node(vm.name).Settings.CallerAddress)
		}
	}
	return addresses
}

func vmName(service string, replica int) string {
	return fmt.Sprintf("vm-%s-%d", service, replica)
}

func (w *testSite) startServer(vm testVM) {
	w.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(w.t, err)
	server := fake.New(fake.Config{
		Service:     vm.service.Name,
		Node:        w.site.Node(vm.name).Settings.BackendAddress,
		Slots:       vm.service.Slots,
		Connections: vm.service.Connections,
		Calls:       vm.service.Calls,
		Parallel:    true,
		Observe:     w.observe,
	})
	w.servers[vm.name] = server
	w.addresses[vm.name] = netip.MustParseAddrPort(listener.Addr().String())
	go func() { _ = server.Run(w.ctx, listener) }()
}

// node returns the node of a service's first replica.
func (w *testSite) node(service string) *site.Node {
	return w.site.Node(vmName(service, 0))
}

// runs sums the runs of an idempotency key over all backend servers.
func (w *testSite) runs(key string) int {
	sum := 0
	for _, server := range w.servers {
		sum += server.Runs(key)
	}
	return sum
}

// waitUntilServing waits until every node serves the first route.
func (w *testSite) waitUntilServing() {
	w.t.Helper()
	for _, vm := range w.vms() {
		w.waitUntilNodeServes(vm.name)
	}
}

func (w *testSite) waitUntilNodeServes(vm string) {
	w.t.Helper()
	address := w.site.Node(vm).Settings.CallerAddress
	var last reply
	defer func() {
		if last.status != 200 {
			w.t.Logf("the last answer of %s: %+v", vm, last)
		}
	}()
	w.waitFor("node of "+vm+" serves", func() bool {
		last = w.send(address, "GET", w.bundle.Routes[0].Prefix, schoolKey, "")
		return last.status == 200
	})
}

func (w *testSite) waitFor(what string, done func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			w.t.Fatalf("not reached in time: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
