package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"reflect"

	"github.com/google/uuid"
)

// maxVerifiedSignOffs is the maximum number of sign-offs that a node verifies per version.
const maxVerifiedSignOffs = 64

// Header is the part of a record that operators sign.
type Header struct {
	Version  uint64    `json:"version"`
	Proposal uuid.UUID `json:"proposal"`
	// Previous is the root hash of the previous version; the zero hash for the first
	// version.
	Previous Hash `json:"previous"`
	// Root is the hash of the sections.
	Root Hash `json:"root"`
	// TrustVersion is the version whose operators sign this one; zero stands for the
	// operators in the nodes' settings.
	TrustVersion uint64 `json:"trustVersion"`
	// TrustChanged means that the operators in this version sign the versions after it.
	TrustChanged bool `json:"trustChanged,omitempty"`
}

// statement returns the canonical encoding of the header, which is signed.
func (h Header) statement() []byte {
	return fmt.Appendf(nil, "auburngap bundle sign-off 1\nversion %d\nproposal %s\nprevious %s\nroot %s\ntrustVersion %d\ntrustChanged %t\n",
		h.Version, h.Proposal, h.Previous, h.Root, h.TrustVersion, h.TrustChanged)
}

// nextTrustVersion returns the version whose operators sign the next version.
func (h Header) nextTrustVersion() uint64 {
	if h.TrustChanged {
		return h.Version
	}
	return h.TrustVersion
}

// SignOff is one operator's signature of a header.
type SignOff struct {
	Operator  string `json:"operator"`
	Signature []byte `json:"signature"`
}

// Sign returns an operator's sign-off.
func Sign(header Header, operator string, key ed25519.PrivateKey) SignOff {
	return SignOff{Operator: operator, Signature: ed25519.Sign(key, header.statement())}
}

// Trust states which operators may sign the next version and how many of them must.
type Trust struct {
	// Version is the version that contains the operators; zero stands for the node's
	// settings.
	Version uint64
	// SignOffs is the number of operators who must sign.
	SignOffs  int
	Operators []Operator
}

// RootTrust returns the trust from a node's settings: public keys in base64, and the
// number of them that must sign the first version. It returns ErrCorrupt for an invalid
// key, for fewer keys than sign-offs, and for less than one sign-off.
func RootTrust(publicKeys []string, signOffs int) (Trust, error) {
	trust := Trust{SignOffs: signOffs}
	for _, key := range publicKeys {
		if !isBase64OfSize(key, ed25519.PublicKeySize) {
			return Trust{}, ErrCorrupt.New("%q is not an Ed25519 public key in base64", key)
		}
		trust.Operators = append(trust.Operators, Operator{PublicKey: key})
	}
	if signOffs < 1 || signOffs > len(publicKeys) {
		return Trust{}, ErrCorrupt.New("%d sign-offs cannot be required of %d keys", signOffs, len(publicKeys))
	}
	return trust, nil
}

// trustFrom returns the trust that consists of a bundle's operators.
func trustFrom(b *Bundle) Trust {
	return Trust{Version: b.Version, SignOffs: b.SignOffs, Operators: b.Operators}
}

// sameOperators reports whether both have the same operators and number of sign-offs.
func (t Trust) sameOperators(other Trust) bool {
	return t.SignOffs == other.SignOffs && reflect.DeepEqual(t.Operators, other.Operators)
}

// Signers returns the names of the operators with a valid signature among the sign-offs.
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
	for _, signOff := range signOffs[:min(len(signOffs), maxVerifiedSignOffs)] {
		if ed25519.Verify(key, statement, signOff.Signature) {
			return true
		}
	}
	return false
}

// Verify returns ErrForged unless enough of the operators signed the header.
func (t Trust) Verify(header Header, signOffs []SignOff) error {
	if header.TrustVersion != t.Version {
		return ErrForged.New("version %d is to be signed by the operators of version %d, not of version %d", header.Version, header.TrustVersion, t.Version)
	}
	if signers := t.Signers(header, signOffs); t.SignOffs < 1 || len(signers) < t.SignOffs {
		return ErrForged.New("version %d is signed by %d operators; %d are needed", header.Version, len(signers), t.SignOffs)
	}
	return nil
}
