package fake_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/platform"
	platformfake "auburngap/platform/fake"
)

// clock is a manual clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

type fixture struct {
	client  kv.Client
	service *fake.Service
	clock   *clock
}

func newFixture() *fixture {
	c := &clock{now: time.Unix(1000, 0)}
	service := fake.New(fake.Config{Now: c.Now, LongestWait: 200 * time.Millisecond})
	return &fixture{client: service, service: service, clock: c}
}

// serve starts the fake and returns its address.
func serve(t *testing.T, service *fake.Service) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- fake.Serve(ctx, service, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

func overHTTP(t *testing.T) *fixture {
	b := newFixture()
	client := kv.NewHTTPClient(kv.HTTPConfig{Address: serve(t, b.service), Timeout: 5 * time.Second})
	t.Cleanup(client.Close)
	b.client = client
	return b
}

// onPlatform returns a fixture that uses the protocol of the users' platform.
func onPlatform(t *testing.T) *fixture {
	b := newFixture()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = platformfake.Serve(t.Context(), b.service, listener) }()
	b.client = platform.NewStore(platform.StoreConfig{
		Address:   netip.MustParseAddrPort(listener.Addr().String()),
		Timeout:   5 * time.Second,
		WatchWait: 200 * time.Millisecond,
	})
	return b
}

var conformance = []struct {
	name string
	run  func(*testing.T, *fixture)
}{
	{"get of an absent key", testAbsent},
	{"compare-and-swap", testCompareAndSwap},
	{"delete", testDelete},
	{"value too large", testTooLarge},
	{"list", testList},
	{"watch delivers changes after a revision", testWatch},
	{"watch ends after the longest wait", testWatchWait},
	{"watch wakes on a change", testWatchWakes},
	{"lease expires with its entries", testLease},
	{"lease revoked", testRevoke},
	{"down", testDown},
	{"answer lost after the write took effect", testLostAnswer},
	{"request lost before the write took effect", testLostRequest},
	{"slow beyond the deadline", testSlow},
	{"cancelled watch", testCancelledWatch},
	{"counts", testCounts},
}

func TestConformance(t *testing.T) {
	for _, c := range conformance {
		t.Run("in process/"+c.name, func(t *testing.T) { c.run(t, newFixture()) })
		t.Run("over HTTP/"+c.name, func(t *testing.T) { c.run(t, overHTTP(t)) })
		t.Run("users' platform/"+c.name, func(t *testing.T) { c.run(t, onPlatform(t)) })
	}
}

func put(t *testing.T, b *fixture, key, value string, ifRevision kv.Revision) kv.Entry {
	t.Helper()
	entry, err := b.client.Put(t.Context(), kv.PutRequest{Key: key, Value: []byte(value), IfRevision: ifRevision})
	assert.NilError(t, err)
	return entry
}

func assertType(t *testing.T, err error, want *errorx.Type) {
	t.Helper()
	assert.Assert(t, errorx.IsOfType(err, want), "got %v", err)
}

func testAbsent(t *testing.T, b *fixture) {
	_, err := b.client.Get(t.Context(), "a")
	assertType(t, err, kv.ErrNotFound)
}

func testCompareAndSwap(t *testing.T, b *fixture) {
	first := put(t, b, "a", "1", kv.Absent)
	_, err := b.client.Put(t.Context(), kv.PutRequest{Key: "a", Value: []byte("2")})
	assertType(t, err, kv.ErrConflict)
	second := put(t, b, "a", "2", first.Revision)
	_, err = b.client.Put(t.Context(), kv.PutRequest{Key: "a", IfRevision: first.Revision})
	assertType(t, err, kv.ErrConflict)
	got, err := b.client.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, second)
	assert.Equal(t, string(got.Value), "2")
}

func testDelete(t *testing.T, b *fixture) {
	entry := put(t, b, "a", "1", kv.Absent)
	_, err := b.client.Put(t.Context(), kv.PutRequest{Key: "a", IfRevision: entry.Revision, Delete: true})
	assert.NilError(t, err)
	testAbsent(t, b)
	changes, _, err := b.client.Watch(t.Context(), "a", entry.Revision)
	assert.NilError(t, err)
	assert.Assert(t, changes[0].Deleted)
	put(t, b, "a", "again", kv.Absent)
}

func testTooLarge(t *testing.T, b *fixture) {
	put(t, b, "largest", strings.Repeat("x", kv.MaxValueBytes), kv.Absent)
	value := []byte(strings.Repeat("x", kv.MaxValueBytes+1))
	_, err := b.client.Put(t.Context(), kv.PutRequest{Key: "a", Value: value})
	assertType(t, err, kv.ErrInvalid)
}

func testList(t *testing.T, b *fixture) {
	put(t, b, "p/b", "2", kv.Absent)
	put(t, b, "p/a", "1", kv.Absent)
	last := put(t, b, "q", "3", kv.Absent)
	entries, revision, err := b.client.List(t.Context(), "p/")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0].Key, "p/a")
	assert.Equal(t, revision, last.Revision)
}

func testWatch(t *testing.T, b *fixture) {
	first := put(t, b, "p/a", "1", kv.Absent)
	put(t, b, "q", "other", kv.Absent)
	second := put(t, b, "p/b", "2", kv.Absent)
	changes, revision, err := b.client.Watch(t.Context(), "p/", first.Revision)
	assert.NilError(t, err)
	assert.DeepEqual(t, changes, []kv.Entry{second})
	assert.Equal(t, revision, second.Revision)
}

func testWatchWait(t *testing.T, b *fixture) {
	entry := put(t, b, "p/a", "1", kv.Absent)
	changes, revision, err := b.client.Watch(t.Context(), "p/", entry.Revision)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, revision, entry.Revision)
}

func testWatchWakes(t *testing.T, b *fixture) {
	woken := make(chan int, 1)
	go func() {
		var changes []kv.Entry
		var err error
		for len(changes) == 0 && err == nil {
			changes, _, err = b.client.Watch(t.Context(), "p/", kv.Absent)
		}
		woken <- len(changes)
	}()
	put(t, b, "p/a", "1", kv.Absent)
	assert.Equal(t, <-woken, 1)
}

func testLease(t *testing.T, b *fixture) {
	lease, err := b.client.Grant(t.Context(), 10*time.Second)
	assert.NilError(t, err)
	_, err = b.client.Put(t.Context(), kv.PutRequest{Key: "l/a", Lease: lease})
	assert.NilError(t, err)
	b.clock.advance(9 * time.Second)
	assert.NilError(t, b.client.Renew(t.Context(), lease))
	b.clock.advance(9 * time.Second)
	entry, err := b.client.Get(t.Context(), "l/a")
	assert.NilError(t, err)
	b.clock.advance(time.Second)
	changes, _, err := b.client.Watch(t.Context(), "l/", entry.Revision)
	assert.NilError(t, err)
	assert.Assert(t, changes[0].Deleted)
	assertType(t, b.client.Renew(t.Context(), lease), kv.ErrNotFound)
	_, err = b.client.Put(t.Context(), kv.PutRequest{Key: "l/a", Lease: lease})
	assertType(t, err, kv.ErrNotFound)
}

func testRevoke(t *testing.T, b *fixture) {
	lease, err := b.client.Grant(t.Context(), time.Second)
	assert.NilError(t, err)
	_, err = b.client.Put(t.Context(), kv.PutRequest{Key: "a", Lease: lease})
	assert.NilError(t, err)
	assert.NilError(t, b.client.Revoke(t.Context(), lease))
	testAbsent(t, b)
}

func testDown(t *testing.T, b *fixture) {
	entry := put(t, b, "a", "1", kv.Absent)
	b.service.SetFaults(fake.Faults{Down: true})
	_, err := b.client.Get(t.Context(), "a")
	assertType(t, err, kv.ErrUnavailable)
	_, _, err = b.client.Watch(t.Context(), "a", entry.Revision)
	assertType(t, err, kv.ErrUnavailable)
	b.service.SetFaults(fake.Faults{})
	_, err = b.client.Get(t.Context(), "a")
	assert.NilError(t, err)
}

func testLostAnswer(t *testing.T, b *fixture) {
	b.service.SetFaults(fake.Faults{LoseAnswers: 1, LosePrefix: "a"})
	put(t, b, "other", "1", kv.Absent)
	_, err := b.client.Put(t.Context(), kv.PutRequest{Key: "a", Value: []byte("1")})
	assertType(t, err, kv.ErrUnavailable)
	got, err := b.client.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "1")
	put(t, b, "a", "2", got.Revision)
}

func testLostRequest(t *testing.T, b *fixture) {
	b.service.SetFaults(fake.Faults{LoseRequests: 1})
	_, err := b.client.Put(t.Context(), kv.PutRequest{Key: "a"})
	assertType(t, err, kv.ErrUnavailable)
	testAbsent(t, b)
}

func testSlow(t *testing.T, b *fixture) {
	b.service.SetFaults(fake.Faults{DelayMicros: (100 * time.Millisecond).Microseconds()})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := b.client.Get(ctx, "a")
	assertType(t, err, kv.ErrUnavailable)
	testAbsent(t, b)
}

func testCancelledWatch(t *testing.T, b *fixture) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := b.client.Watch(ctx, "a", kv.Absent)
	assertType(t, err, kv.ErrUnavailable)
}

func testCounts(t *testing.T, b *fixture) {
	entry := put(t, b, "a", "1", kv.Absent)
	_, _, err := b.client.Watch(t.Context(), "a", entry.Revision) // waits
	assert.NilError(t, err)
	_, _, err = b.client.List(t.Context(), "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, b.service.Counts(), fake.Counts{Put: 1, Watch: 1, List: 1})
	assert.Equal(t, b.service.Counts().Reads(), 2)
	assert.Equal(t, b.service.Counts().Writes(), 1)
}

func TestAdmin(t *testing.T) {
	b := newFixture()
	admin := fake.Admin{Address: serve(t, b.service)}
	b.client = kv.NewHTTPClient(kv.HTTPConfig{Address: admin.Address})
	lease, err := b.client.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	_, err = b.client.Put(t.Context(), kv.PutRequest{Key: "a", Lease: lease})
	assert.NilError(t, err)
	assert.NilError(t, admin.Lapse(t.Context(), fake.LapseRequest{Prefix: "a"}))
	testAbsent(t, b)
	assert.NilError(t, admin.SetFaults(t.Context(), fake.Faults{Down: true}))
	_, err = b.client.Get(t.Context(), "a")
	assertType(t, err, kv.ErrUnavailable)
	counts, err := admin.Counts(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, counts, fake.Counts{Get: 2, Put: 1, Grant: 1})
	peak, err := admin.Peak(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, peak, fake.Peak{Reads: 2, Writes: 2})
}

func TestPeak(t *testing.T) {
	b := newFixture()
	for _, calls := range []int{3, 5, 2} {
		for range calls {
			testAbsent(t, b)
		}
		b.clock.advance(time.Second)
	}
	assert.DeepEqual(t, b.service.Peak(), fake.Peak{Reads: 5})
	assert.Equal(t, b.service.Counts().Get, 10)
}
