package bundle_test

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/kv"
	"auburngap/kv/fake"
)

var operators = []string{"ndapewa", "tuyeni", "martha"}

func testSigner(name string) bundle.Signer {
	seed := sha256.Sum256([]byte("test operator " + name))
	return bundle.Signer{Name: name, Key: ed25519.NewKeyFromSeed(seed[:])}
}

func testOperator(name string) bundle.Operator {
	public := testSigner(name).Key.Public().(ed25519.PublicKey)
	return bundle.Operator{Name: name, PublicKey: base64.StdEncoding.EncodeToString(public)}
}

// testBundle returns the bundle of the site windhoek with operators whose keys the tests
// have.
func testBundle(t testing.TB) *bundle.Bundle {
	b := parseSite(t, "windhoek")
	b.Operators = nil
	for _, name := range operators {
		b.Operators = append(b.Operators, testOperator(name))
	}
	return b
}

func rootTrust() bundle.Trust {
	var keys []string
	for _, name := range operators {
		keys = append(keys, testOperator(name).PublicKey)
	}
	trust, err := bundle.RootTrust(keys, 2)
	if err != nil {
		panic(err)
	}
	return trust
}

func TestRootTrustFaults(t *testing.T) {
	key := testOperator("tuyeni").PublicKey
	for _, c := range []struct {
		keys     []string
		signOffs int
	}{{nil, 1}, {[]string{key}, 0}, {[]string{key}, 2}, {[]string{"key"}, 1}} {
		_, err := bundle.RootTrust(c.keys, c.signOffs)
		assertType(t, err, bundle.ErrCorrupt)
	}
}

type deployment struct {
	*testing.T
	service *fake.Service
	store   *bundle.Store
}

func newDeployment(t *testing.T) *deployment {
	service := fake.New(fake.Config{})
	return &deployment{T: t, service: service, store: bundle.NewStore(bundle.StoreConfig{Client: service, RetryDelay: time.Microsecond})}
}

func (d *deployment) propose(b *bundle.Bundle) bundle.Proposal {
	d.Helper()
	proposal, err := d.store.Propose(d.Context(), bundle.ProposeRequest{Bundle: b, Author: "ndapewa"})
	assert.NilError(d, err)
	return proposal
}

// proposeRate proposes a change of the first workspace's rate.
func (d *deployment) proposeRate(rate float64) bundle.Proposal {
	b := testBundle(d)
	b.Workspaces[0].Rate = rate
	return d.propose(b)
}

func (d *deployment) approve(proposal bundle.Proposal, names ...string) {
	d.Helper()
	for _, name := range names {
		_, err := d.store.Approve(d.Context(), proposal.ID(), testSigner(name))
		assert.NilError(d, err)
	}
}

func (d *deployment) rollout(proposal bundle.Proposal) bundle.Record {
	d.Helper()
	record, err := d.store.Rollout(d.Context(), proposal.ID())
	assert.NilError(d, err)
	return record
}

func (d *deployment) publish(b *bundle.Bundle) bundle.Record {
	d.Helper()
	record, err := d.store.Publish(d.Context(), bundle.ProposeRequest{Bundle: b}, testSigner("ndapewa"), testSigner("tuyeni"))
	assert.NilError(d, err)
	return record
}

func (d *deployment) head() bundle.Head {
	d.Helper()
	head, err := d.store.Head(d.Context())
	assert.NilError(d, err)
	return head
}

func assertType(t testing.TB, err error, want *errorx.Type) {
	t.Helper()
	assert.Assert(t, errorx.IsOfType(err, want), "got %v", err)
}

func TestProposeApproveRollout(t *testing.T) {
	d := newDeployment(t)
	_, err := d.store.Head(t.Context())
	assertType(t, err, bundle.ErrNoBundle)
	proposal := d.propose(testBundle(t))
	d.approve(proposal, "ndapewa", "ndapewa")
	_, err = d.store.Rollout(t.Context(), proposal.ID())
	assertType(t, err, bundle.ErrNotReady)
	d.approve(proposal, "martha")
	d.rollout(proposal)
	d.rollout(proposal) // repeating it changes nothing
	assert.Equal(t, d.head().Version, uint64(1))
	loaded, err := d.store.Load(t.Context(), 1)
	assert.NilError(t, err)
	assert.Equal(t, len(loaded.Bundle.Workspaces), 8)
}

func TestApproveByUnknownOperator(t *testing.T) {
	d := newDeployment(t)
	proposal := d.propose(testBundle(t))
	_, err := d.store.Approve(t.Context(), proposal.ID(), testSigner("mallory"))
	assertType(t, err, bundle.ErrForged)
}

// TestConcurrentApprovals checks that no sign-off is lost.
func TestConcurrentApprovals(t *testing.T) {
	d := newDeployment(t)
	proposal := d.propose(testBundle(t))
	var group errgroup.Group
	for _, name := range operators {
		group.Go(func() error {
			_, err := d.store.Approve(t.Context(), proposal.ID(), testSigner(name))
			return err
		})
	}
	assert.NilError(t, group.Wait())
	stored, err := d.store.Proposal(t.Context(), proposal.ID())
	assert.NilError(t, err)
	assert.Equal(t, len(stored.SignOffs), len(operators))
}

// TestConcurrentRollouts checks that one rollout succeeds and the other returns a
// conflict.
func TestConcurrentRollouts(t *testing.T) {
	for range 20 {
		d := newDeployment(t)
		d.publish(testBundle(t))
		proposals := []bundle.Proposal{d.proposeRate(1), d.proposeRate(2)}
		errs := make([]error, len(proposals))
		for _, proposal := range proposals {
			d.approve(proposal, "tuyeni", "martha")
		}
		var group errgroup.Group
		for i, proposal := range proposals {
			group.Go(func() error {
				_, errs[i] = d.store.Rollout(t.Context(), proposal.ID())
				return nil
			})
		}
		assert.NilError(t, group.Wait())
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		assert.NilError(t, errs[winner])
		assertType(t, errs[1-winner], bundle.ErrConflict)
		assert.DeepEqual(t, d.head(), bundle.Head{Version: 2, Proposal: proposals[winner].ID()})
	}
}

// TestLostAnswers loses answers and requests of the writes under each prefix.
func TestLostAnswers(t *testing.T) {
	for _, prefix := range []string{"bundle/proposal/", "bundle/version/", "bundle/head"} {
		for lost := range 4 {
			faults := fake.Faults{LoseAnswers: lost, LoseRequests: 4 - lost, LosePrefix: prefix}
			t.Run(fmt.Sprint(prefix, lost), func(t *testing.T) {
				d := newDeployment(t)
				d.service.SetFaults(faults)
				d.publish(testBundle(t))
				d.service.SetFaults(faults)
				d.publish(testBundle(t))
				assert.Equal(t, d.head().Version, uint64(2))
			})
		}
	}
}

// TestLostAnswerBeforeConflict checks that an operator whose answer was lost finds its own
// record stored, and that another operator's rollout right afterwards returns a conflict.
func TestLostAnswerBeforeConflict(t *testing.T) {
	d := newDeployment(t)
	first, second := d.propose(testBundle(t)), d.proposeRate(2)
	d.approve(first, "tuyeni", "martha")
	d.approve(second, "tuyeni", "martha")
	d.service.SetFaults(fake.Faults{LoseAnswers: 1, LosePrefix: "bundle/version/"})
	d.rollout(first)
	_, err := d.store.Rollout(t.Context(), second.ID())
	assertType(t, err, bundle.ErrConflict)
	_, err = d.store.Approve(t.Context(), second.ID(), testSigner("ndapewa"))
	assertType(t, err, bundle.ErrConflict)
}

// TestToolFailsBeforeHead checks that the next operator's rollout updates the head if a
// tool stored the record but failed before it updated the head.
func TestToolFailsBeforeHead(t *testing.T) {
	d := newDeployment(t)
	d.publish(testBundle(t))
	first, second := d.proposeRate(1), d.proposeRate(2)
	d.approve(first, "tuyeni", "martha")
	d.approve(second, "tuyeni", "martha")
	d.service.SetFaults(fake.Faults{LoseRequests: 100, LosePrefix: "bundle/head"})
	_, err := d.store.Rollout(t.Context(), first.ID())
	assertType(t, err, kv.ErrUnavailable)
	d.service.SetFaults(fake.Faults{})
	assert.Equal(t, d.head().Version, uint64(1))
	_, err = d.store.Rollout(t.Context(), second.ID())
	assertType(t, err, bundle.ErrConflict)
	assert.DeepEqual(t, d.head(), bundle.Head{Version: 2, Proposal: first.ID()})
}

func TestStaleBase(t *testing.T) {
	d := newDeployment(t)
	d.publish(testBundle(t))
	d.publish(testBundle(t))
	_, err := d.store.Propose(t.Context(), bundle.ProposeRequest{Bundle: testBundle(t), Base: 1})
	assertType(t, err, bundle.ErrConflict)
	_, err = d.store.Proposal(t.Context(), uuid.New())
	assertType(t, err, bundle.ErrNoProposal)
}

func TestPlatformDown(t *testing.T) {
	d := newDeployment(t)
	d.service.SetFaults(fake.Faults{Down: true})
	_, err := d.store.Head(t.Context())
	assertType(t, err, kv.ErrUnavailable)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = d.store.Propose(ctx, bundle.ProposeRequest{Bundle: testBundle(t)})
	assertType(t, err, kv.ErrUnavailable)
}
