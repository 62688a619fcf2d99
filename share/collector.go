package share

import (
	"github.com/cespare/xxhash/v2"

	"auburngap/bundle"
)

// collectBelow is the burst, in tokens per zone, below which a workspace has a collector.
const collectBelow = 4

// CollectorZone returns the availability zone whose owner collects a workspace's
// fractions of tokens from all zones and lends whole ones. It returns "" if the
// burst is large enough that each zone's owner borrows for itself. The collector
// is the zone with the largest share; among equal shares, the zone with the
// highest rendezvous hash.
func CollectorZone(index *bundle.Index, workspace string) string {
	if index == nil {
		return ""
	}
	w, ok := index.Workspace(workspace)
	if !ok || w.Burst >= collectBelow*float64(len(index.Bundle.Zones)) {
		return ""
	}
	best, bestShare, bestScore := "", 0.0, uint64(0)
	for i := range index.Bundle.Zones {
		zone := &index.Bundle.Zones[i]
		part, score := index.ZoneShare(w, zone.Name), xxhash.Sum64String(workspace+"\x00"+zone.Name)
		if zone.Shards <= 0 || part < bestShare || part == bestShare && score <= bestScore {
			continue
		}
		best, bestShare, bestScore = zone.Name, part, score
	}
	return best
}
