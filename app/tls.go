package app

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"auburngap/keys"
	"auburngap/peer"
	"auburngap/settings"
)

// tlsCommand generates the certificates and keys of nodes.
type tlsCommand struct {
	Authority *tlsAuthorityCommand `arg:"subcommand:authority" help:"print a new authority of the site, as JSON; keep it secret"`
	Node      *tlsNodeCommand      `arg:"subcommand:node" help:"print a node's peerTls settings, as JSON"`
}

// tlsAuthorityCommand generates the authority that signs the nodes' certificates.
type tlsAuthorityCommand struct {
	Site  string        `arg:"--site,required" placeholder:"NAME" help:"name on the certificate"`
	Valid time.Duration `arg:"--valid" default:"8760h" placeholder:"DURATION" help:"how long it is valid"`
}

// tlsNodeCommand generates the certificate and key of one node.
type tlsNodeCommand struct {
	Authority string        `arg:"--authority,required" placeholder:"FILE" help:"what tls authority has printed"`
	Valid     time.Duration `arg:"--valid" default:"2160h" placeholder:"DURATION" help:"how long they are valid"`
}

// storedAuthority is an authority in the JSON form that operators store.
type storedAuthority struct {
	Site        string `json:"site"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

func (c *tlsCommand) run(stdout, stderr io.Writer) int {
	switch {
	case c.Authority != nil:
		return exitCode(stderr, c.Authority.run(stdout))
	case c.Node != nil:
		return exitCode(stderr, c.Node.run(stdout))
	}
	printLine(stderr, textTryHelp)
	return ExitUsage
}

func (c *tlsAuthorityCommand) run(stdout io.Writer) error {
	authority, err := keys.NewAuthority(keys.Config{Site: c.Site, Validity: c.Valid, Now: time.Now()})
	if err != nil {
		return err
	}
	return printJSON(stdout, storedAuthority{Site: c.Site, Certificate: authority.CertificatePEM, Key: authority.KeyPEM})
}

func (c *tlsNodeCommand) run(stdout io.Writer) error {
	data, err := os.ReadFile(c.Authority)
	if err != nil {
		return err
	}
	var stored storedAuthority
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	pair := keys.KeyPair{CertificatePEM: stored.Certificate, KeyPEM: stored.Key}
	authority, err := keys.LoadAuthority(pair, keys.Config{Site: stored.Site, Validity: c.Valid, Now: time.Now()})
	if err != nil {
		return err
	}
	issued, err := authority.Issue(peer.PeerServerName)
	if err != nil {
		return err
	}
	return printJSON(stdout, settings.TLS{Certificate: issued.CertificatePEM, Key: issued.KeyPEM, Authorities: stored.Certificate})
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
