package directory_test

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/directory"
	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/peer"
)

// TestDirectoryOverSessions connects three directories over real sessions.
func TestDirectoryOverSessions(t *testing.T) {
	service := fake.New(fake.Config{})
	_, err := service.Put(t.Context(), kv.PutRequest{Key: headKey, Value: []byte("1")})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var directories []*directory.Directory
	var sinks []*sink
	for i := range 3 {
		self := peer.Identity{VM: "vm-" + strconv.Itoa(i), Zone: "a", Incarnation: uuid.New()}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		pool := peer.NewPool(peer.PoolConfig{Self: self, Logger: zap.NewNop()})
		defer pool.Close()
		sinks = append(sinks, &sink{})
		d := directory.New(directory.Config{
			VM: self.VM, Zone: self.Zone, Address: netip.MustParseAddrPort(listener.Addr().String()),
			Platform: service, Peers: directory.NewDialer(pool), Bundles: sinks[i], Source: source{service},
			Logger: zap.NewNop(), Timing: directory.Timing{Spread: 50 * time.Millisecond},
		})
		directories = append(directories, d)
		d.SetServices([]string{"orders"})
		d.SetBackend(directory.Backend{Service: "orders", Slots: 35, Since: time.Now()})
		server := peer.NewServer(peer.ServerConfig{Self: self, Logger: zap.NewNop()})
		server.HandleStream(peer.KindAnnounce, d.HandleStream)
		go func() { _ = server.Serve(ctx, listener) }()
		go func() { _ = d.Run(ctx) }()
	}
	limit := time.Now().Add(20 * time.Second)
	for i := 0; i < len(directories); {
		if len(directories[i].Targets("orders")) == 3 && sinks[i].ActiveVersion() == 1 {
			i++
			continue
		}
		assert.Assert(t, time.Now().Before(limit), "%s lists %v", "vm-"+strconv.Itoa(i), directories[i].Targets("orders"))
		time.Sleep(20 * time.Millisecond)
	}
}
