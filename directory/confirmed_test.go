package directory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
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
