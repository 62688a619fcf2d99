package roster

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	"auburngap/peer/peerpb"
)

func entry(key string, revision kv.Revision) kv.Entry {
	value := fmt.Sprintf(`{"vm":%q,"zone":"z","address":"10.0.0.1:7000","incarnation":"%d"}`, strings.TrimPrefix(key, "online/"), revision)
	return kv.Entry{Key: key, Value: []byte(value), Revision: revision}
}

func removed(key string, revision kv.Revision) kv.Entry {
	return kv.Entry{Key: key, Revision: revision, Deleted: true}
}

// TestMirrorIgnoresOlderEntries applies random, overlapping sections of one history of
// changes, as sources return them whose views are more or less up to date.
func TestMirrorIgnoresOlderEntries(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var history []kv.Entry
		latest := make(map[string]kv.Entry)
		for revision := kv.Revision(1); revision <= 40; revision++ {
			key := fmt.Sprint("online/vm-", random.IntN(4))
			change := entry(key, revision)
			if random.IntN(3) == 0 {
				change = removed(key, revision)
			}
			history = append(history, change)
			latest[key] = change
		}
		mirror, source := NewMirror("online/"), NewMirror("online/")
		at := 0
		for at < len(history) {
			next := min(len(history), at+1+random.IntN(6))
			source.Apply(0, Delta{Revision: kv.Revision(next), Entries: history[at:next]})
			at = next
			if random.IntN(2) == 0 {
				continue
			}
			// A delta after a revision that the mirror already knows.
			since := kv.Revision(random.IntN(int(mirror.Revision()) + 1))
			mirror.Apply(0, source.Since(since))
		}
		mirror.Apply(0, source.Since(mirror.Revision()))
		for key, want := range latest {
			got, ok := mirror.Entry(key)
			assert.Equal(t, ok, !want.Deleted, "seed %d: %s", seed, key)
			if ok {
				assert.Equal(t, got.Revision, want.Revision)
			}
		}
	}
}

// TestLapsedMembersStayListed removes all entries, as after an outage of the
// service: nodes stay listed until they have had time to publish themselves again.
func TestLapsedMembersStayListed(t *testing.T) {
	mirror := NewMirror("online/")
	mirror.Apply(0, Delta{Whole: true, Revision: 2, Entries: []kv.Entry{entry("online/a", 1), entry("online/b", 2)}})
	mirror.Apply(time.Second, Delta{Whole: true, Revision: 9})
	assert.Assert(t, !mirror.Expire(time.Second+lapsedMemberTTL/2))
	members, _ := mirror.Members()
	assert.Equal(t, len(members), 2)
	mirror.Apply(time.Second+lapsedMemberTTL/2, Delta{Revision: 10, Entries: []kv.Entry{entry("online/b", 10)}})
	assert.Assert(t, mirror.Expire(time.Second+lapsedMemberTTL))
	members, _ = mirror.Members()
	assert.Equal(t, len(members), 1)
	assert.Equal(t, members[0].Incarnation, "10")
}

func TestMalformedEntriesAreNotMembers(t *testing.T) {
	mirror := NewMirror("online/")
	mirror.Apply(0, Delta{Whole: true, Revision: 9, Entries: []kv.Entry{
		entry("online/a", 1),
		{Key: "online/b", Value: []byte("{"), Revision: 2},
		{Key: "online/c", Value: []byte(`{"vm":"c"}`), Revision: 3},
		{Key: "other", Value: []byte("{}"), Revision: 4},
		{Key: "online/huge", Value: bytes.Repeat([]byte("9"), 1<<20), Revision: 5},
		{Key: "online/d", Value: entry("online/a", 6).Value, Revision: 6},
	}})
	members, malformed := mirror.Members()
	assert.Equal(t, len(members), 1)
	assert.Equal(t, len(malformed), 4)
	for _, entry := range mirror.Since(0).Entries {
		assert.Assert(t, len(entry.Value) <= maxMemberBytes+1, "%s is kept with %d bytes", entry.Key, len(entry.Value))
	}
}

// TestSources makes sources fail one after the other.
func TestSources(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	member := func(vm, zone string, port uint16) Member {
		return Member{VM: vm, Zone: zone, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)}
	}
	members := []Member{member("a", "near", 1), member("b", "near", 2), member("c", "near", 3), member("d", "far", 4)}
	service := Source{}
	next := func(s *SourceSelector, now time.Duration, members []Member) Source {
		source, ok := s.Next(now, members, false, random)
		assert.Assert(t, ok)
		return source
	}
	node := func(i int) Source { return Source{Node: members[i].Address} }

	reader := NewSourceSelector("a", "near")
	assert.Equal(t, next(reader, 0, nil), service)
	assert.Equal(t, next(reader, 0, members), service)
	reader.Failed(0, service)
	assert.Equal(t, next(reader, 0, members), node(1))
	assert.Equal(t, next(reader, minSourceBackoff, members), service)

	other := NewSourceSelector("c", "near")
	first := next(other, 0, members)
	second := next(other, 0, members)
	assert.Assert(t, first != second, "the readers take turns")
	assert.Assert(t, (first == node(0) || first == node(1)) && (second == node(0) || second == node(1)))
	other.Failed(0, first)
	assert.Equal(t, next(other, 0, members), second)
	assert.Equal(t, next(other, 0, members), second)
	other.Failed(0, second)
	assert.Equal(t, next(other, 0, members), service)
	other.Failed(0, service)
	assert.Equal(t, next(other, 0, members), node(3))
	other.Succeeded(first)
	assert.Equal(t, next(other, 0, members), first)
	other.Failed(0, first)
	other.Failed(0, node(3))
	_, ok := other.Next(0, members, false, random)
	assert.Assert(t, !ok, "a source is returned although all sources have just failed")
}

// unresponsiveClient answers List. A Watch gets no answer until its context ends.
type unresponsiveClient struct {
	kv.Client
	entries []kv.Entry
}

func (c *unresponsiveClient) List(context.Context, string) ([]kv.Entry, kv.Revision, error) {
	return c.entries, 1, nil
}

func (c *unresponsiveClient) Watch(ctx context.Context, _ string, _ kv.Revision) ([]kv.Entry, kv.Revision, error) {
	<-ctx.Done()
	return nil, 0, kv.ErrUnavailable.Wrap(ctx.Err(), "watch")
}

// TestUnresponsiveServiceIsSuspect has a service that stops answering a reader without an
// error. The reader must report its view as suspect as soon as its read is overdue,
// long before the read fails.
func TestUnresponsiveServiceIsSuspect(t *testing.T) {
	follower := NewFollower(FollowerConfig{
		Client:           &unresponsiveClient{entries: []kv.Entry{entry("online/a", 1)}},
		VM:               "a",
		Zone:             "z",
		Prefix:           "o",
		MemberPrefix:     "online/",
		SuspectReadAfter: 300 * time.Millisecond,
		OnChange:         func(View) {},
		OnMalformed:      func(string, error) {},
		Logger:           zap.NewNop(),
	})
	go func() { _ = follower.Run(t.Context()) }()
	query := func() *peerpb.RosterReply {
		return follower.Answer(t.Context(), &peerpb.RosterQuery{WaitMicros: 1})
	}
	for query().GetRevision() == 0 {
		time.Sleep(time.Millisecond)
	}
	readAt := time.Now()
	for !query().GetInDoubt() {
		assert.Assert(t, time.Since(readAt) < time.Second, "an outdated view is not reported as suspect")
		time.Sleep(10 * time.Millisecond)
	}
}

func FuzzDecodeMember(f *testing.F) {
	f.Add(entry("online/a", 1).Value)
	f.Fuzz(func(t *testing.T, value []byte) {
		member, err := decodeMember("online/", kv.Entry{Key: "online/a", Value: value})
		if err == nil {
			assert.Assert(t, member.Address.IsValid() && member.VM == "a")
			return
		}
		assert.Assert(t, len(err.Error()) < 1<<10, "an error of %d bytes", len(err.Error()))
	})
}
