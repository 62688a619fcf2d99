package bundle_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/bundle"
	"auburngap/directory"
	"auburngap/kv/fake"
)

var (
	_ directory.BundleSink   = (*bundle.Follower)(nil)
	_ directory.BundleSource = (*bundle.Follower)(nil)
)

func newFollower(d *deployment) *bundle.Follower {
	return bundle.NewFollower(bundle.FollowerConfig{Client: d.service, Roots: rootTrust()})
}

func TestFollowerForwardsProofs(t *testing.T) {
	d, _ := publishVersions(t, 15) // some versions change the operators
	relay, node := newFollower(d), newFollower(d)
	version, proof, err := relay.Head(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(15))
	assert.NilError(t, node.Verify(version, proof))
	assert.Equal(t, node.ActiveVersion(), uint64(0))
	node.Offer(version, proof)
	assert.Equal(t, node.ActiveVersion(), version)
	assert.Assert(t, node.Verify(version+1, proof) != nil)

	d.publish(testBundle(t))
	version, proof, err = relay.Next(t.Context(), version)
	assert.NilError(t, err)
	node.Offer(version, proof)
	assert.Equal(t, node.ActiveVersion(), uint64(16))
}

// TestFollowerRefusesForks checks that a removed operator cannot bring a node onto another
// chain of versions, even though that chain also starts at the root trust.
func TestFollowerRefusesForks(t *testing.T) {
	d, fork := newDeployment(t), newDeployment(t)
	d.publish(testBundle(t))
	reduced := testBundle(t)
	reduced.Operators = reduced.Operators[:2]
	d.publish(reduced)
	for range 3 {
		fork.publish(testBundle(t))
	}
	var refused error
	node := bundle.NewFollower(bundle.FollowerConfig{
		Client: d.service, Roots: rootTrust(),
		OnReject: func(_ uint64, err error) { refused = err },
	})
	version, proof, err := newFollower(d).Head(t.Context())
	assert.NilError(t, err)
	node.Offer(version, proof)
	version, proof, err = newFollower(fork).Head(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(3))
	node.Offer(version, proof)
	assertType(t, refused, bundle.ErrForged)
	assert.Equal(t, node.ActiveVersion(), uint64(2))
}

func TestHeadMakesOneCallIfUnchanged(t *testing.T) {
	d, _ := publishVersions(t, 3)
	relay := newFollower(d)
	_, _, err := relay.Head(t.Context())
	assert.NilError(t, err)
	before := d.service.Counts()
	_, _, err = relay.Head(t.Context())
	assert.NilError(t, err)
	before.Get++
	assert.DeepEqual(t, d.service.Counts(), before)
	d.service.SetFaults(fake.Faults{Down: true})
	_, _, err = relay.Head(t.Context())
	assert.Assert(t, err != nil)
}

// TestNextAfterCompaction guards against a relay that reads no further version once the
// platform has forgotten the changes before its watch.
func TestNextAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := publishVersions(t, 3)
		relay := newFollower(d)
		_, _, err := relay.Head(t.Context())
		assert.NilError(t, err)
		d.service.Compact()
		before := d.service.Counts()
		version, _, err := relay.Next(t.Context(), 3)
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(0))
		assert.Assert(t, d.service.Counts().Reads() < before.Reads()+5, "%v, %v before", d.service.Counts(), before)

		time.AfterFunc(time.Second, func() { d.publish(testBundle(t)) })
		version, _, err = relay.Next(t.Context(), 3)
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(4))
	})
}

// TestOnActivateIsCalledInOrder offers many versions concurrently.
func TestOnActivateIsCalledInOrder(t *testing.T) {
	d := newDeployment(t)
	relay := newFollower(d)
	proofs := make(map[uint64][]byte)
	for range 10 {
		d.publish(testBundle(t))
		version, proof, err := relay.Head(t.Context())
		assert.NilError(t, err)
		proofs[version] = proof
	}
	for range 20 {
		highest := uint64(0) // accessed by OnActivate only
		node := bundle.NewFollower(bundle.FollowerConfig{Roots: rootTrust(), OnActivate: func(index *bundle.Index) {
			assert.Check(t, index.Bundle.Version > highest)
			highest = index.Bundle.Version
		}})
		var group sync.WaitGroup
		for version, proof := range proofs {
			group.Go(func() { node.Offer(version, proof) })
		}
		group.Wait()
		assert.Equal(t, highest, uint64(10))
	}
}

// TestProofSince checks that nodes that are a few versions behind receive only the
// changes.
func TestProofSince(t *testing.T) {
	d := newDeployment(t)
	d.publish(testBundle(t))
	relay := newFollower(d)
	nodes := []*bundle.Follower{newFollower(d)} // the first has no version
	forward := func(to *bundle.Follower) int {
		version, proof, err := relay.ProofSince(to.ActiveVersion())
		assert.NilError(t, err)
		to.Offer(version, proof)
		assert.Equal(t, to.ActiveVersion(), relay.ActiveVersion())
		return len(proof)
	}
	for i := range 8 {
		b := testBundle(t)
		b.Workspaces[0].Rate = float64(i + 1)
		if i > 4 {
			b.Operators = b.Operators[:2]
		}
		d.publish(b)
		version, whole, err := relay.Head(t.Context())
		assert.NilError(t, err)
		relay.Offer(version, whole)
		node := newFollower(d)
		node.Offer(version, whole)
		nodes = append(nodes, node)
	}
	first := forward(nodes[0])
	for _, node := range nodes[1:8] {
		size := forward(node)
		assert.Assert(t, size < first, "%d bytes; the full proof has %d", size, first)
	}
	version, proof, err := relay.ProofSince(relay.ActiveVersion())
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(0))
	assert.Equal(t, len(proof), 0)
}

// FuzzVerify offers bytes that a peer may send. Only the signed version may become active.
func FuzzVerify(f *testing.F) {
	service := fake.New(fake.Config{})
	store := bundle.NewStore(bundle.StoreConfig{Client: service})
	_, err := store.Publish(f.Context(), bundle.ProposeRequest{Bundle: testBundle(f)}, testSigner("ndapewa"), testSigner("tuyeni"))
	assert.NilError(f, err)
	config := bundle.FollowerConfig{Client: service, Roots: rootTrust()}
	_, proof, err := bundle.NewFollower(config).Head(f.Context())
	assert.NilError(f, err)
	f.Add(uint64(1), proof)
	f.Add(uint64(2), proof)
	f.Add(uint64(1), []byte(`[{"header":{"version":1},"delta":{"changed":{"site":null}}}]`))
	f.Add(uint64(1), []byte{0x1f, 0x8b, 8})
	f.Fuzz(func(t *testing.T, version uint64, proof []byte) {
		node := bundle.NewFollower(config)
		verified := node.Verify(version, proof) == nil
		node.Offer(version, proof)
		assert.Equal(t, verified, node.ActiveVersion() != 0)
		if verified {
			assert.Equal(t, len(node.Index().Bundle.Workspaces), 8)
		}
	})
}
