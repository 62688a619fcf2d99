package directory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/peer/peerpb"
)

// TestConfirmedWithoutVersion guards against a node that counts its bundle as confirmed by
// a read of the platform that found a newer one: relays of another zone report their reads
// to a zone that has lost the platform, but send it no bundles.
func TestConfirmedWithoutVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer onOneThread()()
		s := twoZones(t)
		defer s.stop()
		s.losePlatform("a")
		time.Sleep(time.Minute)
		s.awaitAll("version 1 is confirmed", 0, func(m *member) bool {
			return time.Since(m.run.directory.ConfirmedAt()) < 20*time.Second
		})

		rolledOutAt := time.Now()
		s.rollOut(2)
		time.Sleep(time.Minute)
		for _, m := range s.members {
			if confirmedAt := m.run.directory.ConfirmedAt(); m.run.sink.ActiveVersion() < 2 {
				assert.Check(t, !confirmedAt.After(rolledOutAt), "%s has version 1, confirmed %v after version 2 was rolled out", m.vm, confirmedAt.Sub(rolledOutAt))
			}
		}

		s.losePlatform("")
		s.awaitAll("version 2 is active and confirmed", time.Minute, func(m *member) bool {
			return m.run.sink.ActiveVersion() == 2 && time.Since(m.run.directory.ConfirmedAt()) < 20*time.Second
		})
	})
}

// TestConfirmedByRelayAhead guards against a node that counts its bundle as confirmed by a
// relay that holds a newer one: one that its zone has not released, or that did not reach
// the node.
func TestConfirmedByRelayAhead(t *testing.T) {
	cases := map[string]struct {
		versions  *peerpb.BundleVersions
		confirmed bool
	}{
		"the same version":      {&peerpb.BundleVersions{Held: 5, Released: 5, WordAgeMicros: 1}, true},
		"newer, not released":   {&peerpb.BundleVersions{Held: 6, Released: 5, WordAgeMicros: 1}, false},
		"newer, did not arrive": {&peerpb.BundleVersions{Held: 6, Released: 6, WordAgeMicros: 1}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer onOneThread()()
				node, stop := runScripted(t, 1)
				defer stop()
				node.bundles.highest.Store(5)
				node.directory.SetServices([]string{"orders"})
				stream := node.joinOne(t)
				assert.NilError(t, stream.Send(&peerpb.DirectoryFrame{Frame: &peerpb.DirectoryFrame_Versions{Versions: c.versions}}))
				time.Sleep(time.Second)
				assert.Equal(t, !node.directory.ConfirmedAt().IsZero(), c.confirmed)
				node.bundles.highest.Store(6)
				assert.Assert(t, !node.directory.ConfirmedAt().IsZero())
			})
		})
	}
}
