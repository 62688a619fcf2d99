package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"net/netip"

	"go.uber.org/zap/zapcore"

	"auburngap/strictjson"
)

// checker gathers the faults of one file.
type checker struct {
	faults []strictjson.Fault
}

func (c *checker) demand(ok bool, name, allowed string) {
	if !ok {
		c.faults = append(c.faults, strictjson.Fault{Field: name, Allowed: allowed})
	}
}

// check returns every value that is out of bounds.
func (n *Node) check() []strictjson.Fault {
	c := &checker{}
	c.demand(n.VM != "", "vm", "a name is needed")
	c.demand(n.AvailabilityZone != "", "availabilityZone", "a name is needed")
	c.address(n.CallerAddress, "callerAddress")
	c.address(n.PeerAddress, "peerAddress")
	c.demand(!n.PeerListenAddress.IsValid() || n.PeerListenAddress.Port() != 0, "peerListenAddress", "an address with port, such as 0.0.0.0:8081, or none")
	c.address(n.BackendAddress, "backendAddress")
	c.address(n.ControlAddress, "controlAddress")
	c.address(n.PlatformAddress, "platformAddress")
	c.demand(n.BackendAddress.Addr().IsLoopback(), "backendAddress", "an address on loopback")
	c.demand(n.PlatformTimeout > 0, "platformTimeout", "longer than 0s")
	c.demand(n.DrainTimeout > 0, "drainTimeout", "longer than 0s")
	c.demand(n.IdleTimeout > 0, "idleTimeout", "longer than 0s")
	c.demand(n.Processors >= 1, "processors", "at least 1")
	c.demand(len(n.Operators) > 0, "operators", "at least one operator with name and publicKey")
	for _, operator := range n.Operators {
		c.demand(operator.Name != "" && isPublicKey(operator.PublicKey), "operators", "a name and an Ed25519 public key, base64, for each")
	}
	c.demand(n.OperatorSignOffs >= 1 && n.OperatorSignOffs <= max(len(n.Operators), 1), "operatorSignOffs", "from 1 to the number of operators")
	c.tls(n.PeerTLS, "peerTls")
	c.tls(n.CallerTLS, "callerTls")
	_, err := zapcore.ParseLevel(n.LogLevel)
	c.demand(err == nil, "logLevel", "debug, info, warn or error")
	return c.faults
}

func (c *checker) address(address netip.AddrPort, name string) {
	c.demand(address.IsValid() && address.Port() != 0, name, "an address with port is needed, such as 10.0.0.1:8080")
}

func (c *checker) tls(keys TLS, name string) {
	c.demand(keys.Plain || (keys.Certificate != "" && keys.Key != ""), name, "certificate and key as PEM text, or plain: true on one's own machine")
}

func isPublicKey(text string) bool {
	key, err := base64.StdEncoding.DecodeString(text)
	return err == nil && len(key) == ed25519.PublicKeySize
}
