package fake_test

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	"auburngap/kv/fake"
)

// copies are the cases of a service that comes back from a copy of its data.
var copies = []struct {
	name string
	run  func(*testing.T, *fixture)
}{
	{"data of the copy", testCopiedData},
	{"revisions and leases are given out again", testGivenOutAgain},
	{"leases go on with the time that they had left", testCopiedLeases},
	{"watch from a later revision", testWatchOfLaterRevision},
	{"waiting watch is cut", testWatchIsCut},
	{"errors name the era", testErrorsNameEra},
	{"twice from one copy, while the service is down", testRestoredTwice},
	{"from a copy of another service", testForeignCopy},
}

// TestRestore guards against a stand-in that plays a service come back from a copy
// otherwise than the users' platform does: nodes would be tested against the wrong faults.
func TestRestore(t *testing.T) {
	for _, c := range copies {
		t.Run("in process/"+c.name, func(t *testing.T) { c.run(t, newFixture()) })
		t.Run("users' platform/"+c.name, func(t *testing.T) { c.run(t, onPlatform(t)) })
	}
}

// inEra returns an entry as the service has it in a later era.
func inEra(era kv.Era, entry kv.Entry) kv.Entry {
	entry.Revision = kv.RevisionIn(era, entry.Revision.Number())
	return entry
}

func testCopiedData(t *testing.T, b *fixture) {
	changed := put(t, b, "changed", "1", kv.Absent)
	deleted := put(t, b, "deleted", "1", kv.Absent)
	saved := b.service.Copy()
	put(t, b, "changed", "2", changed.Revision)
	_, err := b.client.Put(t.Context(), kv.PutRequest{Key: "deleted", IfRevision: deleted.Revision, Delete: true})
	assert.NilError(t, err)
	put(t, b, "added", "1", kv.Absent)
	b.service.Restore(saved)
	entries, revision, err := b.client.List(t.Context(), "")
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, []kv.Entry{inEra(1, changed), inEra(1, deleted)})
	assert.Equal(t, revision, inEra(1, deleted).Revision)
	assert.Equal(t, b.client.Era(), kv.Era(1))
}

func testGivenOutAgain(t *testing.T, b *fixture) {
	saved := b.service.Copy()
	before := put(t, b, "a", "1", kv.Absent)
	lease, err := b.client.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	b.service.Restore(saved)
	testAbsent(t, b)
	assertType(t, b.client.Renew(t.Context(), lease), kv.ErrNotFound)
	assert.Equal(t, put(t, b, "b", "2", kv.Absent).Revision, inEra(1, before).Revision)
	again, err := b.client.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, again, lease)
}

func testCopiedLeases(t *testing.T, b *fixture) {
	lease, err := b.client.Grant(t.Context(), 10*time.Second)
	assert.NilError(t, err)
	_, err = b.client.Put(t.Context(), kv.PutRequest{Key: "a", Lease: lease})
	assert.NilError(t, err)
	b.clock.advance(4 * time.Second)
	saved := b.service.Copy()
	b.clock.advance(time.Minute)
	testAbsent(t, b)
	b.service.Restore(saved)
	b.clock.advance(5 * time.Second)
	_, err = b.client.Get(t.Context(), "a")
	assert.NilError(t, err)
	b.clock.advance(time.Second)
	testAbsent(t, b)
}

func testWatchOfLaterRevision(t *testing.T, b *fixture) {
	first := put(t, b, "a", "1", kv.Absent)
	saved := b.service.Copy()
	second := put(t, b, "a", "2", first.Revision)
	b.service.Restore(saved)
	_, _, err := b.client.Watch(t.Context(), "a", second.Revision)
	assertType(t, err, kv.ErrCompacted)
	first = inEra(1, first)
	again := put(t, b, "a", "3", first.Revision)
	changes, _, err := b.client.Watch(t.Context(), "a", first.Revision)
	assert.NilError(t, err)
	assert.DeepEqual(t, changes, []kv.Entry{again})
}

func testWatchIsCut(t *testing.T, b *fixture) {
	entry := put(t, b, "a", "1", kv.Absent)
	saved := b.service.Copy()
	waiting := b.service.Counts().Watch
	cut := make(chan error, 1)
	go func() {
		for {
			if _, _, err := b.client.Watch(t.Context(), "a", entry.Revision); err != nil {
				cut <- err
				return
			}
		}
	}()
	for b.service.Counts().Watch == waiting {
		time.Sleep(time.Millisecond)
	}
	b.service.Restore(saved)
	select {
	case err := <-cut:
		assertType(t, err, kv.ErrUnavailable)
	case <-time.After(10 * time.Second): // without a cut, watches go on without an error
		t.Fatal("the watch waits on")
	}
}

func testErrorsNameEra(t *testing.T, b *fixture) {
	entry := put(t, b, "a", "1", kv.Absent)
	saved := b.service.Copy()
	calls := []func() error{
		func() error { _, err := b.client.Get(t.Context(), "absent"); return err },
		func() error { _, _, err := b.client.Watch(t.Context(), "a", entry.Revision+1); return err },
		func() error { _, err := b.client.Put(t.Context(), kv.PutRequest{Key: "a"}); return err },
		func() error { _, err := b.client.Grant(t.Context(), -time.Second); return err },
	}
	for i, want := range []*errorx.Type{kv.ErrNotFound, kv.ErrCompacted, kv.ErrConflict, kv.ErrInvalid} {
		b.service.Restore(saved)
		assertType(t, calls[i](), want)
		assert.Equal(t, b.client.Era(), kv.Era(i+1))
	}
}

func testRestoredTwice(t *testing.T, b *fixture) {
	entry := put(t, b, "a", "1", kv.Absent)
	saved := b.service.Copy()
	for _, value := range []string{"2", "3"} {
		put(t, b, "a", value, entry.Revision)
		b.service.SetFaults(fake.Faults{Down: true})
		b.service.Restore(saved)
		_, err := b.client.Get(t.Context(), "a")
		assertType(t, err, kv.ErrUnavailable)
		b.service.SetFaults(fake.Faults{})
		got, err := b.client.Get(t.Context(), "a")
		assert.NilError(t, err)
		entry = inEra(b.service.Era(), entry)
		assert.DeepEqual(t, got, entry)
	}
	assert.Equal(t, b.client.Era(), kv.Era(2))
}

func testForeignCopy(t *testing.T, b *fixture) {
	first := put(t, b, "a", "1", kv.Absent)
	other := newFixture()
	other.service.Restore(b.service.Copy())
	first = inEra(1, first)
	second := put(t, other, "a", "2", first.Revision)
	b.service.Restore(other.service.Copy())
	got, err := b.client.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, second)
	assert.Equal(t, b.client.Era(), kv.Era(1))
}

// TestRestoreDropsCalls guards against an answer that reaches its caller although the era
// has changed since the call began: it would name data of one era and the other's number.
func TestRestoreDropsCalls(t *testing.T) {
	b := onPlatform(t)
	saved := b.service.Copy()
	b.service.SetFaults(fake.Faults{DelayMicros: (50 * time.Millisecond).Microseconds()})
	failed := make(chan error, 1)
	go func() {
		_, _, err := b.client.List(t.Context(), "")
		failed <- err
	}()
	for b.service.Counts().List == 0 {
		time.Sleep(time.Millisecond)
	}
	b.service.Restore(saved)
	assertType(t, <-failed, kv.ErrUnavailable)
}
