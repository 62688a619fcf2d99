package roster

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	kvfake "auburngap/kv/fake"
)

const (
	ownKey   = "online/vm-1"
	otherKey = "online/vm-2"
	// eraLease is the time to live of the leases of TestPublisherEntersEra.
	eraLease = time.Second
	// maxRewriteTime is the longest time from a new era until the member is written again.
	maxRewriteTime = time.Second
)

// TestPublisherEntersEra guards against a node that believes itself listed after the service
// came back from a copy, while its entry is gone or an older one, or its lease is another
// node's.
func TestPublisherEntersEra(t *testing.T) {
	cases := []struct {
		name string
		// published is what is written before the copy, besides what follows it.
		published bool
		// meanwhile is done by others in the new era, before the publisher sees it.
		meanwhile func(t *testing.T, service *kvfake.Service)
	}{
		{name: "the copy lacks the entry"},
		{name: "the copy has an older entry", published: true},
		{
			name: "the lease is another node's",
			meanwhile: func(t *testing.T, service *kvfake.Service) {
				lease, err := service.Grant(t.Context(), eraLease)
				assert.NilError(t, err)
				_, err = service.Put(t.Context(), kv.PutRequest{Key: otherKey, Lease: lease})
				assert.NilError(t, err)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			service := kvfake.New(kvfake.Config{})
			publisher := startPublisher(t, service, nil)
			member := Member{VM: "vm-1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: "1"}
			publish := func() {
				publisher.Set(member)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				assert.Assert(t, publisher.WaitConfirmed(ctx))
			}
			if c.published {
				publish()
			}
			saved := service.Copy()
			member.Leaving = true
			publish()
			before := publishedMember(t, service)

			service.Restore(saved)
			if c.meanwhile != nil {
				c.meanwhile(t, service)
			}
			restoredAt := time.Now()
			for !isLeaving(service) {
				assert.Assert(t, time.Since(restoredAt) < maxRewriteTime, "not written again")
				time.Sleep(5 * time.Millisecond)
			}
			assert.Assert(t, publishedMember(t, service).Sequence > before.Sequence)
			// Each keeps its own lease: the other node, which doesn't renew its own, goes.
			time.Sleep(2 * eraLease)
			assert.Assert(t, isLeaving(service), "its lease has ended")
			_, err := service.Get(t.Context(), otherKey)
			assert.ErrorContains(t, err, "no key", "another node's lease is renewed")
		})
	}
}

// TestRenewInEra guards against a lease of another node being renewed for one of an earlier
// era that had its ID.
func TestRenewInEra(t *testing.T) {
	service := kvfake.New(kvfake.Config{})
	saved := service.Copy()
	lease, err := service.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	renew := func(era kv.Era) error { return RenewInEra(t.Context(), service, era, lease) }
	assert.NilError(t, renew(0))
	assert.Assert(t, errorx.IsOfType(renew(1), kv.ErrUnavailable), "a later era is known to the node that asks")

	service.Restore(saved)
	again, err := service.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, again, lease)
	renewals := service.Counts().Renew
	assert.Assert(t, errorx.IsOfType(renew(0), kv.ErrNotFound))
	assert.Equal(t, service.Counts().Renew, renewals, "the other lease was renewed")
	assert.NilError(t, renew(1))
}

// deafClient knows no era but those that it has seen in reads and writes of its own.
type deafClient struct {
	kv.Client
	seen atomic.Uint32
}

func (c *deafClient) Era() kv.Era { return kv.Era(c.seen.Load()) }

func (c *deafClient) Get(ctx context.Context, key string) (kv.Entry, error) {
	defer func() { c.seen.Store(uint32(c.Client.Era())) }()
	return c.Client.Get(ctx, key)
}

// TestViewNamesEra guards against a node whose view is of a new era with an older entry of
// the node, which it replaces only after its next renewal.
func TestViewNamesEra(t *testing.T) {
	service := kvfake.New(kvfake.Config{})
	publisher := startPublisher(t, &deafClient{Client: service}, func(c *PublisherConfig) { c.Lease = time.Minute })
	member := Member{VM: "vm-1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: "1"}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	publisher.Set(member)
	assert.Assert(t, publisher.WaitConfirmed(ctx))
	saved := service.Copy()
	member.Leaving = true
	publisher.Set(member)
	assert.Assert(t, publisher.WaitConfirmed(ctx))

	service.Restore(saved)
	entries, revision, err := service.List(t.Context(), "online/")
	assert.NilError(t, err)
	mirror := NewMirror("online/", nil)
	mirror.Apply(0, Delta{Whole: true, Revision: revision, Entries: entries})
	publisher.HandleView(View{Mirror: mirror})
	restoredAt := time.Now()
	for !isLeaving(service) {
		assert.Assert(t, time.Since(restoredAt) < maxRewriteTime, "not written again")
		time.Sleep(5 * time.Millisecond)
	}
}

// startPublisher starts a publisher of ownKey whose leases end soon; change may be nil.
func startPublisher(t *testing.T, client kv.Client, change func(*PublisherConfig)) *Publisher {
	config := PublisherConfig{
		Client:       client,
		Key:          ownKey,
		Lease:        eraLease,
		CurrentEntry: func() (kv.Entry, bool) { return kv.Entry{}, false },
		Logger:       zap.NewNop(),
	}
	if change != nil {
		change(&config)
	}
	publisher := NewPublisher(config)
	done := make(chan error, 1)
	ctx, stop := context.WithCancel(t.Context())
	go func() { done <- publisher.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
	return publisher
}

func publishedMember(t *testing.T, service *kvfake.Service) Member {
	t.Helper()
	entry, err := service.Get(t.Context(), ownKey)
	assert.NilError(t, err)
	var member Member
	assert.NilError(t, json.Unmarshal(entry.Value, &member))
	return member
}

func isLeaving(service *kvfake.Service) bool {
	entry, err := service.Get(context.Background(), ownKey)
	var member Member
	return err == nil && json.Unmarshal(entry.Value, &member) == nil && member.Leaving
}

// drillingClient is a client of a service that comes back from a copy just before the first
// write takes effect.
type drillingClient struct {
	*kvfake.Service
	once  sync.Once
	drill func()
}

func (c *drillingClient) Put(ctx context.Context, put kv.PutRequest) (kv.Entry, error) {
	c.once.Do(c.drill)
	return c.Service.Put(ctx, put)
}

// TestPublisherWritesOverDrill guards against a node that goes on with another node's lease:
// its first write, sent before the service came back from a copy, takes effect afterwards, when
// the ID of its lease is that of the other one. So the entry has this ID and is its own.
func TestPublisherWritesOverDrill(t *testing.T) {
	service := kvfake.New(kvfake.Config{})
	saved := service.Copy()
	client := &drillingClient{Service: service, drill: func() {
		service.Restore(saved)
		lease, err := service.Grant(t.Context(), eraLease)
		assert.NilError(t, err)
		_, err = service.Put(t.Context(), kv.PutRequest{Key: otherKey, Lease: lease})
		assert.NilError(t, err)
	}}
	publisher := startPublisher(t, client, nil)
	publisher.Set(Member{VM: "vm-1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: "1"})
	wait, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.Assert(t, publisher.WaitConfirmed(wait))
	time.Sleep(3 * eraLease)
	_, err := service.Get(t.Context(), ownKey)
	assert.NilError(t, err)
	_, err = service.Get(t.Context(), otherKey)
	assert.ErrorContains(t, err, "no key", "another node's lease is renewed")
}

// TestPublisherOfOlderView guards against a live node that stays unlisted because its view is
// still of the earlier era: the revision of its entry there is not that of any entry now.
func TestPublisherOfOlderView(t *testing.T) {
	service := kvfake.New(kvfake.Config{})
	saved := service.Copy()
	var known atomic.Pointer[kv.Entry]
	publisher := startPublisher(t, service, func(c *PublisherConfig) {
		c.CurrentEntry = func() (kv.Entry, bool) {
			if entry := known.Load(); entry != nil {
				return *entry, true
			}
			return kv.Entry{}, false
		}
	})
	publisher.Set(Member{VM: "vm-1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: "1"})
	wait, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.Assert(t, publisher.WaitConfirmed(wait))
	entry, err := service.Get(t.Context(), ownKey)
	assert.NilError(t, err)
	known.Store(&entry)

	service.Restore(saved)
	before := service.Counts()
	time.Sleep(5 * eraLease)
	after := service.Counts()
	t.Logf("%d writes, %d grants, %d reads", after.Put-before.Put, after.Grant-before.Grant, after.Get-before.Get)
	_, err = service.Get(t.Context(), ownKey)
	assert.NilError(t, err)
}

// cutClient is a client of a service that no call of it reaches once it is cut off.
type cutClient struct {
	*kvfake.Service
	isCut atomic.Bool
}

func (c *cutClient) Era() kv.Era {
	if c.isCut.Load() {
		return 0
	}
	return c.Service.Era()
}

func (c *cutClient) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if c.isCut.Load() {
		return 0, kv.ErrUnavailable.New("cut off")
	}
	return c.Service.Grant(ctx, ttl)
}

func (c *cutClient) Renew(ctx context.Context, lease kv.LeaseID) error {
	if c.isCut.Load() {
		return kv.ErrUnavailable.New("cut off")
	}
	return c.Service.Renew(ctx, lease)
}

// TestCutOffPublisherOverDrill guards against a live node that is dropped because the service
// came back from a copy, though the copy has its entry and lease: it is cut off from the
// service, and other nodes no longer renew the lease for it.
func TestCutOffPublisherOverDrill(t *testing.T) {
	service := kvfake.New(kvfake.Config{})
	client := &cutClient{Service: service}
	publisher := startPublisher(t, client, func(c *PublisherConfig) {
		c.Renew = func(ctx context.Context, era kv.Era, lease kv.LeaseID) error {
			return RenewInEra(ctx, service, era, lease) // as another node does
		}
	})
	publisher.Set(Member{VM: "vm-1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: "1"})
	wait, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.Assert(t, publisher.WaitConfirmed(wait))
	client.isCut.Store(true)
	time.Sleep(2 * eraLease)
	_, err := service.Get(t.Context(), ownKey)
	assert.NilError(t, err, "before the service comes back from a copy")
	service.Restore(service.Copy())
	time.Sleep(2 * eraLease)
	_, err = service.Get(t.Context(), ownKey)
	assert.NilError(t, err)
}
