package share

import (
	"context"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

// Peers reaches the owners of shards in all availability zones.
type Peers interface {
	// Draw sends to the owner of the shard that the draw names and returns its
	// answer; an error means that none came. The owner may be this VM.
	Draw(ctx context.Context, draw *peerpb.Draw) (*peerpb.DrawAnswer, error)
}

// Clock reads the VM's clock. It must go on while the VM is suspended.
type Clock func() time.Duration

// homeOf returns a workspace's shard in a zone; false where the zone has none.
func homeOf(index *bundle.Index, workspace, zone string) (int, bool) {
	z, ok := index.Zone(zone)
	if !ok || z.Shards <= 0 {
		return 0, false
	}
	return Home(workspace, z.Shards), true
}
