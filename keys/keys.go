// Package keys generates TLS certificates for nodes: a certificate authority for the site
// and the certificates that it signs.
//
// # Usage
//
//	authority, err := keys.NewAuthority(keys.Config{Site: "windhoek", Valid: 365 * 24 * time.Hour, Now: time.Now()})
//	pair, err := authority.Issue(peer.PeerServerName)
//
// The authority's private key stays with the operators. A node's settings contain the
// node's certificate and key and the authority's certificate.
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
	// ErrCreate means that a key or certificate could not be generated or loaded.
	ErrCreate = errs.NewType("make")
)

// serialBits is the size of a certificate's random serial number in bits.
const serialBits = 120

// KeyPair is a certificate and its private key in PEM encoding.
type KeyPair struct {
	CertificatePEM string
	KeyPEM         string
}

// Config configures an Authority.
type Config struct {
	// Site is the site's name. It is part of the subject of the authority's certificate.
	Site string
	// Validity is the validity period of the authority's certificate and of those it signs.
	Validity time.Duration
	Now      time.Time
}

// Authority is a certificate authority that signs the certificates of a site's nodes.
type Authority struct {
	KeyPair
	config      Config
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority generates the key and the self-signed certificate of a new authority.
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
		return nil, ErrCreate.Wrap(err, "key of the authority")
	}
	a := &Authority{config: config, certificate: template, key: key}
	if a.KeyPair, err = a.sign(template, key); err != nil {
		return nil, err
	}
	return a, nil
}

// LoadAuthority returns the authority with a key pair from NewAuthority.
func LoadAuthority(pair KeyPair, config Config) (*Authority, error) {
	loaded, err := tls.X509KeyPair([]byte(pair.CertificatePEM), []byte(pair.KeyPEM))
	if err != nil {
		return nil, ErrCreate.Wrap(err, "key pair of the authority")
	}
	key, ok := loaded.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !loaded.Leaf.IsCA {
		return nil, ErrCreate.New("the key pair does not belong to an authority")
	}
	return &Authority{KeyPair: pair, config: config, certificate: loaded.Leaf, key: key}, nil
}

// Issue generates a key pair for use as server and client under the given DNS name.
func (a *Authority) Issue(name string) (KeyPair, error) {
	template, err := newTemplate(a.config, name)
	if err != nil {
		return KeyPair{}, err
	}
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, ErrCreate.Wrap(err, "key of %s", name)
	}
	return a.sign(template, key)
}

func newTemplate(config Config, name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, ErrCreate.Wrap(err, "serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    config.Now.Add(-time.Hour),
		NotAfter:     config.Now.Add(config.Validity),
	}, nil
}

func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) (KeyPair, error) {
	certificate, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return KeyPair{}, ErrCreate.Wrap(err, "certificate of %s", template.Subject.CommonName)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, ErrCreate.Wrap(err, "key of %s", template.Subject.CommonName)
	}
	return KeyPair{
		CertificatePEM: string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})),
		KeyPEM:         string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})),
	}, nil
}
