package peer

import (
	"crypto/tls"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/keys"
)

// newTLSConfig returns the TLS configuration of a node whose certificate is signed
// by a new authority.
func newTLSConfig(t *testing.T) *tls.Config {
	t.Helper()
	authority, err := keys.NewAuthority(keys.Config{Site: "test", Validity: time.Hour, Now: time.Now()})
	assert.NilError(t, err)
	pair, err := authority.Issue(PeerServerName)
	assert.NilError(t, err)
	config, err := Keys{CertificatePEM: pair.CertificatePEM, KeyPEM: pair.KeyPEM, AuthoritiesPEM: authority.CertificatePEM}.TLSConfig()
	assert.NilError(t, err)
	return config
}
