package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"auburngap/bundle"
	"auburngap/operator"
	"auburngap/settings"
	"auburngap/site"
)

var (
	errs = errorx.NewNamespace("demo")
	// errDemo means that a step of the demo failed.
	errDemo = errs.NewType("demo")
)

const (
	// readyTimeout limits the wait until all nodes are ready.
	readyTimeout = 30 * time.Second
	// backendWorkTime is how long a fake backend server takes for one request.
	backendWorkTime = 4 * time.Millisecond
)

// replicas is the number of VMs of each service, as the sites have them today.
var replicas = map[string]int{
	"term-dictionary": 4, "rulings-archive": 4, "correction-notices": 3, "page-close-helper": 3,
	"catalogue": 4, "orders": 4, "proofing": 4, "batch-tracking": 4,
}

// demo is one run of a site.
type demo struct {
	arguments arguments
	bundle    *bundle.Bundle
	base      settings.Node
	site      *site.Site
	vms       []demoVM
}

// demoVM is one VM with its backend server's service.
type demoVM struct {
	name    string
	zone    string
	service bundle.Service
}

func newDemo(line arguments) (*demo, error) {
	d := &demo{arguments: line}
	source, err := os.ReadFile(d.deployPath("bundle.json"))
	if err != nil {
		return nil, err
	}
	if d.bundle, err = bundle.Parse(source); err != nil {
		return nil, err
	}
	if d.base, err = settings.Read(d.deployPath("node.json")); err != nil {
		return nil, err
	}
	for _, service := range d.bundle.Services {
		for replica := range replicas[service.Name] {
			zone := d.bundle.Zones[replica%len(d.bundle.Zones)].Name
			d.vms = append(d.vms, demoVM{name: service.Name + "-" + strconv.Itoa(replica), zone: zone, service: service})
		}
	}
	return d, os.MkdirAll(line.Out, 0o755)
}

func (d *demo) deployPath(file string) string {
	return filepath.Join(d.arguments.Deploy, d.arguments.Site, file)
}

// start starts the processes, rolls out the bundle and waits until all nodes are ready.
func (d *demo) start(ctx context.Context) error {
	var vms []site.VM
	for _, vm := range d.vms {
		vms = append(vms, site.VM{Name: vm.name, Zone: vm.zone})
	}
	logProgress("starting %d nodes in %d availability zones", len(vms), len(d.bundle.Zones))
	s, err := site.Start(ctx, site.Config{Binary: d.arguments.Binary, Directory: d.arguments.Out, VMs: vms, Base: d.base})
	if err != nil {
		return err
	}
	d.site = s
	for _, vm := range d.vms {
		if err := d.startBackend(vm); err != nil {
			return err
		}
	}
	if err := d.rollOut(ctx, d.deployPath("bundle.json"), "the site's first bundle"); err != nil {
		return err
	}
	return d.waitUntilReady(ctx)
}

func (d *demo) startBackend(vm demoVM) error {
	arguments := []string{
		"--service", vm.service.Name,
		"--slots", strconv.Itoa(vm.service.Slots),
		"--connections", strconv.Itoa(vm.service.Connections),
		"--work", backendWorkTime.String(),
	}
	if len(vm.service.Calls) > 0 {
		arguments = append(arguments, "--parallel", "--calls")
		arguments = append(arguments, vm.service.Calls...)
	}
	return d.site.StartBackend(vm.name, arguments...)
}

func (d *demo) waitUntilReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, vm := range d.vms {
		for !d.isReady(ctx, vm.name) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errDemo.New("node of %s is not ready; see %s", vm.name, filepath.Join(d.arguments.Out, vm.name+".log"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	logProgress("all nodes are ready")
	return nil
}

func (d *demo) isReady(ctx context.Context, vm string) bool {
	_, err := operator.Fetch(ctx, d.site.Node(vm).Settings.ControlAddress, "/readyz")
	return err == nil
}

func (d *demo) close() {
	if d.site == nil {
		return
	}
	logProgress("stopping all processes")
	d.site.Close()
}

// logProgress prints one line about the progress.
func logProgress(format string, values ...any) {
	fmt.Printf("demo: "+format+"\n", values...)
}
