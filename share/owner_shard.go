package share

import "github.com/cespare/xxhash/v2"

// jumpMultiplier and jumpRange are the multiplier and the range of the jump
// consistent hash.
const (
	jumpMultiplier = 2862933555777941757
	jumpRange      = 1 << 31
)

// OwnerShard returns the shard that owns a workspace in an availability zone. All nodes
// compute the same shard, and raising the number of shards moves as few
// workspaces as possible.
func OwnerShard(workspace string, shards int) int {
	return JumpHash(xxhash.Sum64String(workspace), shards)
}

// JumpHash is the jump consistent hash of Lamping and Veach.
func JumpHash(hash uint64, buckets int) int {
	bucket, next := int64(0), int64(0)
	for next < int64(buckets) {
		bucket = next
		hash = hash*jumpMultiplier + 1
		next = int64(float64(bucket+1) * (float64(jumpRange) / float64((hash>>33)+1)))
	}
	return int(bucket)
}
