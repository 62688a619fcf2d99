package directory_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strconv"
	"testing"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"auburngap/directory"
	"auburngap/peer"
	"auburngap/peer/peerpb"
)

// fleetSizes are the numbers of nodes that docs/CAPACITY.md reports on.
var fleetSizes = []int{1000, 10000, 30000}

// filledState returns a State that lists n nodes of n/15 services, received from a
// relay.
func filledState(n int) *directory.State {
	s := directory.NewState(directory.StateConfig{Zone: "a"})
	for i := range n {
		s.Merge(1, makeEntry(i, "service-"+strconv.Itoa(i/15)))
	}
	return s
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkState(b *testing.B) {
	for _, n := range fleetSizes {
		before := heapBytes()
		s := filledState(n)
		perEntry := float64(heapBytes()-before) / float64(n)
		entry := makeEntry(0, "service-0")
		s.ApplyAnnouncement(start, entry)
		b.Run(fmt.Sprintf("beat/nodes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.ApplyHeartbeat(start, entry.VM, heartbeatOf(entry))
			}
			b.ReportMetric(perEntry, "heapB/node")
		})
		b.Run(fmt.Sprintf("change/nodes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				entry.Sequence++
				s.ApplyAnnouncement(start, entry)
			}
		})
		b.Run(fmt.Sprintf("tick/nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				s.Tick(start)
			}
		})
		filter := directory.Filter{Services: map[string]struct{}{"service-0": {}, "service-1": {}, "service-2": {}}}
		b.Run(fmt.Sprintf("delta/nodes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				entry.Sequence++
				s.ApplyAnnouncement(start, entry)
				s.ChangesSince(s.Version()-1, filter)
			}
		})
		b.Run(fmt.Sprintf("subscribe/nodes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.ChangesSince(0, filter)
			}
		})
	}
}

// BenchmarkFrameSizes reports the payload sizes of the frequent messages.
func BenchmarkFrameSizes(b *testing.B) {
	announcement := &peerpb.Announcement{
		Vm: "khomas-1-vm-1234", AvailabilityZone: "khomas-1", Address: make([]byte, 6), Service: "term-dictionary",
		Incarnation: 1 << 60, Sequence: 12, Slots: 70, Connections: 500, Load: 40, AgeMicros: 1e12,
	}
	frames := []struct {
		name  string
		frame *peerpb.DirectoryFrame
	}{
		{"heartbeat", &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Heartbeat{Heartbeat: &peerpb.Heartbeat{
			Incarnation: 1 << 60, Sequence: 12, Load: 40, BundleVersion: 1e6,
		}}}},
		{"announcement", &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Announce{Announce: announcement}}},
		{"update", &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Update{Update: &peerpb.Update{
			Announcements: []*peerpb.Announcement{announcement},
		}}}},
		{"gone", &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Update{Update: &peerpb.Update{
			GoneVms: []string{announcement.Vm},
		}}}},
		{"relay", &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Relays{Relays: &peerpb.RelayList{Relays: []*peerpb.Relay{{
			AvailabilityZone: "khomas-1", Slot: 20, Vm: "khomas-1-vm-1234", Address: make([]byte, 6), Revision: 1e9,
		}}}}}},
	}
	for _, f := range frames {
		b.Run(f.name, func(b *testing.B) {
			for b.Loop() {
				data, err := proto.Marshal(f.frame)
				if err != nil {
					b.Fatal(err)
				}
				if err := proto.Unmarshal(data, &peerpb.DirectoryFrame{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(f.frame)), "payloadB")
		})
	}
}

// BenchmarkSessions opens sessions with one directory stream each. It reports the
// memory of both ends and the time that one heartbeat takes.
func BenchmarkSessions(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			received := make(chan struct{}, 1024)
			server := peer.NewServer(peer.ServerConfig{Self: identity("relay"), Logger: zap.NewNop()})
			server.HandleStream(peer.KindAnnounce, countFrames(received))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			go func() { _ = server.Serve(b.Context(), listener) }()
			before := heapBytes()
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			stacks := stats.StackInuse
			streams := openStreams(b, n, netip.MustParseAddrPort(listener.Addr().String()))
			beat := &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Heartbeat{Heartbeat: &peerpb.Heartbeat{Sequence: 12}}}
			for _, stream := range streams {
				assert.NilError(b, stream.Send(beat))
				<-received
			}
			heap := heapBytes() - before
			runtime.ReadMemStats(&stats)
			for i := 0; b.Loop(); i++ {
				assert.NilError(b, streams[i%n].Send(beat))
				<-received
			}
			b.ReportMetric(float64(heap)/float64(n), "heapB/session")
			b.ReportMetric(float64(stats.StackInuse-stacks)/float64(n), "stackB/session")
		})
	}
}

func identity(vm string) peer.Identity {
	return peer.Identity{VM: vm, Zone: "a", Incarnation: uuid.New()}
}

func openStreams(b *testing.B, n int, address netip.AddrPort) []directory.Stream {
	streams := make([]directory.Stream, n)
	for i := range streams {
		pool := peer.NewPool(peer.PoolConfig{Self: identity("vm-" + strconv.Itoa(i)), Logger: zap.NewNop()})
		b.Cleanup(pool.Close)
		stream, err := directory.NewDialer(pool).Open(b.Context(), address)
		assert.NilError(b, err)
		streams[i] = stream
	}
	return streams
}

// countFrames returns a handler that signals each frame that it has decoded.
func countFrames(received chan<- struct{}) peer.StreamHandler {
	return func(_ context.Context, _ peer.Identity, _ []byte, stream net.Conn) error {
		received <- struct{}{}
		reader := peer.NewFrameReader(stream)
		defer reader.Release()
		for {
			if err := reader.Expect(peer.KindAnnounce, &peerpb.DirectoryFrame{}); err != nil {
				return err
			}
			received <- struct{}{}
		}
	}
}
