package e2e

import (
	"crypto/ed25519"
	"encoding/base64"
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/kv"
	"auburngap/settings"
)

// publish proposes, signs and rolls out a bundle.
func (w *testSite) publish(b bundle.Bundle) uint64 {
	w.t.Helper()
	return publish(w.t, w.platform, w.operator, b)
}

func publish(t *testing.T, client kv.Client, key ed25519.PrivateKey, b bundle.Bundle) uint64 {
	t.Helper()
	b.SignOffs = 1
	b.Operators = []bundle.Operator{{Name: operatorName, PublicKey: publicText(key)}}
	store := bundle.NewStore(bundle.StoreConfig{Client: client})
	proposal, err := store.Propose(t.Context(), bundle.ProposeRequest{Bundle: &b, Author: operatorName})
	assert.NilError(t, err)
	_, err = store.Approve(t.Context(), proposal.ID(), bundle.Signer{Name: operatorName, Key: key})
	assert.NilError(t, err)
	record, err := store.Rollout(t.Context(), proposal.ID())
	assert.NilError(t, err)
	return record.Header.Version
}

// newOperator returns an operator's key and the settings that trust it.
func newOperator(t *testing.T) (ed25519.PrivateKey, []settings.Operator) {
	t.Helper()
	_, key, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	return key, []settings.Operator{{Name: operatorName, PublicKey: publicText(key)}}
}

func publicText(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
}
