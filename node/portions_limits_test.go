package node

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/bundle"
)

// TestLimitEndsDuringBorrow guards against a request that is refused for a rate which is no
// longer in force: it waited for tokens of another node as a version without the workspace,
// or without a limit for it, came into force.
func TestLimitEndsDuringBorrow(t *testing.T) {
	versions := map[string]*bundle.Bundle{
		"no workspaces": {Version: 2, Keyless: true},
		"no limit":      {Version: 2, Workspaces: []bundle.Workspace{{Name: "school"}}},
	}
	for name, version := range versions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPortionSite(t, 5)
				for address := range s.nodes {
					s.silent[address] = true
				}
				waited := false
				for _, p := range s.order {
					for p.takeToken("school") {
					}
					refused := make(chan bool)
					startedAt := time.Now()
					go func() {
						_, refusal := p.take(t.Context(), "school")
						refused <- refusal != nil
					}()
					synctest.Wait()
					p.setLimits(time.Now(), bundle.NewIndex(version))
					assert.Assert(t, !<-refused, "refused after %v", time.Since(startedAt))
					waited = waited || time.Since(startedAt) > 0
				}
				assert.Assert(t, waited, "no request waited for other nodes")
			})
		})
	}
}
