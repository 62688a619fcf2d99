package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"auburngap/bundle"
	"auburngap/kv"
)

const (
	// statusPath is the path of a node's status on its control address.
	statusPath = "/status"
	// relaysPrefix is the prefix of the platform's keys that hold the zones' relays.
	relaysPrefix = "zones/"
	// maxConcurrentFetches limits the nodes that are queried at the same time.
	maxConcurrentFetches = 16
)

// StatusCommand is "auburngap status": it prints the active version of each VM and
// availability zone, and which VMs lag.
type StatusCommand struct {
	outputFlags
	Platform netip.AddrPort   `arg:"--platform,env:AUBURNGAP_PLATFORM" placeholder:"ADDRESS" help:"address of the platform's key-value service"`
	Node     []netip.AddrPort `arg:"--node,separate" placeholder:"ADDRESS" help:"control address of a node to ask; may stand more than once"`
}

// nodeStatus is the status that a node reports about itself and, if it is a relay,
// the versions of its zone's nodes.
type nodeStatus struct {
	VM             string            `json:"vm"`
	Zone           string            `json:"zone"`
	BundleVersion  uint64            `json:"bundleVersion"`
	Draining       bool              `json:"draining"`
	BundleVersions map[string]uint64 `json:"bundleVersions"`
}

// statusAnswer is the JSON output of the status.
type statusAnswer struct {
	// Newest is the platform's newest version. If it could not be read, it is the
	// highest version of the VMs.
	Newest uint64       `json:"newest"`
	Zones  []zoneStatus `json:"zones"`
	VMs    []vmStatus   `json:"vms"`
	// Unresponsive holds the control addresses that did not answer.
	Unresponsive []netip.AddrPort `json:"silent"`
}

type zoneStatus struct {
	Zone    string `json:"zone"`
	VMs     int    `json:"vms"`
	Lagging int    `json:"lagging"`
	Lowest  uint64 `json:"lowest"`
	Highest uint64 `json:"highest"`
}

type vmStatus struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	Version  uint64 `json:"version"`
	Lagging  bool   `json:"lagging"`
	Draining bool   `json:"draining"`
}

// Run implements command. If the platform is unavailable, it uses only the nodes
// given by flags.
func (c *StatusCommand) Run(ctx context.Context, env Environment) error {
	newest, nodes, err := c.fromPlatform(ctx, env)
	if err != nil && (len(c.Node) == 0 || !errorx.IsOfType(err, kv.ErrUnavailable)) {
		return err
	}
	nodes = append(nodes, c.Node...)
	if len(nodes) == 0 {
		return ErrUsage.New(textNoNodes)
	}
	statuses, unresponsive := fetchStatuses(ctx, env, nodes)
	answer := summarize(newest, statuses, unresponsive)
	return c.print(env, answer, func(out io.Writer) { printStatus(out, answer) })
}

// fromPlatform returns the newest version and the relays' control addresses.
func (c *StatusCommand) fromPlatform(ctx context.Context, env Environment) (uint64, []netip.AddrPort, error) {
	if !c.Platform.IsValid() {
		return 0, nil, nil
	}
	client := env.Client(c.Platform)
	head, err := bundle.NewStore(bundle.StoreConfig{Client: client}).Head(ctx)
	if err != nil {
		return 0, nil, err
	}
	entries, _, err := client.List(ctx, relaysPrefix)
	if err != nil {
		return head.Version, nil, err
	}
	var nodes []netip.AddrPort
	for _, entry := range entries {
		var relay struct {
			ControlAddress netip.AddrPort `json:"controlAddress"`
		}
		if !strings.Contains(entry.Key, "/relays/") || json.Unmarshal(entry.Value, &relay) != nil {
			continue
		}
		if relay.ControlAddress.IsValid() {
			nodes = append(nodes, relay.ControlAddress)
		}
	}
	return head.Version, nodes, nil
}

// fetchStatuses queries the status of each node. It returns the statuses in the order of
// the nodes, and the nodes without a valid answer.
func fetchStatuses(ctx context.Context, env Environment, nodes []netip.AddrPort) ([]nodeStatus, []netip.AddrPort) {
	answers := make([]*nodeStatus, len(nodes))
	var group errgroup.Group
	group.SetLimit(maxConcurrentFetches)
	for i, node := range nodes {
		group.Go(func() error {
			var status nodeStatus
			body, err := env.Fetch(ctx, node, statusPath)
			if err == nil && json.Unmarshal(body, &status) == nil {
				answers[i] = &status
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors; nodes without an answer are listed
	var statuses []nodeStatus
	unresponsive := []netip.AddrPort{}
	for i, answer := range answers {
		if answer == nil {
			unresponsive = append(unresponsive, nodes[i])
			continue
		}
		statuses = append(statuses, *answer)
	}
	return statuses, unresponsive
}

func summarize(newest uint64, statuses []nodeStatus, unresponsive []netip.AddrPort) statusAnswer {
	vms := make(map[string]vmStatus)
	for _, status := range statuses {
		for vm, version := range status.BundleVersions {
			if _, found := vms[vm]; !found {
				vms[vm] = vmStatus{VM: vm, Zone: status.Zone, Version: version}
			}
		}
	}
	for _, status := range statuses {
		vms[status.VM] = vmStatus{VM: status.VM, Zone: status.Zone, Version: status.BundleVersion, Draining: status.Draining}
	}
	if newest == 0 {
		for _, vm := range vms {
			newest = max(newest, vm.Version)
		}
	}
	answer := statusAnswer{Newest: newest, Unresponsive: unresponsive, VMs: []vmStatus{}}
	for _, vm := range vms {
		vm.Lagging = vm.Version < newest
		answer.VMs = append(answer.VMs, vm)
	}
	slices.SortFunc(answer.VMs, func(a, b vmStatus) int {
		return strings.Compare(a.Zone+"\n"+a.VM, b.Zone+"\n"+b.VM)
	})
	answer.Zones = summarizeZones(answer.VMs)
	return answer
}

// summarizeZones returns the status of each zone. The VMs must be ordered by zone.
func summarizeZones(vms []vmStatus) []zoneStatus {
	zones := []zoneStatus{}
	for _, vm := range vms {
		if len(zones) == 0 || zones[len(zones)-1].Zone != vm.Zone {
			zones = append(zones, zoneStatus{Zone: vm.Zone, Lowest: vm.Version})
		}
		zone := &zones[len(zones)-1]
		zone.VMs++
		zone.Lowest = min(zone.Lowest, vm.Version)
		zone.Highest = max(zone.Highest, vm.Version)
		if vm.Lagging {
			zone.Lagging++
		}
	}
	return zones
}

func printStatus(out io.Writer, answer statusAnswer) {
	printf(out, "newest version: %d\n\nZONE\tVMS\tLAGGING\tLOWEST\tHIGHEST\n", answer.Newest)
	for _, zone := range answer.Zones {
		printf(out, "%s\t%d\t%d\t%d\t%d\n", zone.Zone, zone.VMs, zone.Lagging, zone.Lowest, zone.Highest)
	}
	printf(out, "\nVM\tZONE\tVERSION\tSTATE\n")
	for _, vm := range answer.VMs {
		printf(out, "%s\t%s\t%d\t%s\n", vm.VM, vm.Zone, vm.Version, vm.state())
	}
	for _, node := range answer.Unresponsive {
		printf(out, "%s gave no answer\n", node)
	}
}

func (v vmStatus) state() string {
	switch {
	case v.Lagging:
		return "lags"
	case v.Draining:
		return "drains"
	default:
		return "ok"
	}
}
