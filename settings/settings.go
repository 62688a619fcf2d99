// Package settings holds the settings of one node: JSON with comments, read
// strictly into one struct with defaults.
//
// # Usage
//
//	node, err := settings.Read("node.json")
//	if err != nil {
//		// every fault, with file, line, field and what is allowed
//	}
package settings

import (
	"net/netip"
	"time"
)

// Node holds the settings of one node. The comment of each field is printed in
// docs/SETTINGS.md.
type Node struct {
	// VM is the name of the VM that the node runs on.
	VM string `json:"vm"`
	// AvailabilityZone is the VM's availability zone, as named in the bundle.
	AvailabilityZone string `json:"availabilityZone"`
	// CallerAddress is where callers reach the node over HTTP.
	CallerAddress netip.AddrPort `json:"callerAddress"`
	// PeerAddress is where other nodes reach the node.
	PeerAddress netip.AddrPort `json:"peerAddress"`
	// PeerListenAddress is where the node listens for other nodes if it differs from peerAddress, for example behind a forwarded port.
	PeerListenAddress netip.AddrPort `json:"peerListenAddress"`
	// BackendAddress is the loopback address where the backend server of the VM reaches the node.
	BackendAddress netip.AddrPort `json:"backendAddress"`
	// ControlAddress is where operators reach health, metrics, status and reports.
	ControlAddress netip.AddrPort `json:"controlAddress"`
	// PlatformAddress is the address of the platform's key-value service.
	PlatformAddress netip.AddrPort `json:"platformAddress"`
	// PlatformTimeout is the timeout of one call of the platform's key-value service.
	PlatformTimeout Duration `json:"platformTimeout"`
	// Seeds are peer addresses of nodes that are asked for the directory when the platform is down.
	Seeds []netip.AddrPort `json:"seeds"`
	// Operators may sign the first bundle; each later bundle names who signs the next one.
	Operators []Operator `json:"operators"`
	// OperatorSignOffs is how many of the operators must sign the first bundle.
	OperatorSignOffs int `json:"operatorSignOffs"`
	// PeerTLS holds the keys for connections with other nodes.
	PeerTLS TLS `json:"peerTls"`
	// CallerTLS holds the keys for connections with callers.
	CallerTLS TLS `json:"callerTls"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
	// DrainTimeout is the maximum time that a stopping node waits for its calls.
	DrainTimeout Duration `json:"drainTimeout"`
	// IdleTimeout is the time after which a caller's idle connection is closed.
	IdleTimeout Duration `json:"idleTimeout"`
	// Processors is the number of processors that the node uses at once, at most those that are available to it.
	Processors int `json:"processors"`
}

// PeerListener returns the address to listen on for other nodes.
func (n *Node) PeerListener() netip.AddrPort {
	if n.PeerListenAddress.IsValid() {
		return n.PeerListenAddress
	}
	return n.PeerAddress
}

// Operator is a person who may sign the first bundle.
type Operator struct {
	// Name is the operator's name, as in the bundle.
	Name string `json:"name"`
	// PublicKey is the operator's Ed25519 public key, base64.
	PublicKey string `json:"publicKey"`
}

// TLS holds the keys of one kind of connection, as PEM text, because VMs keep no
// files.
type TLS struct {
	// Plain turns TLS off, for use on a single machine.
	Plain bool `json:"plain"`
	// Certificate is the certificate chain.
	Certificate string `json:"certificate"`
	// Key is the certificate's private key.
	Key string `json:"key"`
	// Authorities sign the certificates of all nodes.
	Authorities string `json:"authorities"`
}

// Default returns the defaults of the settings.
func Default() Node {
	return Node{
		PlatformTimeout:  Duration(2 * time.Second),
		OperatorSignOffs: 1,
		LogLevel:         "info",
		DrainTimeout:     Duration(30 * time.Second),
		IdleTimeout:      Duration(2 * time.Minute),
		Processors:       2,
	}
}
