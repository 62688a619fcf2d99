package peer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/joomcode/errorx"
)

// ErrKeys means that certificates or keys in the settings are unusable.
var ErrKeys = errs.NewType("keys", errorx.NotFound())

// Keys are a node's certificate, its key and the authorities that sign the
// certificates of all nodes, as PEM text.
type Keys struct {
	CertificatePEM string
	KeyPEM         string
	AuthoritiesPEM string
}

// TLSConfig returns the mutual TLS that both sides of a session use. A peer is
// authenticated only by its certificate's signature, since VMs are replaced at any
// time and their addresses change with them.
func (k Keys) TLSConfig() (*tls.Config, error) {
	certificate, err := tls.X509KeyPair([]byte(k.CertificatePEM), []byte(k.KeyPEM))
	if err != nil {
		return nil, ErrKeys.Wrap(err, "certificate and key")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM([]byte(k.AuthoritiesPEM)) {
		return nil, ErrKeys.New("no certificate in AuthoritiesPEM")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
		RootCAs:      authorities,
		ServerName:   PeerServerName,
	}, nil
}

// PeerServerName is the DNS name that every node's certificate carries.
const PeerServerName = "node.auburngap"
