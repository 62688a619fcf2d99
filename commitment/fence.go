package commitment

import "time"

// FenceResult is the result of checking a permission at the backend server's node.
type FenceResult uint8

// The results of a check.
const (
	// AlreadyUsed means that the permission was used at this node before. Only the
	// first dispatch knows its outcome.
	AlreadyUsed FenceResult = iota
	// Admitted lets the commitment run.
	Admitted
	// Stale means that the permission has expired or is of an earlier epoch. The
	// dispatch has not run.
	Stale
)

// Fence checks permissions at the backend server's node. It admits each permission
// once, until the permission expires, and only if no permission of a later owner
// has been seen. It is not safe for concurrent use.
type Fence struct {
	limits   Limits
	epochs   map[ShardID]uint64
	used     map[Key]usedPermission
	prunedAt time.Time
	// attempts records the admitted attempts independently of used, to check used.
	attempts    attemptCache
	onViolation func(invariant string)
}

// FenceConfig configures a Fence.
type FenceConfig struct {
	Limits Limits
	// OnViolation is called with the name of an invariant that does not hold.
	OnViolation func(invariant string)
}

type usedPermission struct {
	attempt uint32
	until   time.Time
}

// NewFence returns a fence that has seen no permissions.
func NewFence(config FenceConfig) *Fence {
	return &Fence{
		limits: config.Limits.withDefaults(), onViolation: orNoop(config.OnViolation),
		epochs: make(map[ShardID]uint64), used: make(map[Key]usedPermission),
	}
}

// ObserveEpoch records the epoch of a shard from the shard table. Permissions of
// earlier epochs become stale.
func (f *Fence) ObserveEpoch(shardID ShardID, epoch uint64) {
	f.epochs[shardID] = max(f.epochs[shardID], epoch)
}

// Admit checks a permission just before its request is sent to the backend server.
func (f *Fence) Admit(p Permission, now time.Time) FenceResult {
	f.prune(now)
	if used, ok := f.used[p.Key]; ok && used.attempt >= p.Attempt {
		return AlreadyUsed
	}
	if p.Epoch < f.epochs[p.ShardID] || now.After(p.Expires.Add(f.limits.ClockSkew)) {
		return Stale
	}
	if !f.attempts.advance(p.Key, p.Attempt) {
		f.onViolation(invariantAdmittedOnce)
	}
	f.ObserveEpoch(p.ShardID, p.Epoch)
	f.used[p.Key] = usedPermission{attempt: p.Attempt, until: p.Expires.Add(2*f.limits.ClockSkew + f.limits.RunTimeout)}
	return Admitted
}

func (f *Fence) prune(now time.Time) {
	if now.Sub(f.prunedAt) < pruneInterval {
		return
	}
	f.prunedAt = now
	for key, used := range f.used {
		if now.After(used.until) {
			delete(f.used, key)
		}
	}
}
