package roster

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/peer"
	"auburngap/peer/peerpb"
)

// newSessionFollower returns a follower that queries other nodes over sessions.
func newSessionFollower(t *testing.T, vm string) *Follower {
	pool := peer.NewPool(peer.PoolConfig{Self: peer.Identity{VM: vm, Zone: "z", Incarnation: uuid.New()}, Logger: zap.NewNop()})
	t.Cleanup(pool.Close)
	return NewFollower(FollowerConfig{
		Client: fake.New(fake.Config{}),
		Query: func(ctx context.Context, address netip.AddrPort, kind peer.Kind, message, reply proto.Message) error {
			return peer.Ask(ctx, pool, address, kind, message, reply)
		},
		VM: vm, Zone: "z", Prefix: "o", MemberPrefix: "online/",
		SuspectReadAfter: time.Minute,
		OnChange:         func(View) {},
		OnMalformed:      func(key string, err error) { t.Error(key, err) },
		Logger:           zap.NewNop(),
	})
}

// serveQueries serves the queries of other nodes over sessions.
func serveQueries(t *testing.T, f *Follower) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.NewServer(peer.ServerConfig{Self: peer.Identity{VM: f.config.VM, Zone: "z", Incarnation: uuid.New()}, Logger: zap.NewNop()})
	server.Handle(peer.KindRoster, func(ctx context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
		var query peerpb.RosterQuery
		if err := peer.Decode(payload, &query); err != nil {
			return nil, err
		}
		return f.Answer(ctx, &query), nil
	})
	go func() { _ = server.Serve(t.Context(), listener) }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestLargestConfigurationFitsReply: a configuration was too large for the answer of a
// node, so that the nodes which read from it missed it. The answers of a node that holds a
// configuration of the greatest size and the entries of a site must reach the others, whole
// or as changes.
func TestLargestConfigurationFitsReply(t *testing.T) {
	for _, members := range []int{1, 100, 1000, 2000} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			source, reader := newSessionFollower(t, "source"), newSessionFollower(t, "reader")
			address := serveQueries(t, source)
			list := Delta{Whole: true, Revision: kv.Revision(members)}
			for i := range kv.Revision(members) {
				value := fmt.Appendf(nil, `{"vm":"vm-%d","zone":"z","address":"10.0.0.1:7000","incarnation":"%s","backend":{"service":"%0100d","instance":"%s","slots":64}}`, i, uuid.New(), i, uuid.New())
				list.Entries = append(list.Entries, kv.Entry{Key: fmt.Sprint("online/vm-", i), Value: value, Revision: i + 1})
			}
			source.apply(Source{}, list, source.config.Now())
			for version := range kv.Revision(3) {
				config := kv.Entry{Key: configKey, Value: bytes.Repeat([]byte{byte('1' + version)}, kv.MaxValueBytes), Revision: list.Revision + 1 + version}
				source.apply(Source{}, Delta{Revision: config.Revision, Entries: []kv.Entry{config}}, source.config.Now())
				delta, _, err := reader.query(t.Context(), address, reader.mirror.Revision())
				assert.NilError(t, err)
				reader.apply(Source{Node: address}, delta, reader.config.Now())
				known, _ := reader.Entry(configKey)
				assert.Assert(t, bytes.Equal(known.Value, config.Value), "version %d is missed", version)
				assert.Equal(t, len(reader.Members()), members)
			}
		})
	}
}
