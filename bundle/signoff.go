package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"reflect"

	"github.com/google/uuid"
)

// mostSignOffs bounds the sign-offs that a node verifies for one version.
const mostSignOffs = 64

// Header is what operators sign.
type Header struct {
	Version  uint64    `json:"version"`
	Proposal uuid.UUID `json:"proposal"`
	// Previous is the root of the version before; the zero hash for the first.
	Previous Hash `json:"previous"`
	// Root is the hash of the sections.
	Root Hash `json:"root"`
	// TrustVersion is the version whose operators sign; zero stands for the
	// operators in the nodes' settings.
	TrustVersion uint64 `json:"trustVersion"`
	// TrustChanged tells that this version's own operators sign its successors.
	TrustChanged bool `json:"trustChanged,omitempty"`
}

// statement is the canonical encoding that is signed.
func (h Header) statement() []byte {
	return fmt.Appendf(nil, "auburngap bundle sign-off 1\nversion %d\nproposal %s\nprevious %s\nroot %s\ntrustVersion %d\ntrustChanged %t\n",
		h.Version, h.Proposal, h.Previous, h.Root, h.TrustVersion, h.TrustChanged)
}

// nextTrust is the version whose operators sign the successor.
func (h Header) nextTrust() uint64 {
	if h.TrustChanged {
		return h.Version
	}
	return h.TrustVersion
}

// SignOff is one operator's signature under a header.
type SignOff struct {
	Operator  string `json:"operator"`
	Signature []byte `json:"signature"`
}

// Sign returns an operator's sign-off.
func Sign(header Header, operator string, key ed25519.PrivateKey) SignOff {
	return SignOff{Operator: operator, Signature: ed25519.Sign(key, header.statement())}
}

// Trust is who must sign off the next version.
type Trust struct {
	// Version is the one that named the operators; zero for the settings.
	Version uint64
	// SignOffs is how many operators must sign.
	SignOffs  int
	Operators []Operator
}

// RootTrust returns the trust of a node's settings: public keys in base64, and
// how many of them must sign the first version. It returns ErrCorrupt for what
// is no key, and where fewer keys than sign-offs are named.
func RootTrust(publicKeys []string, signOffs int) (Trust, error) {
	trust := Trust{SignOffs: signOffs}
	for _, key := range publicKeys {
		if !bytesOf(key, ed25519.PublicKeySize) {
			return Trust{}, ErrCorrupt.New("%q is no Ed25519 public key in base64", key)
		}
		trust.Operators = append(trust.Operators, Operator{PublicKey: key})
	}
	if signOffs < 1 || signOffs > len(publicKeys) {
		return Trust{}, ErrCorrupt.New("%d sign-offs cannot come from %d keys", signOffs, len(publicKeys))
	}
	return trust, nil
}

// trustOf returns the trust that a bundle's own operators carry.
func trustOf(b *Bundle) Trust {
	return Trust{Version: b.Version, SignOffs: b.SignOffs, Operators: b.Operators}
}

// sameOperators tells whether two versions are signed by the same people.
func (t Trust) sameOperators(other Trust) bool {
	return t.SignOffs == other.SignOffs && reflect.DeepEqual(t.Operators, other.Operators)
}

// Signers returns the names of the operators who validly signed.
func (t Trust) Signers(header Header, signOffs []SignOff) []string {
	var signers []string
	seen := make(map[string]bool)
	statement := header.statement()
	for _, operator := range t.Operators {
		if !seen[operator.PublicKey] && signedBy(operator, statement, signOffs) {
			seen[operator.PublicKey] = true
			signers = append(signers, operator.Name)
		}
	}
	return signers
}

func signedBy(operator Operator, statement []byte, signOffs []SignOff) bool {
	key, err := base64.StdEncoding.DecodeString(operator.PublicKey)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return false
	}
	for _, signOff := range signOffs[:min(len(signOffs), mostSignOffs)] {
		if ed25519.Verify(key, statement, signOff.Signature) {
			return true
		}
	}
	return false
}

// Verify returns ErrForged unless enough operators signed.
func (t Trust) Verify(header Header, signOffs []SignOff) error {
	if header.TrustVersion != t.Version {
		return ErrForged.New("version %d names the operators of version %d, not %d", header.Version, header.TrustVersion, t.Version)
	}
	if signers := t.Signers(header, signOffs); t.SignOffs < 1 || len(signers) < t.SignOffs {
		return ErrForged.New("version %d is signed by %d operators, %d are needed", header.Version, len(signers), t.SignOffs)
	}
	return nil
}
