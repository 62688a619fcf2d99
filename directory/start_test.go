package directory_test

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"auburngap/directory"
	"auburngap/kv/fake"
	"auburngap/peer/peerpb"
)

// scriptedPeers answers the queries of a starting node, by address. Other streams and
// addresses are refused.
type scriptedPeers map[netip.AddrPort][]*peerpb.DirectoryFrame

func (p scriptedPeers) Open(_ context.Context, address netip.AddrPort) (directory.Stream, error) {
	frames, ok := p[address]
	if !ok {
		return nil, io.ErrClosedPipe
	}
	m := &member{site: &site{}}
	near, far := newMemoryStreams(m, m)
	go func() {
		defer far.shut()
		if first, err := far.Receive(); err != nil || first.GetJoin().GetRole() != peerpb.Role_ROLE_STARTING {
			return
		}
		for _, frame := range frames {
			if far.Send(frame) != nil {
				return
			}
		}
	}()
	return near, nil
}

// relayAddress is the address of the relay of a slot.
func relayAddress(slot int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.9"), uint16(slot+1))
}

// relayList returns a frame with the relays of some slots.
func relayList(slots ...int) *peerpb.DirectoryFrame {
	list := &peerpb.RelayList{}
	for _, slot := range slots {
		// MarshalBinary of an AddrPort cannot fail.
		address, _ := relayAddress(slot).MarshalBinary()
		list.Relays = append(list.Relays, &peerpb.Relay{
			AvailabilityZone: "a", Slot: uint32(slot), Vm: relayAddress(slot).String(), Address: address, Revision: uint64(slot + 1),
		})
	}
	return &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Relays{Relays: list}}
}

// holds returns a frame of a relay that is sure of its memory and holds a version.
func holds(version uint64) *peerpb.DirectoryFrame {
	versions := &peerpb.BundleVersions{Held: version, Released: version, CaughtUp: true}
	return &peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Versions{Versions: versions}}
}

// TestStartWithPartOfRelays guards against a node that goes back to an older version when it
// restarts: the first peer that it asks knows one base relay of three, whose answer alone
// then counts, although it names the two others.
func TestStartWithPartOfRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer onOneThread()()
		service := fake.New(fake.Config{})
		service.SetFaults(fake.Faults{Down: true})
		seed := netip.MustParseAddrPort("127.0.0.8:1")
		peers := scriptedPeers{
			seed:            {relayList(0)},
			relayAddress(0): {relayList(0, 1, 2), holds(5)},
		}
		bundles := &sink{}
		bundles.highest.Store(5)
		d := directory.New(directory.Config{
			VM: "vm", Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Seeds: []netip.AddrPort{seed},
			Platform: service, Peers: peers, Bundles: bundles, Source: source{service}, Logger: zap.NewNop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- d.Run(ctx) }()
		defer func() {
			cancel()
			assert.NilError(t, <-done)
		}()

		time.Sleep(time.Minute)
		assert.Assert(t, !isClosed(d.CaughtUp()), "caught up with version 5, as one relay of three holds it")
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
