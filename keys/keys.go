// Package keys makes certificates for nodes: an authority of the site's own and
// the certificates that it signs.
//
// # Usage
//
//	authority, err := keys.NewAuthority(keys.Config{Site: "windhoek", Valid: 365 * 24 * time.Hour, Now: time.Now()})
//	pair, err := authority.Issue(peer.PeerServerName)
//
// The authority's key stays with the operators; a node's settings hold its own
// pair and the authority's certificate.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/joomcode/errorx"
)

var (
	errs = errorx.NewNamespace("keys")
	// ErrMake means that a key or certificate could not be made.
	ErrMake = errs.NewType("make")
)

// serialBits is the size of a certificate's random serial number.
const serialBits = 120

// Pair is a certificate and its private key, as PEM text.
type Pair struct {
	CertificatePEM string
	KeyPEM         string
}

// Config configures an Authority.
type Config struct {
	// Site is the name on the authority's certificate.
	Site string
	// Valid is how long the authority and what it signs are valid.
	Valid time.Duration
	Now   time.Time
}

// Authority signs the certificates of a site's nodes.
type Authority struct {
	Pair
	config      Config
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns a new authority.
func NewAuthority(config Config) (*Authority, error) {
	template, err := newTemplate(config, config.Site+" authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, ErrMake.Wrap(err, "authority's key")
	}
	a := &Authority{config: config, certificate: template, key: key}
	if a.Pair, err = a.sign(template, key); err != nil {
		return nil, err
	}
	return a, nil
}

// LoadAuthority returns the authority of a pair that NewAuthority made.
func LoadAuthority(pair Pair, config Config) (*Authority, error) {
	both, err := tls.X509KeyPair([]byte(pair.CertificatePEM), []byte(pair.KeyPEM))
	if err != nil {
		return nil, ErrMake.Wrap(err, "authority's pair")
	}
	key, ok := both.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !both.Leaf.IsCA {
		return nil, ErrMake.New("the pair is not an authority's")
	}
	return &Authority{Pair: pair, config: config, certificate: both.Leaf, key: key}, nil
}

// Issue returns a new pair for a server and client of the given DNS name.
func (a *Authority) Issue(name string) (Pair, error) {
	template, err := newTemplate(a.config, name)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, ErrMake.Wrap(err, "key of %s", name)
	}
	return a.sign(template, key)
}

func newTemplate(config Config, name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, ErrMake.Wrap(err, "serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    config.Now.Add(-time.Hour),
		NotAfter:     config.Now.Add(config.Valid),
	}, nil
}

func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) (Pair, error) {
	certificate, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, ErrMake.Wrap(err, "certificate of %s", template.Subject.CommonName)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, ErrMake.Wrap(err, "key of %s", template.Subject.CommonName)
	}
	return Pair{
		CertificatePEM: string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})),
		KeyPEM:         string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})),
	}, nil
}
