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

// sendDraw sends a draw to the shard of its workspace in the lender's zone. It returns
// false if the zone has no shards, or if no owner of the shard answers within the timeout.
func sendDraw(peers Peers, index *bundle.Index, draw Draw, timeout time.Duration) (Grant, bool) {
	shard, ok := shardInZone(index, draw.Workspace, draw.LenderZone)
	if !ok {
		return Grant{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	answer, err := peers.Draw(ctx, drawToProto(draw, shard))
	if err != nil || answer.GetNotOwner() {
		return Grant{}, false
	}
	return grantFromProto(answer), true
}
