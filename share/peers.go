package share

import (
	"context"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

// Peers sends draws to the owners of shards in all availability zones.
type Peers interface {
	// Draw sends a draw to the owner of the shard that it names and returns the
	// answer. It returns an error if there is no answer. The owner may be this VM.
	Draw(ctx context.Context, draw *peerpb.Draw) (*peerpb.DrawAnswer, error)
}

// Clock reads the VM's clock. It must go on while the VM is suspended.
type Clock func() time.Duration

// shardInZone returns the shard that owns a workspace in a zone. It returns false
// if the zone has no shards.
func shardInZone(index *bundle.Index, workspace, zone string) (int, bool) {
	z, ok := index.Zone(zone)
	if !ok || z.Shards <= 0 {
		return 0, false
	}
	return OwnerShard(workspace, z.Shards), true
}
