package node

import (
	"crypto/tls"
	"net"

	"auburngap/peer"
	"auburngap/settings"
)

// peerTLSConfig returns the configuration of mutual TLS between nodes, or nil if
// connections are plain.
func peerTLSConfig(s settings.TLS) (*tls.Config, error) {
	if s.Plain {
		return nil, nil
	}
	return peer.Keys{CertificatePEM: s.Certificate, KeyPEM: s.Key, AuthoritiesPEM: s.Authorities}.TLSConfig()
}

// withCallerTLS returns a listener that uses TLS with callers, unless plain
// connections are configured.
func withCallerTLS(listener net.Listener, s settings.TLS) (net.Listener, error) {
	if s.Plain {
		return listener, nil
	}
	certificate, err := tls.X509KeyPair([]byte(s.Certificate), []byte(s.Key))
	if err != nil {
		return nil, ErrStart.Wrap(err, "callerTls")
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	return tls.NewListener(listener, config), nil
}
