// Package e2e runs whole sites as separate processes.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	_ "auburngap/app" // so that a change of the program runs these tests again
	"auburngap/backend/fake"
	"auburngap/bundle"
	"auburngap/platform"
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
)

// world is a site with its fake backend servers.
type world struct {
	t        *testing.T
	ctx      context.Context
	site     *site.Site
	bundle   bundle.Bundle
	client   *fasthttp.Client
	servers  map[string]*fake.Server
	platform platform.Client
	// addresses are those of the fake backend servers.
	addresses map[string]netip.AddrPort
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
		Version:  1,
		Zones:    []bundle.Zone{{Name: "palermo", Shards: 1}, {Name: "catania", Shards: 1}},
		Services: chain,
		Workspaces: []bundle.Workspace{
			{Name: "school", Rate: 1000, Burst: 1000, Weight: 1, Keys: []bundle.Key{{ID: "s1", Hash: bundle.HashKey([]byte(schoolKey))}}},
			{Name: "parish", Rate: 1000, Burst: 1000, Weight: 1, Keys: []bundle.Key{{ID: "p1", Hash: bundle.HashKey([]byte(parishKey))}}},
		},
		Routes: []bundle.Route{
			{Name: "chain", Prefix: "/chain", Service: "a", Timeout: timeout, RetryBudget: 4},
			{Name: "single", Prefix: "/single", Service: "g", Timeout: timeout, RetryBudget: 2},
			{Name: "school only", Prefix: "/school", Service: "g", Workspaces: []string{"school"}, Timeout: timeout},
			{Name: "open", Prefix: "/open", Service: "g", Open: true, Timeout: timeout},
		},
	}
}

// newWorld starts one node and one backend server for each service, the
// availability zones in turn, and waits until the whole path serves.
func newWorld(t *testing.T, b bundle.Bundle) *world {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	var vms []site.VM
	for i, service := range b.Services {
		vms = append(vms, site.VM{Name: "vm-" + service.Name, Zone: b.Zones[i%len(b.Zones)].Name})
	}
	s, err := site.Start(ctx, site.Config{Binary: binary, Directory: t.TempDir(), VMs: vms, OperatorKeys: []string{"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	w := &world{
		t: t, ctx: ctx, site: s, bundle: b,
		client:    &fasthttp.Client{ReadTimeout: 20 * time.Second},
		servers:   make(map[string]*fake.Server),
		addresses: make(map[string]netip.AddrPort),
		platform:  platform.NewHTTPClient(platform.HTTPConfig{Address: s.Platform}),
	}
	w.publish(b)
	for _, service := range b.Services {
		w.startServer(service)
	}
	w.waitUntilServing()
	return w
}

func (w *world) publish(b bundle.Bundle) {
	w.t.Helper()
	value, err := json.Marshal(b)
	assert.NilError(w.t, err)
	_, err = w.platform.Put(w.ctx, platform.PutRequest{Key: "bundle/head", Value: value})
	assert.NilError(w.t, err)
}

func (w *world) startServer(service bundle.Service) {
	w.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(w.t, err)
	server := fake.New(fake.Config{
		Service:     service.Name,
		Node:        w.node(service.Name).Settings.BackendAddress,
		Slots:       service.Slots,
		Connections: service.Connections,
		Calls:       service.Calls,
		Parallel:    true,
	})
	w.servers[service.Name] = server
	w.addresses[service.Name] = netip.MustParseAddrPort(listener.Addr().String())
	go func() { _ = server.Run(w.ctx, listener) }()
}

func (w *world) node(service string) *site.Node {
	return w.site.Node("vm-" + service)
}

// waitUntilServing waits until every node answers on the longest route.
func (w *world) waitUntilServing() {
	w.t.Helper()
	for _, service := range w.bundle.Services {
		w.waitFor("node of "+service.Name+" serves", func() bool {
			return w.get(service.Name, w.bundle.Routes[0].Prefix, schoolKey).status == 200
		})
	}
}

func (w *world) waitFor(what string, done func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			w.t.Fatalf("not reached in time: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// reply is what a caller sees.
type reply struct {
	status  int
	body    string
	outcome string
	cause   string
	id      string
}

func (w *world) get(service, path, key string) reply {
	return w.send(w.node(service).Settings.CallerAddress, "GET", path, key, "")
}

func (w *world) send(address netip.AddrPort, method, path, key, body string, headers ...string) reply {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(fmt.Sprintf("http://%s%s", address, path))
	request.Header.SetMethod(method)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	request.SetBodyString(body)
	if err := w.client.Do(request, response); err != nil {
		return reply{cause: err.Error()}
	}
	return reply{
		status:  response.StatusCode(),
		body:    string(response.Body()),
		outcome: string(response.Header.Peek("Auburngap-Outcome")),
		cause:   string(response.Header.Peek("Auburngap-Cause")),
		id:      string(response.Header.Peek("Auburngap-Request-Id")),
	}
}
