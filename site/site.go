// Package site starts a whole site on one machine for the demo and the tests: a fake
// of the platform's service and one process for each node, on loopback.
//
// # Usage
//
//	s, err := site.Start(ctx, site.Config{Binary: "bin/auburngap", Directory: dir, VMs: vms})
//	defer s.Close()
//	err = s.Node("wdh-1").Kill()
//	err = s.StartNode(ctx, "wdh-1")
//
// Signals are sent to the site's processes by ID; no other process is affected.
package site

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"auburngap/settings"
)

var (
	errs = errorx.NewNamespace("site")
	// ErrStart means that a process could not be started or did not become ready.
	ErrStart = errs.NewType("start")
)

// VM is one VM of the site.
type VM struct {
	Name string
	Zone string
}

// Config configures a Site.
type Config struct {
	// Binary is the path of the auburngap program.
	Binary string
	// Directory is where settings and logs are written.
	Directory string
	VMs       []VM
	// Base holds the settings that all nodes share; its VM, zone and addresses are
	// replaced. If it names no operators, the default settings with Operators and
	// without TLS are used instead.
	Base settings.Node
	// Operators are the operators that the nodes trust for the first bundle.
	Operators []settings.Operator
	// Platform is the address of a running service; if it is not valid, the site
	// starts a fake.
	Platform netip.AddrPort
	// Adjust may change the settings of a node before it starts; it may be nil.
	Adjust func(*settings.Node)
}

// Site is a running site.
type Site struct {
	config   Config
	Platform netip.AddrPort
	platform *Process
	nodes    map[string]*Node
	backends []*Process
}

// Node is one node of the site.
type Node struct {
	*Process
	Settings settings.Node
}

// Start starts the platform's fake, unless Config.Platform is valid, and all nodes,
// and waits until the nodes accept connections on their control addresses.
func Start(ctx context.Context, config Config) (*Site, error) {
	s := &Site{config: config, Platform: config.Platform, nodes: make(map[string]*Node)}
	if !config.Platform.IsValid() {
		if err := s.startPlatform(); err != nil {
			return nil, err
		}
	}
	for _, vm := range config.VMs {
		if err := s.addNode(vm); err != nil {
			s.Close()
			return nil, err
		}
	}
	if err := s.writeSettings(); err != nil {
		s.Close()
		return nil, err
	}
	for _, vm := range config.VMs {
		if err := s.StartNode(ctx, vm.Name); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *Site) startPlatform() error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	process, err := startProcess(s.logPath("platform"), s.config.Binary, "platform-fake", "--listen", address.String())
	if err != nil {
		return err
	}
	s.Platform = address
	s.platform = process
	return nil
}

// addNode adds a node with its settings and free addresses, without starting it.
func (s *Site) addNode(vm VM) error {
	node := s.config.Base
	if len(node.Operators) == 0 {
		node = settings.Default()
		node.PeerTLS.Plain = true
		node.CallerTLS.Plain = true
		node.Operators = s.config.Operators
	}
	node.VM = vm.Name
	node.AvailabilityZone = vm.Zone
	node.PlatformAddress = s.Platform
	for _, address := range []*netip.AddrPort{&node.CallerAddress, &node.PeerAddress, &node.BackendAddress, &node.ControlAddress} {
		free, err := freeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	if s.config.Adjust != nil {
		s.config.Adjust(&node)
	}
	s.nodes[vm.Name] = &Node{Settings: node}
	return nil
}

// writeSettings writes the settings of all nodes, with all nodes as seeds.
func (s *Site) writeSettings() error {
	var seeds []netip.AddrPort
	for _, vm := range s.config.VMs {
		seeds = append(seeds, s.nodes[vm.Name].Settings.PeerAddress)
	}
	for name, node := range s.nodes {
		node.Settings.Seeds = seeds
		data, err := json.MarshalIndent(node.Settings, "", "  ")
		if err != nil {
			return ErrStart.Wrap(err, "encode settings")
		}
		if err := os.WriteFile(s.settingsPath(name), data, 0o600); err != nil {
			return ErrStart.Wrap(err, "write settings")
		}
	}
	return nil
}

// StartNode starts or restarts a node with its settings and waits until it accepts
// connections on its control address.
func (s *Site) StartNode(ctx context.Context, vm string) error {
	node := s.nodes[vm]
	process, err := startProcess(s.logPath(vm), s.config.Binary, "node", "--settings", s.settingsPath(vm))
	if err != nil {
		return err
	}
	node.Process = process
	return waitForTCP(ctx, process, node.Settings.ControlAddress)
}

// StartBackend starts a fake backend server beside a node, as a process.
func (s *Site) StartBackend(vm string, arguments ...string) error {
	all := append([]string{"backend-fake", "--node", s.nodes[vm].Settings.BackendAddress.String()}, arguments...)
	process, err := startProcess(s.logPath(vm+"-backend"), s.config.Binary, all...)
	if err != nil {
		return err
	}
	s.backends = append(s.backends, process)
	return nil
}

// Node returns a node by its VM's name.
func (s *Site) Node(vm string) *Node {
	return s.nodes[vm]
}

// Close stops all processes and waits for them.
func (s *Site) Close() {
	for _, node := range s.nodes {
		if node.Process != nil {
			node.Terminate()
		}
	}
	for _, node := range s.nodes {
		if node.Process != nil {
			node.Wait(stopTimeout)
		}
	}
	for _, backend := range s.backends {
		backend.Terminate()
		backend.Wait(stopTimeout)
	}
	if s.platform != nil {
		s.platform.Terminate()
		s.platform.Wait(stopTimeout)
	}
}

func (s *Site) settingsPath(vm string) string {
	return filepath.Join(s.config.Directory, vm+".json")
}

func (s *Site) logPath(name string) string {
	return filepath.Join(s.config.Directory, name+".log")
}

// The ports that sites use are below the range of the system's ports for outgoing
// connections.
const (
	firstPort = 15000
	lastPort  = 32000
)

// nextPort is where the search for a free port continues. It starts at a random
// port, so that sites of several programs seldom choose the same ports.
var nextPort atomic.Uint32

func init() {
	nextPort.Store(firstPort + rand.Uint32N(lastPort-firstPort))
}

// freeAddress returns a loopback address on which no process listens.
func freeAddress() (netip.AddrPort, error) {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return netip.AddrPort{}, ErrStart.Wrap(err, "find a free port")
		}
		return address, nil
	}
	return netip.AddrPort{}, ErrStart.New("no free port")
}

// waitForTCP waits until an address accepts connections. It returns an error after
// startTimeout, or if the process or ctx has ended.
func waitForTCP(ctx context.Context, process *Process, address netip.AddrPort) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil && process.Running() {
		conn, err := net.DialTimeout("tcp", address.String(), time.Second)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(pollInterval)
	}
	return ErrStart.New("no process accepts connections on %s", address)
}
