package roster

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/peer"
	"auburngap/peer/peerpb"
)

// syncStart is a process that starts at a site, and the other nodes that it may ask.
type syncStart struct {
	follower *Follower
	mu       sync.Mutex
	views    []View
	queries  int
}

// newSyncStart returns a follower of vm-0 whose first list names the other nodes.
// Each of those answers a sync as reply does.
func newSyncStart(t *testing.T, others int, firstStart bool, reply func(ctx context.Context, address netip.AddrPort) (*peerpb.SyncReply, error)) *syncStart {
	s := &syncStart{}
	startedAt := time.Now()
	s.follower = NewFollower(FollowerConfig{
		Client: fake.New(fake.Config{}),
		VM:     "vm-0", Zone: "z", MemberPrefix: "online/", FirstStart: firstStart,
		CompareOthers: compareVersions,
		Query: func(ctx context.Context, address netip.AddrPort, _ peer.Kind, _, answer proto.Message) error {
			s.mu.Lock()
			s.queries++
			s.mu.Unlock()
			got, err := reply(ctx, address)
			if err == nil {
				proto.Merge(answer, got)
			}
			return err
		},
		OnChange: func(view View) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.views = append(s.views, view)
		},
		OnMalformed: func(key string, err error) { t.Error(key, err) },
		Logger:      zap.NewNop(),
		Now:         func() time.Duration { return time.Since(startedAt) },
	})
	go s.follower.syncUntil(t.Context())
	s.follower.apply(Source{}, Delta{Whole: true, Revision: 100, Entries: syncEntries(others)}, 0)
	return s
}

func syncEntries(others int) []kv.Entry {
	entries := []kv.Entry{{Key: configKey, Value: []byte("1"), Revision: 1}}
	for i := 1; i <= others; i++ {
		value := `{"vm":"` + vmName(i) + `","zone":"z","address":"` + vmAddress(i).String() + `","incarnation":"1"}`
		entries = append(entries, kv.Entry{Key: "online/" + vmName(i), Value: []byte(value), Revision: kv.Revision(i + 2)})
	}
	return entries
}

// latest returns the last view and the number of queries.
func (s *syncStart) latest() (View, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.views[len(s.views)-1], s.queries
}

// TestSyncEnds guards against a process that believes a list of the service without having
// asked others, and against one that waits for others where nobody can tell more.
func TestSyncEnds(t *testing.T) {
	settled := func(context.Context, netip.AddrPort) (*peerpb.SyncReply, error) {
		time.Sleep(roundTrip)
		return &peerpb.SyncReply{}, nil
	}
	unsettled := func(context.Context, netip.AddrPort) (*peerpb.SyncReply, error) {
		time.Sleep(roundTrip)
		return &peerpb.SyncReply{Unsettled: true, ConfirmedAgeMicros: -1}, nil
	}
	silent := func(ctx context.Context, _ netip.AddrPort) (*peerpb.SyncReply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	refused := func(context.Context, netip.AddrPort) (*peerpb.SyncReply, error) {
		return nil, peer.ErrUnreachable.New("refused")
	}
	unknownKind := func(context.Context, netip.AddrPort) (*peerpb.SyncReply, error) {
		time.Sleep(roundTrip)
		return nil, peer.ErrBroken.New("EOF")
	}
	oneSettled := func(ctx context.Context, address netip.AddrPort) (*peerpb.SyncReply, error) {
		if address == vmAddress(3) {
			return settled(ctx, address)
		}
		return silent(ctx, address)
	}
	cases := []struct {
		name       string
		others     int
		firstStart bool
		reply      func(context.Context, netip.AddrPort) (*peerpb.SyncReply, error)
		// from and to bound the time until the view is settled.
		from, to time.Duration
	}{
		{"the only node of a site", 0, false, silent, 0, 0},
		{"a site that starts for the first time", 9, true, silent, 0, 0},
		{"others answer", 9, false, settled, roundTrip, roundTrip},
		{"one of the others answers", 9, false, oneSettled, roundTrip, time.Second},
		{"all have just started", 9, false, unsettled, 3 * roundTrip, 500 * time.Millisecond},
		{"all are of an earlier version", 9, false, unknownKind, 3 * roundTrip, 500 * time.Millisecond},
		{"no other node answers", 9, false, silent, syncTimeout, syncTimeout + syncQueryTimeout + syncPause},
		{"no other node runs", 9, false, refused, syncTimeout, syncTimeout + syncPause},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSyncStart(t, c.others, c.firstStart, c.reply)
				startedAt := time.Now()
				for {
					synctest.Wait()
					view, _ := s.latest()
					took := time.Since(startedAt)
					if view.Settled {
						assert.Assert(t, took >= c.from && took <= c.to, "settled after %v", took)
						return
					}
					assert.Assert(t, took <= c.to, "not settled after %v", took)
					time.Sleep(time.Millisecond)
				}
			})
		})
	}
}

// TestSyncTellsDepartures guards against a departure that is known to another node and not
// to the process that starts on the VM, nor to one that starts elsewhere and is asked later.
func TestSyncTellsDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := []Departure{
			{VM: "vm-0", Instance: "i-0", Started: time.UnixMilli(1000)},
			{VM: "vm-7", Instance: "i-7"},
		}
		s := newSyncStart(t, 3, false, func(context.Context, netip.AddrPort) (*peerpb.SyncReply, error) {
			return &peerpb.SyncReply{Departures: departuresToMessage(known)}, nil
		})
		synctest.Wait()
		view, queries := s.latest()
		assert.Assert(t, view.Settled)
		assert.DeepEqual(t, view.Departed, known[:1])
		assert.Equal(t, queries, 3)
		reply := s.follower.AnswerSync("vm-7", &peerpb.SyncQuery{})
		assert.DeepEqual(t, departuresFromMessage(reply.GetDepartures()), known)
	})
}

// TestDrainingMemberIsDeparted guards against a server that has left and is in use again
// once the service has lost the entry that said so: every node that had read it tells.
func TestDrainingMemberIsDeparted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSyncStart(t, 3, true, nil)
		draining := `{"vm":"vm-2","zone":"z","address":"10.0.0.1:7002","incarnation":"1","sequence":1,"backend":{"service":"s","instance":"i-2","slots":1,"draining":true,"started":"1970-01-01T00:00:01Z"}}`
		s.follower.apply(Source{}, Delta{Revision: 101, Entries: []kv.Entry{{Key: "online/vm-2", Value: []byte(draining), Revision: 101}}}, 0)
		s.follower.apply(Source{}, Delta{Revision: 102, Entries: []kv.Entry{removed("online/vm-2", 102)}}, 0)
		reply := s.follower.AnswerSync("vm-2", &peerpb.SyncQuery{})
		assert.DeepEqual(t, departuresFromMessage(reply.GetDepartures()), []Departure{{VM: "vm-2", Instance: "i-2", Started: time.UnixMilli(1000)}})
	})
}

// TestSyncRecoversConfiguration guards against a configuration that the service has lost and
// that a node which starts doesn't have: others know it, whatever revision and era their
// entry has. Nothing counts as confirmed before, and no older or equal entry is taken.
func TestSyncRecoversConfiguration(t *testing.T) {
	cases := []struct {
		name   string
		entry  kv.Entry
		config string
	}{
		{"newer, of a later revision", kv.Entry{Key: configKey, Value: []byte("2"), Revision: 150}, "2"},
		{"newer, of an earlier revision", kv.Entry{Key: configKey, Value: []byte("2"), Revision: 1}, "2"},
		{"newer, of a later era", kv.Entry{Key: configKey, Value: []byte("2"), Revision: kv.RevisionIn(1, 1)}, "2"},
		{"older, of a later revision", kv.Entry{Key: configKey, Value: []byte("0"), Revision: 150}, "1"},
		{"older, of a later era", kv.Entry{Key: configKey, Value: []byte("0"), Revision: kv.RevisionIn(1, 1)}, "1"},
		{"an entry of a node", kv.Entry{Key: "online/vm-1", Value: []byte("9"), Revision: 150}, "1"},
		{"a removal", kv.Entry{Key: configKey, Revision: 150, Deleted: true}, "1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSyncStart(t, 3, false, func(context.Context, netip.AddrPort) (*peerpb.SyncReply, error) {
					time.Sleep(roundTrip)
					return &peerpb.SyncReply{Entries: entriesToMessage([]kv.Entry{c.entry})}, nil
				})
				_, isConfirmed := s.follower.ConfirmedAt()
				assert.Assert(t, !isConfirmed, "confirmed before other nodes were asked")
				time.Sleep(2 * roundTrip)
				synctest.Wait()
				_, isConfirmed = s.follower.ConfirmedAt()
				assert.Assert(t, isConfirmed)
				view, _ := s.latest()
				config, _ := view.Mirror.Entry(configKey)
				assert.Equal(t, string(config.Value), c.config)
				member, _ := view.Mirror.Entry("online/vm-1")
				assert.Equal(t, member.Revision, kv.Revision(3), "the entry of a node is the list's")
				reply := s.follower.AnswerSync("vm-2", &peerpb.SyncQuery{})
				assert.DeepEqual(t, entriesFromMessage(reply.GetEntries()), []kv.Entry{config})
				reply = s.follower.AnswerSync("vm-2", &peerpb.SyncQuery{Revision: 149})
				assert.Equal(t, len(reply.GetEntries()) > 0, config.Revision > 149, "an entry of the era that the list has is sent")
			})
		})
	}
}

// TestNewEraConfirmsOnceSettled guards against a list of a new era that confirms a
// configuration from before a change which other nodes know: until they were asked, the view
// counts as confirmed when it last was in the era before.
func TestNewEraConfirmsOnceSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var isSilent atomic.Bool
		var era atomic.Uint32
		s := newSyncStart(t, 3, false, func(ctx context.Context, _ netip.AddrPort) (*peerpb.SyncReply, error) {
			if isSilent.Load() {
				<-ctx.Done()
			}
			return &peerpb.SyncReply{Revision: uint64(kv.RevisionIn(kv.Era(era.Load()), 1))}, ctx.Err()
		})
		read := func(revision kv.Revision) {
			s.follower.apply(Source{}, Delta{Whole: true, Revision: revision, Entries: syncEntries(3)}, s.follower.config.Now())
			synctest.Wait()
		}
		check := func(want time.Duration) {
			t.Helper()
			at, ok := s.follower.ConfirmedAt()
			assert.Assert(t, ok)
			assert.Equal(t, at, want)
		}
		time.Sleep(time.Second)
		read(101)
		check(time.Second)
		time.Sleep(time.Second)
		isSilent.Store(true)
		read(kv.RevisionIn(1, 50))
		check(time.Second)
		time.Sleep(time.Second)
		read(kv.RevisionIn(1, 51))
		check(time.Second)
		time.Sleep(syncTimeout)
		check(3 * time.Second)
		isSilent.Store(false)
		era.Store(2)
		read(kv.RevisionIn(2, 50))
		check(3*time.Second + syncTimeout)
	})
}

// TestReplySettlesView guards against a node that is itself behind and settles the view of
// one that starts.
func TestReplySettlesView(t *testing.T) {
	early, late := kv.RevisionIn(1, 70), kv.RevisionIn(2, 60)
	cases := []struct {
		name      string
		revision  kv.Revision
		unsettled bool
		age       time.Duration
		want      bool
	}{
		{"settled in the same era", late, false, 0, true},
		{"settled in the same era, cut off since", late, false, time.Hour, true},
		{"entered the same era just now", late, true, time.Second, true},
		{"entered the same era after a cut", late, true, 4 * time.Second, false},
		{"has just started", late, true, -1, false},
		{"has not heard of the era", early, false, time.Second, true},
		{"has not heard of the era, cut off", early, false, 4 * time.Second, false},
		{"has not heard of the era, has just started", early, true, -1, false},
		{"is an era ahead", kv.RevisionIn(3, 1), true, -1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFollower(FollowerConfig{Client: fake.New(fake.Config{}), VM: "vm-0", Zone: "z", OnChange: func(View) {}, Logger: zap.NewNop()})
			f.apply(Source{}, Delta{Whole: true, Revision: kv.RevisionIn(2, 50)}, f.config.Now())
			reply := &peerpb.SyncReply{Revision: uint64(c.revision), Unsettled: c.unsettled, ConfirmedAgeMicros: c.age.Microseconds()}
			if c.age < 0 {
				reply.ConfirmedAgeMicros = -1
			}
			assert.Equal(t, f.isSettledBy(reply), c.want)
		})
	}
}

// TestRestartIsNoFirstStart guards against a process that believes the first list because
// its settings still say that the site starts for the first time, though an earlier process
// of its VM is listed.
func TestRestartIsNoFirstStart(t *testing.T) {
	f := NewFollower(FollowerConfig{
		Client: fake.New(fake.Config{}), VM: "vm-1", Zone: "z", MemberPrefix: "online/", FirstStart: true,
		OnChange: func(View) {}, Logger: zap.NewNop(),
	})
	f.apply(Source{}, Delta{Whole: true, Revision: 100, Entries: syncEntries(3)}, f.config.Now())
	_, isConfirmed := f.ConfirmedAt()
	assert.Assert(t, !isConfirmed)
}

// TestSyncGoesOn guards against a node that believed its list, as no other node answered, and
// never learns what they know once they answer again; and against others that take such a
// node's word for theirs.
func TestSyncGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var answers atomic.Bool
		s := newSyncStart(t, 3, false, func(ctx context.Context, _ netip.AddrPort) (*peerpb.SyncReply, error) {
			if !answers.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			newer := kv.Entry{Key: configKey, Value: []byte("2"), Revision: 1}
			return &peerpb.SyncReply{Entries: entriesToMessage([]kv.Entry{newer})}, nil
		})
		time.Sleep(2 * syncTimeout)
		synctest.Wait()
		view, _ := s.latest()
		assert.Assert(t, view.Settled, "the list is believed")
		assert.Assert(t, s.follower.AnswerSync("vm-1", &peerpb.SyncQuery{}).GetUnsettled())
		answers.Store(true)
		time.Sleep(syncQueryTimeout + syncRetryPause)
		synctest.Wait()
		view, _ = s.latest()
		config, _ := view.Mirror.Entry(configKey)
		assert.Equal(t, string(config.Value), "2")
		assert.Assert(t, !s.follower.AnswerSync("vm-1", &peerpb.SyncQuery{}).GetUnsettled())
	})
}
