package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/peer"
)

// eraClient is one node's client of the service. It knows an era once a response named it.
type eraClient struct {
	kv.Client
	latest atomic.Uint32
	silent atomic.Bool
}

func (c *eraClient) Era() kv.Era { return kv.Era(c.latest.Load()) }

func (c *eraClient) do(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.silent.Load() {
		<-ctx.Done()
		return kv.ErrUnavailable.New("no answer")
	}
	before := c.Client.Era()
	err := call(ctx)
	sleepUntilDone(ctx, roundTrip)
	if now := c.Client.Era(); before != now || ctx.Err() != nil || err != nil && ctx.Err() != nil {
		return kv.ErrUnavailable.New("no answer")
	}
	if err == nil || !isUnavailable(err) {
		c.latest.Store(max(c.latest.Load(), uint32(before)))
	}
	return err
}

func isUnavailable(err error) bool { return errorx.IsOfType(err, kv.ErrUnavailable) }

func (c *eraClient) List(ctx context.Context, prefix string) (entries []kv.Entry, revision kv.Revision, err error) {
	err = c.do(ctx, time.Second, func(ctx context.Context) error {
		entries, revision, err = c.Client.List(ctx, prefix)
		return err
	})
	return entries, revision, err
}

func (c *eraClient) Watch(ctx context.Context, prefix string, after kv.Revision) (entries []kv.Entry, revision kv.Revision, err error) {
	err = c.do(ctx, watchTimeout, func(ctx context.Context) error {
		entries, revision, err = c.Client.Watch(ctx, prefix, after)
		return err
	})
	return entries, revision, err
}

func (c *eraClient) Get(ctx context.Context, key string) (entry kv.Entry, err error) {
	err = c.do(ctx, time.Second, func(ctx context.Context) error { entry, err = c.Client.Get(ctx, key); return err })
	return entry, err
}

func (c *eraClient) Put(ctx context.Context, put kv.PutRequest) (entry kv.Entry, err error) {
	err = c.do(ctx, time.Second, func(ctx context.Context) error { entry, err = c.Client.Put(ctx, put); return err })
	return entry, err
}

func (c *eraClient) Grant(ctx context.Context, ttl time.Duration) (lease kv.LeaseID, err error) {
	err = c.do(ctx, time.Second, func(ctx context.Context) error { lease, err = c.Client.Grant(ctx, ttl); return err })
	return lease, err
}

func (c *eraClient) Renew(ctx context.Context, lease kv.LeaseID) error {
	return c.do(ctx, time.Second, func(ctx context.Context) error { return c.Client.Renew(ctx, lease) })
}

// TestDrillOfFleet guards against nodes that write their entries again later than 1 s after the
// last node of the zone has heard of the new era, since they read from other nodes and compare
// only the era that the service told themselves. It logs what the service is asked.
func TestDrillOfFleet(t *testing.T) {
	for _, nodes := range []int{20, 100} {
		for _, away := range []time.Duration{0, 700 * time.Millisecond, 1500 * time.Millisecond} {
			for _, c := range []struct{ silentReaders, isLost bool }{{false, false}, {true, false}, {false, true}} {
				t.Run(fmt.Sprintf("%d nodes/away for %v/readers cut off %v/entries lost %v", nodes, away, c.silentReaders, c.isLost), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { drillFleet(t, nodes, away, c.silentReaders, c.isLost) })
				})
			}
		}
	}
}

func drillFleet(t *testing.T, nodes int, away time.Duration, silentReaders, isLost bool) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	service := fake.New(fake.Config{LongestWait: watchWait})
	clients := make([]*eraClient, nodes)
	followers := make([]*Follower, nodes)
	publishers := make([]*Publisher, nodes)
	start := time.Now()
	put := func(key, value string) {
		entry, _ := service.Get(ctx, key)
		_, err := service.Put(ctx, kv.PutRequest{Key: key, Value: []byte(value), IfRevision: entry.Revision})
		assert.NilError(t, err)
	}
	put(configKey, "4")
	empty := service.Copy()
	query := func(ctx context.Context, address netip.AddrPort, _ peer.Kind, message, reply proto.Message) error {
		answer := answerQuery(ctx, followers[int(address.Port())-7000], "", message)
		sleepUntilDone(ctx, roundTrip)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		proto.Merge(reply, answer)
		return nil
	}
	member := func(i int) Member {
		return Member{VM: fmt.Sprintf("vm-%03d", i), Zone: "z", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)), Incarnation: "1"}
	}
	for i := range nodes {
		clients[i] = &eraClient{Client: service}
		key := "online/" + member(i).VM
		followers[i] = NewFollower(FollowerConfig{
			Client: clients[i], Query: query, VM: member(i).VM, Zone: "z", Prefix: "o", MemberPrefix: "online/",
			CompareOthers: compareVersions, SuspectReadAfter: watchWait + 300*time.Millisecond,
			OnChange: func(v View) {
				if publishers[i] != nil {
					publishers[i].HandleView(v)
				}
			},
			OnMalformed: func(string, error) {}, Logger: zap.NewNop(),
			Now: func() time.Duration { return time.Since(start) + time.Second },
		})
		publishers[i] = NewPublisher(PublisherConfig{
			Client: clients[i], Key: key, Logger: zap.NewNop(),
			CurrentEntry: func() (kv.Entry, bool) { return followers[i].Entry(key) },
		})
		publishers[i].Set(member(i))
		go func() {
			time.Sleep(rand.N(2 * time.Second))
			go func() { _ = publishers[i].Run(ctx) }()
			_ = followers[i].Run(ctx)
		}()
	}
	time.Sleep(15 * time.Second)
	calm := service.Counts()
	time.Sleep(3 * time.Second)
	calmAfter := service.Counts()
	saved := service.Copy()
	if isLost {
		saved = empty
	}
	for i := range nodes { // the copy lacks what all have written since
		m := member(i)
		m.Leaving = false
		m.Backend = &Backend{Service: "s", Slots: 1}
		publishers[i].Set(m)
	}
	put(configKey, "5")
	time.Sleep(5 * time.Second)
	if silentReaders {
		clients[0].silent.Store(true)
		clients[1].silent.Store(true)
	}
	if away > 0 {
		service.SetFaults(fake.Faults{Down: true})
		time.Sleep(away)
	}
	service.Restore(saved)
	service.SetFaults(fake.Faults{})
	put(configKey, "6")
	before, restoredAt := service.Counts(), time.Now()
	var configAt, writtenAt time.Duration
	var reads1 int
	fewest := nodes
	for time.Since(restoredAt) < 8*time.Second {
		if configAt == 0 {
			all := true
			for _, f := range followers {
				if entry, _ := f.Entry(configKey); string(entry.Value) != "6" {
					all = false
				}
			}
			if all {
				configAt = time.Since(restoredAt)
			}
		}
		for _, f := range followers[2:] {
			fewest = min(fewest, len(f.Members()))
		}
		if writtenAt == 0 {
			entries, _, _ := service.List(ctx, "online/")
			n := 0
			for _, entry := range entries {
				var m Member
				if json.Unmarshal(entry.Value, &m) == nil && m.Backend != nil {
					n++
				}
			}
			if n == nodes || silentReaders && n == nodes-2 {
				writtenAt = time.Since(restoredAt)
			}
			reads1++
		}
		time.Sleep(20 * time.Millisecond)
	}
	after := service.Counts()
	t.Logf("all have version 6 after %v, all wrote again after %v, at least %d listed; in 8 s: %d lists, %d watches (calm 3 s: %d, %d), %d gets, %d puts, %d grants", configAt, writtenAt, fewest,
		after.List-before.List-reads1, after.Watch-before.Watch, calmAfter.List-calm.List, calmAfter.Watch-calm.Watch, after.Get-before.Get, after.Put-before.Put, after.Grant-before.Grant)
	assert.Check(t, configAt > 0 && configAt < 2*time.Second, "version 6 after %v", configAt)
	assert.Check(t, writtenAt > 0 && writtenAt-configAt < maxRewriteTime, "written again after %v", writtenAt)
	cancel()
	synctest.Wait()
}
