package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"net/netip"

	"go.uber.org/zap/zapcore"

	"auburngap/strictjson"
)

// checker collects the faults of one file.
type checker struct {
	faults []strictjson.Fault
}

func (c *checker) require(ok bool, name, allowed string) {
	if !ok {
		c.faults = append(c.faults, strictjson.Fault{Field: name, Allowed: allowed})
	}
}

// check returns a fault for every value that is not allowed.
func (n *Node) check() []strictjson.Fault {
	c := &checker{}
	c.require(n.VM != "", "vm", "a name is needed")
	c.require(n.AvailabilityZone != "", "availabilityZone", "a name is needed")
	c.address(n.CallerAddress, "callerAddress")
	c.address(n.PeerAddress, "peerAddress")
	c.require(!n.PeerListenAddress.IsValid() || n.PeerListenAddress.Port() != 0, "peerListenAddress", "an address with port, such as 0.0.0.0:8081, or none")
	c.address(n.BackendAddress, "backendAddress")
	c.address(n.ControlAddress, "controlAddress")
	c.address(n.PlatformAddress, "platformAddress")
	c.require(n.BackendAddress.Addr().IsLoopback(), "backendAddress", "an address on loopback")
	c.require(n.PlatformTimeout > 0, "platformTimeout", "longer than 0s")
	c.require(n.DrainTimeout > 0, "drainTimeout", "longer than 0s")
	c.require(n.IdleTimeout > 0, "idleTimeout", "longer than 0s")
	c.require(n.Processors >= 1, "processors", "at least 1")
	c.require(len(n.Operators) > 0, "operators", "at least one operator with name and publicKey")
	for _, operator := range n.Operators {
		c.require(operator.Name != "" && isPublicKey(operator.PublicKey), "operators", "a name and an Ed25519 public key, base64, for each")
	}
	c.require(n.OperatorSignOffs >= 1 && n.OperatorSignOffs <= max(len(n.Operators), 1), "operatorSignOffs", "from 1 to the number of operators")
	c.tls(n.PeerTLS, "peerTls")
	c.tls(n.CallerTLS, "callerTls")
	_, err := zapcore.ParseLevel(n.LogLevel)
	c.require(err == nil, "logLevel", "debug, info, warn or error")
	return c.faults
}

func (c *checker) address(address netip.AddrPort, name string) {
	c.require(address.IsValid() && address.Port() != 0, name, "an address with port is needed, such as 10.0.0.1:8080")
}

func (c *checker) tls(keys TLS, name string) {
	c.require(keys.Plain || (keys.Certificate != "" && keys.Key != ""), name, "certificate and key as PEM text, or plain: true on one's own machine")
}

func isPublicKey(text string) bool {
	key, err := base64.StdEncoding.DecodeString(text)
	return err == nil && len(key) == ed25519.PublicKeySize
}
